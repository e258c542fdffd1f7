//! Counts the refused requests of bursts that reach one node after an idle time, in virtual time.
//!
//! A data centre of six targets with a limit of 24 each has a steady load at all nodes. At
//! intervals, a burst of a third of a target's limit, or of a third of the sum of all limits,
//! reaches one node. The decisions are made by the real code. "wishes" is the baseline: nodes use
//! only what they asked for, and ask once a second. "dealt" also divides what no node wants, and
//! nodes ask when something changed. "sibling" also tries one other node of the data centre. All
//! variants use the same seeds.

mod burst_model;
mod burst_run;

use std::{io, io::Write};

const SEEDS: u64 = 10;

/// The steady load, in percent of the sum of all limits.
const USES: [u32; 4] = [0, 35, 52, 56];

const VARIANTS: [(&str, burst_run::BurstVariant); 3] = [
    ("wishes", burst_run::BurstVariant::Wishes),
    ("dealt", burst_run::BurstVariant::Dealt),
    ("sibling", burst_run::BurstVariant::Sibling),
];

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "nodes  use  burst  way      arrivals  with_room  of_baseline  max_over_limit  questions/s"
    )?;
    for nodes in [2, 3, 6] {
        for use_percent in USES {
            for burst in [8, 48] {
                compare(&mut out, nodes, use_percent, burst)?;
            }
        }
    }
    Ok(())
}

fn compare(out: &mut impl Write, nodes: usize, use_percent: u32, burst: u32) -> io::Result<()> {
    let mut baseline = 0;
    for (name, variant) in VARIANTS {
        let mut total = burst_run::BurstCount::default();
        for seed in 0..SEEDS {
            let settings = burst_run::BurstSettings {
                nodes,
                use_percent,
                burst,
                variant,
            };
            total.add(&burst_run::BurstRun::new(seed, settings).finish());
        }
        if name == "wishes" {
            baseline = total.with_room;
        }
        let ratio = f64::from(total.with_room) / f64::from(baseline.max(1));
        let rate = total.ask_rate(nodes, SEEDS);
        writeln!(
            out,
            "{nodes:>5} {use_percent:>3}% {burst:>6}  {name:<8} {:>8} {:>10} {ratio:>12.3} {:>15} {rate:>12.2}",
            total.arrivals, total.with_room, total.over_limit,
        )?;
    }
    Ok(())
}
