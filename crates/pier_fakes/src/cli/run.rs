//! Runs one fake server until the process ends.

use std::{future, io, io::Write, net, process};

use clap::ArgMatches;
use clap::error::ErrorKind;

use crate::{cli::arguments, engine, platform, service};

/// Exit code for a command line that does not parse.
const USAGE_EXIT: u8 = 2;

/// Parses the command line and serves until the process ends.
pub fn run() -> process::ExitCode {
    let matches = match arguments::command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            let shown = error.print().is_ok();
            let asked = matches!(
                error.kind(),
                ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
            );
            return if asked && shown {
                process::ExitCode::SUCCESS
            } else {
                process::ExitCode::from(USAGE_EXIT)
            };
        }
    };
    let served = start_runtime().and_then(|runtime| runtime.block_on(serve(&matches)));
    if let Err(error) = served {
        let _unwritable = writeln!(io::stderr(), "event=fake-failed error=\"{error:#}\"");
        return process::ExitCode::FAILURE;
    }
    process::ExitCode::SUCCESS
}

fn start_runtime() -> anyhow::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(2).enable_all().build()?)
}

async fn serve(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => {
            let builder = platform::FakePlatform::builder()
                .listen(arguments::listen(matches)?)
                .list_lag(arguments::duration(matches, "list-lag-ms")?);
            let server = builder.launch().await?;
            announce_and_wait(server.address()).await
        }
        Some(("engine", matches)) => {
            let settings = arguments::engine_settings(matches)?;
            let mut builder =
                engine::FakeEngine::builder(settings).listen(arguments::listen(matches)?);
            if let Some(model) = matches.get_one::<String>("model") {
                builder = builder.preload(model.parse()?);
            }
            let server = builder.launch().await?;
            announce_and_wait(server.address()).await
        }
        Some(("service", matches)) => {
            let builder = service::FakeService::builder(arguments::value(matches, "vm")?)
                .listen(arguments::listen(matches)?)
                .call_time(arguments::duration(matches, "call-ms")?);
            let server = builder.launch().await?;
            announce_and_wait(server.address()).await
        }
        _ => anyhow::bail!("unknown command"),
    }
}

/// Prints the listen address and waits forever.
async fn announce_and_wait(address: net::SocketAddr) -> anyhow::Result<()> {
    let mut stdout = io::stdout();
    writeln!(stdout, "listening={address}")?;
    stdout.flush()?;
    future::pending().await
}
