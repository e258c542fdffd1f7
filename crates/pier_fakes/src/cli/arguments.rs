//! Commands and their arguments.

use std::{net, str, time};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use pier_types::{ids, rates, sizes};

use crate::engine;

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS:PORT")
        .default_value("127.0.0.1:0")
        .help("Address to listen on; with port 0 the system chooses the port");
    let platform = Command::new("platform")
        .about("Serves the object API and the VM list")
        .arg(listen.clone())
        .arg(millis(
            "list-lag-ms",
            "0",
            "Delay before the VM list shows a change",
        ));
    let engine = Command::new("engine")
        .about("Serves as the model engine of one VM")
        .arg(listen.clone())
        .arg(name("vm", "engine-1", "Name of the VM that it runs on"))
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .help("Start warm with this model, without a group"),
        )
        .arg(
            Arg::new("no-fencing")
                .long("no-fencing")
                .action(ArgAction::SetTrue)
                .help("Accept orders and requests of any generation"),
        )
        .arg(millis("token-ms", "1", "Time per token"))
        .arg(millis(
            "prefill-ms",
            "0",
            "Time to prefill a prompt that is not cached",
        ))
        .arg(millis("load-ms", "0", "Minimum time to load weights"))
        .arg(number("weight-bytes", "0", "Size of the weights"))
        .arg(number(
            "weight-rate",
            "0",
            "Read rate of the weight store in bytes per second; 0 means no limit",
        ))
        .arg(millis(
            "report-lag-ms",
            "0",
            "Age of the load figures in a report",
        ))
        .arg(millis(
            "event-lag-ms",
            "0",
            "Delay before cache events can be read",
        ))
        .arg(number(
            "running",
            "64",
            "Maximum number of running requests",
        ))
        .arg(number(
            "cold-limit",
            "8",
            "Maximum number of running requests while cold",
        ))
        .arg(number(
            "warm-after",
            "16",
            "Completed requests until the engine is warm",
        ))
        .arg(number("cache", "64", "Maximum number of cached prefixes"));
    let service = Command::new("service")
        .about("Serves as a plain service of one VM")
        .arg(listen)
        .arg(name("vm", "service-1", "Name of the VM that it runs on"))
        .arg(millis("call-ms", "0", "Duration of each call"));
    Command::new("pier-fakes")
        .about("Fake servers for the platform, model engines and plain services")
        .after_help(
            "Each command prints one line, listening=ADDRESS:PORT, once it accepts connections.",
        )
        .subcommand_required(true)
        .subcommands([platform, engine, service])
}

/// Parses one argument.
pub(crate) fn value<T>(matches: &ArgMatches, id: &str) -> anyhow::Result<T>
where
    T: str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.get_one::<String>(id);
    let text = text.with_context(|| format!("--{id} is missing"))?;
    text.parse()
        .with_context(|| format!("--{id} {text:?} cannot be parsed"))
}

/// Parses an argument in milliseconds.
pub(crate) fn duration(matches: &ArgMatches, id: &str) -> anyhow::Result<time::Duration> {
    value(matches, id).map(time::Duration::from_millis)
}

/// Parses the listen address.
pub(crate) fn listen(matches: &ArgMatches) -> anyhow::Result<net::SocketAddr> {
    value(matches, "listen")
}

/// Parses the settings of an engine.
pub(crate) fn engine_settings(matches: &ArgMatches) -> anyhow::Result<engine::EngineSettings> {
    let count = |id| value::<sizes::RequestCount>(matches, id);
    let rate: rates::ByteRate = value(matches, "weight-rate")?;
    let vm: ids::VmName = value(matches, "vm")?;
    Ok(engine::EngineSettings {
        vm,
        fencing: !matches.get_flag("no-fencing"),
        token_time: duration(matches, "token-ms")?,
        prefill_time: duration(matches, "prefill-ms")?,
        load_time: duration(matches, "load-ms")?,
        weight_size: value(matches, "weight-bytes")?,
        weight_store: (rate.get() > 0).then(|| engine::WeightStore::new(rate)),
        running_limit: count("running")?,
        cold_limit: count("cold-limit")?,
        warm_after: count("warm-after")?,
        report_lag: duration(matches, "report-lag-ms")?,
        cache_limit: value(matches, "cache")?,
        event_lag: duration(matches, "event-lag-ms")?,
    })
}

fn millis(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    number(id, default, help).value_name("MILLISECONDS")
}

fn name(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    number(id, default, help).value_name("NAME")
}

fn number(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("NUMBER")
        .default_value(default)
        .help(help)
}
