//! How commands find the platform and read the document from it.

use std::path;

use clap::{Arg, ArgMatches, Command, value_parser};
use pier_platform::objects;

use crate::exits;

/// Adds the arguments that give the platform's URL.
pub(crate) fn add_arguments(command: Command) -> Command {
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("URL")
        .help("Base URL of the platform, such as http://10.0.0.2:8000");
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .conflicts_with("platform")
        .help("A node's settings file, which names the platform");
    command.arg(platform).arg(settings)
}

/// Returns whether the arguments give a platform.
pub(crate) fn is_given(matches: &ArgMatches) -> bool {
    matches.contains_id("platform") || matches.contains_id("settings")
}

/// Creates a client for the platform given on the command line.
pub(crate) fn open_client(
    matches: &ArgMatches,
) -> Result<objects::ObjectClient, exits::CommandFailure> {
    let url = find_url(matches)?;
    objects::ObjectClient::new(&url).map_err(|error| {
        let text = format!("--platform: found {url:?}; allowed: http://HOST:PORT ({error:#})");
        exits::CommandFailure::bad_input(text)
    })
}

fn find_url(matches: &ArgMatches) -> Result<String, exits::CommandFailure> {
    if let Some(url) = matches.get_one::<String>("platform") {
        return Ok(url.clone());
    }
    let Some(path) = matches.get_one::<path::PathBuf>("settings") else {
        let text = "no platform: give --platform URL or --settings FILE";
        return Err(exits::CommandFailure::bad_input(text));
    };
    let settings = pier_node::settings::NodeSettings::load(path)
        .map_err(|error| exits::CommandFailure::bad_input(format!("{error:#}")))?;
    Ok(settings.platform_url)
}

/// Runs the asynchronous calls of a command on a single-threaded runtime.
pub(crate) fn block_on<T>(
    calls: impl Future<Output = Result<T, exits::CommandFailure>>,
) -> Result<T, exits::CommandFailure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(anyhow::Error::from)?;
    runtime.block_on(calls)
}

/// Reads the current document; version 0 and an empty text when there is none.
pub(crate) async fn read_document(
    client: &objects::ObjectClient,
) -> Result<(pier_types::epochs::ConfigVersion, String), exits::CommandFailure> {
    match client.read(pier_config::documents::DOCUMENT_KEY).await {
        objects::ReadResult::Found { version, bytes } => {
            let version = pier_types::epochs::ConfigVersion::new(version.get());
            Ok((version, String::from_utf8_lossy(&bytes).into_owned()))
        }
        objects::ReadResult::Absent => Ok(Default::default()),
        objects::ReadResult::Unavailable { reason } => Err(exits::CommandFailure::unavailable(
            format!("the platform is away: {reason}"),
        )),
    }
}
