//! Measures what callers experience while a data centre leaves and returns.
//!
//! Runs real nodes over loopback in three data centres, each with two nodes and three engines. One
//! data centre is taken out of service, its engines are restarted cold, and it is put back. At the
//! same time, a second fleet whose nodes move load without a gradual shift gets the same calls:
//! `cargo run --release -p pier_load --example data_centre_drive -- --use 35`

mod drive_table;

use std::{str, time};

use anyhow::Context as _;
use pier_limits::shifts;
use pier_load::{calls, drives, fleets, reviews};
use pier_types::{rates, sizes};

/// Mean time that a call takes at an engine: prefill, decode, and the inaccuracy of its timers.
const MEAN_CALL_DURATION: time::Duration = time::Duration::from_millis(780);

const PHASES: reviews::PhaseTimes = reviews::PhaseTimes {
    lead: time::Duration::from_secs(6),
    before: time::Duration::from_secs(12),
    leaving: time::Duration::from_secs(6),
    out: time::Duration::from_secs(12),
    returning: time::Duration::from_secs(35),
    after: time::Duration::from_secs(10),
};

fn main() -> anyhow::Result<()> {
    let matches = arguments().get_matches();
    let percent: u32 = parse(&matches, "use")?;
    let seed: u64 = parse(&matches, "seed")?;
    let settle = time::Duration::from_secs(parse(&matches, "settle")?);
    let gradual = shifts::ShiftPolicy {
        return_time: time::Duration::from_secs(parse(&matches, "return")?),
        ..shifts::ShiftPolicy::default()
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(compare(gradual, percent, seed, settle))
}

/// Runs both policies at the same time, so that the machine is equally busy for both.
async fn compare(
    gradual: shifts::ShiftPolicy,
    percent: u32,
    seed: u64,
    settle: time::Duration,
) -> anyhow::Result<()> {
    let flip_policy = shifts::ShiftPolicy {
        leave_time: time::Duration::ZERO,
        return_time: time::Duration::ZERO,
    };
    let gradual = plan(gradual);
    let mix = mix(&gradual, percent);
    let (gradual, flip) = tokio::join!(
        drives::DriveRun::drive(gradual, &mix, PHASES, seed, settle),
        drives::DriveRun::drive(plan(flip_policy), &mix, PHASES, seed, settle),
    );
    println!("use={percent}% seed={seed} calls_a_second={}", mix.rate);
    let capacity = plan(flip_policy).capacity();
    drive_table::print("gradual", &gradual?, &PHASES, capacity)?;
    drive_table::print("flip", &flip?, &PHASES, capacity)
}

fn plan(shift: shifts::ShiftPolicy) -> fleets::FleetPlan {
    fleets::FleetPlan {
        data_centres: ["north", "south", "west"].map(str::to_owned).to_vec(),
        nodes: 2,
        engines: 3,
        warm_limit: sizes::RequestCount::new(12),
        cold_limit: sizes::RequestCount::new(3),
        warm_after: sizes::RequestCount::new(20),
        token_time: time::Duration::from_millis(25),
        prefill_time: time::Duration::from_millis(60),
        cached_prefixes: 8,
        load_time: time::Duration::from_secs(2),
        retry_percent: 10,
        shift,
    }
}

fn mix(plan: &fleets::FleetPlan, percent: u32) -> calls::LoadMix {
    let millis = u32::try_from(MEAN_CALL_DURATION.as_millis()).unwrap_or(u32::MAX);
    let rate = plan.capacity().get() * 1_000 * percent / 100 / millis;
    calls::LoadMix {
        rate: rates::RequestRate::new(rate),
        min_tokens: 16,
        max_tokens: 32,
        streamed_percent: 70,
        unusual_percent: 10,
        shared_prefixes: 16,
        deadline: time::Duration::from_secs(20),
    }
}

fn arguments() -> clap::Command {
    let percent = clap::Arg::new("use")
        .long("use")
        .default_value("35")
        .help("load, as a percentage of the capacity of all engines");
    let seed = clap::Arg::new("seed")
        .long("seed")
        .default_value("1")
        .help("seed of the calls");
    let settle = clap::Arg::new("settle")
        .long("settle")
        .default_value("160")
        .help("seconds that the nodes run before the load; below 140 they use only granted shares");
    let return_time = clap::Arg::new("return")
        .long("return")
        .default_value("30")
        .help("seconds over which load returns under the gradual policy");
    clap::Command::new("data_centre_drive").args([percent, seed, settle, return_time])
}

fn parse<T: str::FromStr>(matches: &clap::ArgMatches, name: &str) -> anyhow::Result<T> {
    let text: &String = matches.get_one(name).context("no value")?;
    let value = text.parse().ok();
    value.with_context(|| format!("--{name} {text:?} is not a number"))
}
