//! Reads and prints what nodes report on their operator ports.

use std::{net, time};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::{exits, output};

/// Longest time for one request to a node.
const NODE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Adds the argument for the addresses of nodes.
pub(crate) fn add_argument(command: Command) -> Command {
    let node = Arg::new("node")
        .long("node")
        .value_name("ADDRESS:PORT")
        .value_parser(value_parser!(net::SocketAddr))
        .action(ArgAction::Append)
        .help("Operator port of a node, by IP address; may be given several times");
    command.arg(node)
}

/// Returns the addresses of the nodes given on the command line.
pub(crate) fn addresses(matches: &clap::ArgMatches) -> Vec<net::SocketAddr> {
    let addresses = matches.get_many::<net::SocketAddr>("node");
    addresses
        .map(|addresses| addresses.copied().collect())
        .unwrap_or_default()
}

/// Prints each node's answer on a path as `name = value` lines.
///
/// # Errors
///
/// Fails after the last node if any of them did not answer.
pub(crate) async fn print_all(
    addresses: &[net::SocketAddr],
    path: &str,
) -> Result<(), exits::CommandFailure> {
    let client = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(NODE_TIMEOUT)
        .build()
        .map_err(anyhow::Error::from)?;
    let mut unavailable = Vec::new();
    for node in addresses {
        match read(&client, *node, path).await {
            Ok(value) => {
                output::line(format!("[node {node}]"));
                print_value("", &value);
            }
            Err(error) => unavailable.push(format!("node {node}: {error:#}")),
        }
    }
    if unavailable.is_empty() {
        return Ok(());
    }
    Err(exits::CommandFailure::unavailable(unavailable.join("\n")))
}

async fn read(
    client: &reqwest::Client,
    node: net::SocketAddr,
    path: &str,
) -> anyhow::Result<serde_json::Value> {
    let reply = client.get(format!("http://{node}{path}")).send().await?;
    Ok(reply.error_for_status()?.json().await?)
}

/// Prints a JSON value; names of nested fields are joined by dots.
fn print_value(name: &str, value: &serde_json::Value) {
    match value {
        serde_json::Value::Object(fields) => {
            for (field, value) in fields {
                print_value(&join_name(name, field), value);
            }
        }
        serde_json::Value::Array(items) if items.iter().any(serde_json::Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                print_value(&join_name(name, &index.to_string()), item);
            }
        }
        serde_json::Value::Array(items) => {
            let items = items.iter().map(scalar_text).collect::<Vec<_>>();
            output::line(format!("{name} = {}", items.join(", ")));
        }
        other => output::line(format!("{name} = {}", scalar_text(other))),
    }
}

fn join_name(name: &str, field: &str) -> String {
    if name.is_empty() {
        return field.to_owned();
    }
    format!("{name}.{field}")
}

fn scalar_text(value: &serde_json::Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}
