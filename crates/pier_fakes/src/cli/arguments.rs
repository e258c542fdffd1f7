//! Commands and their arguments.

use std::{net, str, time};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use pier_types::{ids, rates, sizes};

use crate::engine;

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS:PORT")
        .default_value("127.0.0.1:0")
        .help("Where to listen; port 0 lets the system choose");
    let platform = Command::new("platform")
        .about("Serves the object API and the VM list")
        .arg(listen.clone())
        .arg(millis(
            "list-lag-ms",
            "0",
            "Time until the VM list shows a change",
        ));
    let engine = Command::new("engine")
        .about("Serves as the model engine of one VM")
        .arg(listen.clone())
        .arg(name("vm", "engine-1", "The VM that it stands for"))
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .help("Be warm with this model from the start, in no group"),
        )
        .arg(
            Arg::new("no-fencing")
                .long("no-fencing")
                .action(ArgAction::SetTrue)
                .help("Obey orders and requests of any generation"),
        )
        .arg(millis("token-ms", "1", "Time for each token"))
        .arg(millis(
            "prefill-ms",
            "0",
            "Time for a prompt that is not cached",
        ))
        .arg(millis("load-ms", "0", "Least time to load weights"))
        .arg(number("weight-bytes", "0", "Size of the weights"))
        .arg(number(
            "weight-rate",
            "0",
            "Bytes a second from the weight store; 0 is no limit",
        ))
        .arg(millis("report-lag-ms", "0", "Age of the load in a report"))
        .arg(millis(
            "event-lag-ms",
            "0",
            "Age at which cache events show",
        ))
        .arg(number("running", "64", "Requests that run together"))
        .arg(number(
            "cold-limit",
            "8",
            "Requests that a cold engine bears",
        ))
        .arg(number(
            "warm-after",
            "16",
            "Finished requests until it is warm",
        ))
        .arg(number("cache", "64", "Prefixes that the cache holds"));
    let service = Command::new("service")
        .about("Serves as a plain service of one VM")
        .arg(listen)
        .arg(name("vm", "service-1", "The VM that it stands for"))
        .arg(millis("call-ms", "0", "Time for each call"));
    Command::new("pier-fakes")
        .about("Stand-ins for the platform, model engines and plain services")
        .after_help("Each prints one line, listening=ADDRESS:PORT, once it serves.")
        .subcommand_required(true)
        .subcommands([platform, engine, service])
}

/// Reads one argument as a value.
pub(crate) fn value<T>(matches: &ArgMatches, id: &str) -> anyhow::Result<T>
where
    T: str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.get_one::<String>(id);
    let text = text.with_context(|| format!("--{id} is missing"))?;
    text.parse()
        .with_context(|| format!("--{id} {text:?} can not be read"))
}

/// Reads an argument in milliseconds.
pub(crate) fn duration(matches: &ArgMatches, id: &str) -> anyhow::Result<time::Duration> {
    value(matches, id).map(time::Duration::from_millis)
}

/// Reads where to listen.
pub(crate) fn listen(matches: &ArgMatches) -> anyhow::Result<net::SocketAddr> {
    value(matches, "listen")
}

/// Reads an engine's properties.
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
