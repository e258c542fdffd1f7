//! Measures size, parse time and comparison time of documents of increasing size.

use std::{fmt::Write as _, hint, time};

use pier_config::{changes, documents};

/// Number of timed runs, of which the median is printed.
const RUNS: usize = 21;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("data centres, models, customers: bytes, parse us, compare us");
    for (data_centres, models, customers) in [
        (3, 1, 10),
        (8, 4, 10),
        (8, 4, 100),
        (8, 4, 200),
        (8, 4, 400),
        (8, 16, 400),
    ] {
        let text = document(data_centres, models, customers)?;
        let parsed = text.parse::<documents::ConfigDocument>()?;
        let parse = median(|| {
            let _document = hint::black_box(text.parse::<documents::ConfigDocument>());
        });
        let compare = median(|| {
            hint::black_box(changes::DocumentDiff::between(&parsed, &parsed));
        });
        println!(
            "{data_centres}, {models}, {customers}: {}, {}, {}",
            text.len(),
            parse.as_micros(),
            compare.as_micros()
        );
    }
    Ok(())
}

fn median(mut work: impl FnMut()) -> time::Duration {
    let mut times = (0..RUNS).map(|_run| {
        let start = time::Instant::now();
        work();
        start.elapsed()
    });
    let mut times = times.by_ref().collect::<Vec<_>>();
    times.sort();
    times[RUNS / 2]
}

fn document(
    data_centres: usize,
    models: usize,
    customers: usize,
) -> Result<String, std::fmt::Error> {
    let mut text = "[document]\nname = cost\n[limits]\n\
                    weight-store-bytes-per-second = 2000000000\n"
        .to_owned();
    for model in 0..models {
        write!(
            text,
            "[model model-{model}]\nversion = 2026-11\nmembers = 4\nwarm-limit = 24\n\
             cold-limit = 2\ncontext-tokens = 32768\nmax-tokens = 4096\nweight-bytes = 40000000000\n"
        )?;
    }
    for data_centre in 0..data_centres {
        write!(
            text,
            "[data-centre dc-{data_centre}]\nregion = north\nstate = in-service\nentry-slots = 45\n"
        )?;
        for model in 0..models {
            writeln!(text, "replicas.model-{model} = 5")?;
        }
    }
    for customer in 0..customers {
        let hash = documents::KeyHash::of(&format!("key-{customer}"));
        write!(
            text,
            "[customer customer-{customer}]\nkey-sha256 = {hash}\nweight = 1\n\
             models = model-0\nrepeat = completions, GET\nretry-percent = 10\n"
        )?;
    }
    Ok(text)
}
