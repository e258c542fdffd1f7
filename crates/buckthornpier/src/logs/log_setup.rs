//! Starts the log.

use std::{io, panic};

use pier_types::times;

use crate::logs;

/// The HTTP library, which reports each start of a server as a warning; `node-started` tells it
/// already.
const HTTP_LIBRARY: &str = "rocket";

/// Sends every line of this process to standard error, one event a line.
///
/// Libraries are heard from warnings up, the HTTP library from errors up, unless the level asks
/// for more than events.
///
/// # Errors
///
/// Fails when a log was started before.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    build_dispatch(level).chain(io::stderr()).apply()?;
    log_panics();
    Ok(())
}

/// Sends every line of this process to standard output, and never waits for its reader.
///
/// # Errors
///
/// Fails when a log was started before, or standard output can not be set up.
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
