//! Compares a gradual shift of a data centre's load with an immediate flip, in virtual time.
//!
//! There are three data centres of two nodes and six targets each. One is taken out of service
//! and returns with restarted, cold targets. The decisions are made by the real code: shares,
//! warmth and shift. Requests arrive at random, with the same seeds for both variants. There is
//! no network model.

mod centre_model;
mod study_result;
mod study_run;

use std::{io, io::Write};

const SEEDS: u64 = 10;

/// Arrivals in thousandths of a request per 50 ms and data centre.
const ARRIVALS: [u32; 4] = [400, 500, 600, 650];

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "use  way      arrivals  refused  moving  retries  with_room  p95_ms  max_over_limit  last_new_work_ms"
    )?;
    for arrivals in ARRIVALS {
        for (name, gradual) in [("flip", false), ("gradual", true)] {
            let mut total = study_result::StudyResult::default();
            for seed in 0..SEEDS {
                total.add(study_run::StudyRun::new(seed, arrivals, gradual).finish());
            }
            writeln!(out, "{:>2}%  {name:<8} {total}", usual_use(arrivals))?;
        }
    }
    Ok(())
}

/// Returns the percentage of all limits that is in use while all data centres serve. One arrival
/// in five is a pair, and a request takes 3.5 s.
const fn usual_use(arrivals: u32) -> u32 {
    arrivals * 20 * 12 / 10 * 35 / 10 / 960
}
