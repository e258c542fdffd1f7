//! Sets up logging.

use std::{io, panic};

use pier_types::times;

use crate::logs;

/// Log target of the HTTP library. It logs each start of a server as a warning, which the event
/// `node-started` already reports.
const HTTP_LIBRARY: &str = "rocket";

/// Logs to standard error, one line for each event.
///
/// Records of libraries are logged from warnings up, of the HTTP library from errors up, unless the
/// level is more detailed than `info`.
///
/// # Errors
///
/// Fails when a logger is already set.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    build_dispatch(level).chain(io::stderr()).apply()?;
    log_panics();
    Ok(())
}

/// Logs to standard output without ever waiting for its reader.
///
/// # Errors
///
/// Fails when a logger is already set, or standard output cannot be made non-blocking.
pub(crate) fn start_non_blocking(level: log::LevelFilter) -> anyhow::Result<()> {
    let output: Box<dyn io::Write + Send> = Box::new(logs::NonBlockingOutput::open()?);
    build_dispatch(level).chain(output).apply()?;
    log_panics();
    Ok(())
}

fn build_dispatch(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        .filter(move |metadata| is_wanted(metadata, level))
        .format(|out, _message, record| {
            let line = logs::KeyValueLine::new(record, times::clocks::wall_now());
            out.finish(format_args!("{line}"));
        })
}

fn log_panics() {
    panic::set_hook(Box::new(|info| {
        log::error!(event = "panic", cause:% = info; "");
    }));
}

fn is_wanted(metadata: &log::Metadata<'_>, level: log::LevelFilter) -> bool {
    let target = metadata.target();
    if level > log::LevelFilter::Info || logs::is_own_target(target) {
        return true;
    }
    let max_level = if target.starts_with(HTTP_LIBRARY) {
        log::Level::Error
    } else {
        log::Level::Warn
    };
    metadata.level() <= max_level
}
