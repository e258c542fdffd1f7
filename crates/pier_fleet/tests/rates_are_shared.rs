//! Nodes share the request rates that targets state.

use std::time;

use pier_fleet::budgets;
use pier_types::{epochs, ids, rates, times};

const BORN: epochs::VmIncarnation = epochs::VmIncarnation::new(7);

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

fn nodes(count: usize) -> Vec<ids::NodeName> {
    let names = (0..count).map(|number| format!("edge-{number}").parse().unwrap());
    names.collect()
}

fn shares(vm: &str, milli: u64, names: &[ids::NodeName], local: usize) -> Vec<f64> {
    let vm: ids::VmName = vm.parse().unwrap();
    let candidates: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(position, node)| budgets::RateCandidate {
            node,
            is_local: position < local,
        })
        .collect();
    let rate = rates::RequestMilliRate::new(milli);
    let shares = names
        .iter()
        .map(|node| budgets::share_rate(&vm, BORN, rate, node, &candidates));
    shares.collect()
}

fn stated(milli: Option<u64>, millis: u64) -> budgets::StatedRate {
    budgets::StatedRate {
        rate: milli.map(rates::RequestMilliRate::new),
        stated_at: at(millis),
    }
}

/// Guards against parts that add up to more than the rate, or leave some of it to nobody.
#[test]
fn the_parts_of_all_nodes_add_up() {
    for count in [1, 2, 6, 79, 195] {
        for milli in [0, 300, 1_000, 4_700, 50_000, u64::MAX] {
            let shares = shares("t0", milli, &nodes(count), count / 3);
            let sum: f64 = shares.iter().sum();
            assert!((sum - 1.0).abs() < 1e-9, "{count} nodes, {milli}: {sum}");
        }
    }
}

/// Guards against a rate that is divided among so many nodes that none can use its part, or all send
/// at once.
#[test]
fn few_nodes_share_a_low_rate() {
    let names = nodes(195);
    let sharers = |milli| {
        let shares = shares("t0", milli, &names, 65);
        shares.into_iter().filter(|share| *share > 0.0).count()
    };
    assert_eq!((sharers(0), sharers(900), sharers(5_000)), (1, 1, 7));
}

/// Guards against one node that shares the rates of all targets.
#[test]
fn different_targets_are_shared_by_different_nodes() {
    let names = nodes(79);
    let mut used = vec![false; names.len()];
    for number in 0..200 {
        let shares = shares(&format!("t{number}"), 5_000, &names, 26);
        for (used, share) in used.iter_mut().zip(shares) {
            *used |= share > 0.0;
        }
    }
    let unused = used.iter().filter(|used| !**used).count();
    assert!(unused < 8, "{unused} nodes share no rate");
}

/// Guards against more than one and a half times the rate, and five, in any four seconds, however
/// eager the nodes are.
#[test]
fn eager_nodes_keep_the_rate_together() {
    for (count, milli) in [(1, 5_000), (6, 4_700), (6, 300), (79, 5_000), (195, 20_000)] {
        let shares = shares("t0", milli, &nodes(count), count / 3);
        let mut limits: Vec<_> = shares
            .into_iter()
            .map(|share| {
                let mut limit = budgets::TargetLimit::default();
                limit.record(stated(Some(milli), 0), at(0));
                limit.set_share(share, at(0));
                limit
            })
            .collect();
        let mut sends = Vec::new();
        for millis in (0..14_000).step_by(10) {
            for limit in &mut limits {
                while limit.allows(at(millis)) {
                    limit.take(at(millis));
                    sends.push(millis);
                }
            }
        }
        let in_window = |start: u64| {
            let inside = sends
                .iter()
                .filter(|at| (start..start + 4_000).contains(*at));
            inside.count()
        };
        let most = (0..10_000).step_by(100).map(in_window).max().unwrap();
        let allowed = 6.0 * milli as f64 / 1_000.0 + 5.0;
        assert!(most as f64 <= allowed, "{count} nodes, {milli}: {most}");
        let least = milli as f64 / 1_000.0 * 14.0 * 0.8 - 1.0;
        assert!(sends.len() as f64 >= least, "{} sends", sends.len());
    }
}

/// Guards against a late notice that replaces what a later answer stated.
#[test]
fn the_latest_answer_counts() {
    let mut limit = budgets::TargetLimit::default();
    assert!(limit.record(stated(Some(4_000), 100), at(100)));
    assert!(!limit.record(stated(Some(4_000), 150), at(150)));
    assert!(!limit.record(stated(Some(8_000), 120), at(200)));
    assert!(limit.record(stated(None, 300), at(300)));
    assert!(!limit.record(stated(Some(4_000), 250), at(310)));
    assert_eq!(limit.rate(at(320)), None);
}

/// Guards against requests that are counted although they were not sent.
#[test]
fn a_request_that_is_not_sent_does_not_count() {
    let mut limit = budgets::TargetLimit::default();
    limit.record(stated(Some(1_000), 0), at(0));
    limit.set_share(1.0, at(0));
    assert!(limit.allows(at(1_000)));
    limit.take(at(1_000));
    assert!(!limit.allows(at(1_000)));
    limit.give_back(at(1_000));
    assert!(limit.allows(at(1_000)));
}

/// Guards against a target that is never used again because no node asks it, and against one that
/// takes nothing and is asked often.
#[test]
fn a_target_that_takes_nothing_is_asked_rarely() {
    let mut limit = budgets::TargetLimit::default();
    limit.record(stated(Some(0), 0), at(0));
    limit.set_share(1.0, at(0));
    let mut sends = 0;
    for millis in (0..14_000).step_by(10) {
        if limit.allows(at(millis)) {
            limit.take(at(millis));
            sends += 1;
        }
    }
    assert!((1..=3).contains(&sends), "{sends} sends");
    assert!(limit.wait(at(14_000)).unwrap() >= time::Duration::from_millis(250));
    assert_eq!(limit.rate(at(60_000)), None, "nobody repeats it");
    assert!(limit.wait(at(60_000)).is_none());
}
