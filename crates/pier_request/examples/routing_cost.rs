//! Measures the time of one routing decision and compares it with round robin in the same run.

use std::{hint, sync, sync::atomic, time};

use pier_request::routing;
use pier_types::{epochs, ids, routes, sizes, times};

const DECISIONS: u32 = 300_000;
const ROUNDS: usize = 5;

fn table(targets: usize) -> routes::RouteTable {
    let targets = (0..targets).map(|number| {
        sync::Arc::new(routes::RouteTarget {
            target: ids::TargetId::Vm(format!("vm-{number}").parse().expect("a name")),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: "a".parse().expect("a name"),
            generation: epochs::GroupGeneration::new(1),
            share: sizes::RequestCount::new(8),
            load: routes::TargetLoad::default(),
        })
    });
    let key = routes::PoolKey::Model("m".parse().expect("a name"));
    routes::RouteTable {
        pools: [(key, targets.collect())].into(),
    }
}

fn nanos_each(mut work: impl FnMut(u64)) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..ROUNDS {
        let start = time::Instant::now();
        for number in 0..DECISIONS {
            work(u64::from(number));
        }
        let elapsed = start.elapsed().as_secs_f64();
        best = best.min(elapsed * 1e9 / f64::from(DECISIONS));
    }
    best
}

fn measure(targets: usize) {
    let mut counters = routing::CounterRegistry::default();
    let data_centre = "a".parse().expect("a name");
    let view =
        routing::RoutingView::default().replace(&table(targets), &data_centre, &mut counters);
    let (_key, pool) = view.pools().next().expect("a pool");
    let entries: Vec<_> = pool.entries().cloned().collect();
    let now = times::BootTime::from_millis(1_000);
    let holders = entries
        .iter()
        .take(40)
        .map(|entry| entry.target.target.clone());
    let holders = holders.collect();
    let tried = [entries[0].target.target.clone()];
    let request = |random| routing::RouteRequest {
        tried: &[],
        holders: None,
        random,
        now,
    };

    let next = atomic::AtomicUsize::new(0);
    let turns: Vec<_> = entries.iter().map(|_| atomic::AtomicU32::new(0)).collect();
    let round_robin = nanos_each(|_| {
        let turn = next.fetch_add(1, atomic::Ordering::Relaxed) % turns.len();
        turns[turn].fetch_add(1, atomic::Ordering::Relaxed);
        hint::black_box(turns[turn].fetch_sub(1, atomic::Ordering::Relaxed));
    });
    let plain = nanos_each(|random| {
        hint::black_box(pool.choose(&request(random)).is_ok());
    });
    let with_prefix = nanos_each(|random| {
        let request = routing::RouteRequest {
            tried: &tried,
            holders: Some(&holders),
            ..request(random)
        };
        hint::black_box(pool.choose(&request).is_ok());
    });
    let mut held = Vec::new();
    while let Ok(permit) = pool.choose(&request(held.len() as u64)) {
        held.push(permit);
    }
    let all_full = nanos_each(|random| {
        hint::black_box(pool.choose(&request(random)).is_err());
    });
    println!(
        "targets={targets} round_robin_ns={round_robin:.1} choose_ns={plain:.1} \
         choose_ratio={:.1} prefix_and_tried_ns={with_prefix:.1} prefix_and_tried_ratio={:.1} \
         all_full_ns={all_full:.1} all_full_ratio={:.1}",
        plain / round_robin,
        with_prefix / round_robin,
        all_full / round_robin,
    );
}

fn main() {
    for targets in [10, 100, 450] {
        measure(targets);
    }
}
