//! Simulates in virtual time how many cache misses a move of prefix caches would save, with the
//! same requests for each variant.
//!
//! `cargo run --release -p pier_request --example cache_moves`

mod cache_loss;
mod lru_cache;
mod simulated_pool;

use rand::{Rng, SeedableRng, rngs};

const SEEDS: u64 = 5;

/// Requests per second of one data centre at the peak: 3,700 over 8 data centres.
const REQUESTS_PER_SECOND: u64 = 462;

/// Number of different prefixes; their popularity follows Zipf's law.
const PREFIXES: usize = 20_000;

/// Second of the run at which caches are lost.
const LOSS_SECOND: u64 = 300;

/// Length of a run in seconds.
const END_SECOND: u64 = 600;

/// Phases of a run: name, first second and end in seconds.
const PHASES: [(&str, u64, u64); 4] = [
    ("before", 200, 300),
    ("first 10 s", 300, 310),
    ("next 50 s", 310, 360),
    ("then", 360, 600),
];

fn main() {
    println!("misses of a thousand requests, {SEEDS} seeds");
    for loss in cache_loss::CacheLoss::ALL {
        let mut counts = [(0_u64, 0_u64); PHASES.len()];
        for seed in 1..=SEEDS {
            run(loss, seed, &mut counts);
        }
        print!("{loss:<28}");
        for ((name, _start, _end), (requests, misses)) in PHASES.iter().zip(counts) {
            let permille = misses as f64 * 1_000.0 / requests.max(1) as f64;
            print!("  {name} {permille:5.1}");
        }
        println!();
    }
}

/// Simulates the requests of one seed and counts requests and misses by phase.
fn run(loss: cache_loss::CacheLoss, seed: u64, counts: &mut [(u64, u64); PHASES.len()]) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let ranks = zipf_sums();
    let mut pool = simulated_pool::SimulatedPool::default();
    for second in 0..END_SECOND {
        if second == LOSS_SECOND {
            pool.lose(loss);
        }
        for request in 0..REQUESTS_PER_SECOND {
            let now_ms = second * 1_000 + request * 1_000 / REQUESTS_PER_SECOND;
            let drawn = rng.random::<f64>() * ranks[ranks.len() - 1];
            let prefix = ranks.partition_point(|sum| *sum < drawn);
            let hit = pool.serve(prefix, now_ms, &mut rng);
            let phase = PHASES
                .iter()
                .position(|(_name, start, end)| (*start..*end).contains(&second));
            if let Some(phase) = phase {
                counts[phase].0 += 1;
                counts[phase].1 += u64::from(!hit);
            }
        }
    }
}

/// Returns the cumulative Zipf weights of all prefixes.
fn zipf_sums() -> Vec<f64> {
    let weights = (1..=PREFIXES).map(|rank| 1.0 / rank as f64);
    let sums = weights.scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.collect()
}
