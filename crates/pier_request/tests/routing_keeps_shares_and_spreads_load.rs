//! Tests that shares are never exceeded, that outdated load reports do not cause herding, and in
//! which order targets are chosen.

use std::{collections, sync, thread, time};

use pier_request::routing;
use pier_types::{epochs, ids, routes, sizes, times};
use rand::{Rng, SeedableRng, rngs};

const NOW: times::BootTime = times::BootTime::from_millis(10_000);

/// Builds a route table with one pool.
#[derive(Default)]
struct TableBuilder {
    targets: Vec<sync::Arc<routes::RouteTarget>>,
}

impl TableBuilder {
    fn add(mut self, number: usize, data_centre: &str, share: u32, running: u32) -> Self {
        self.targets.push(sync::Arc::new(routes::RouteTarget {
            target: target(number),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: data_centre.parse().unwrap(),
            generation: epochs::GroupGeneration::new(1),
            share: sizes::RequestCount::new(share),
            load: routes::TargetLoad {
                running: sizes::RequestCount::new(running),
                queued: sizes::RequestCount::new(0),
                probed_at: NOW,
            },
        }));
        self
    }

    fn build(self) -> routes::RouteTable {
        routes::RouteTable {
            pools: [(pool_key(), self.targets)].into(),
        }
    }
}

fn target(number: usize) -> ids::TargetId {
    ids::TargetId::Vm(format!("vm-{number:02}").parse().unwrap())
}

fn pool_key() -> routes::PoolKey {
    routes::PoolKey::Model("draft".parse().unwrap())
}

fn view_of(table: &routes::RouteTable) -> routing::RoutingView {
    let mut counters = routing::CounterRegistry::default();
    routing::RoutingView::default().replace(table, &"a".parse().unwrap(), &mut counters)
}

fn pool_of(view: &routing::RoutingView) -> &routing::PoolView {
    view.pool(&pool_key()).unwrap()
}

fn request<'a>(random: u64) -> routing::RouteRequest<'a> {
    routing::RouteRequest {
        tried: &[],
        holders: None,
        random,
        now: NOW,
    }
}

#[test]
fn no_target_gets_more_than_its_share_over_threads() {
    let table = (0..5).fold(TableBuilder::default(), |table, number| {
        table.add(number, "a", 3, 0)
    });
    let view = sync::Arc::new(view_of(&table.build()));
    let workers: Vec<_> = (0..8)
        .map(|seed| {
            let view = sync::Arc::clone(&view);
            thread::spawn(move || {
                let mut rng = rngs::StdRng::seed_from_u64(seed);
                let mut held = Vec::new();
                for _ in 0..3_000 {
                    held.extend(pool_of(&view).choose(&request(rng.random())));
                    for entry in pool_of(&view).entries() {
                        assert!(entry.counter.in_flight() <= entry.target.share);
                    }
                    if rng.random_range(0..3) > 0 && !held.is_empty() {
                        held.swap_remove(rng.random_range(0..held.len()));
                    }
                }
            })
        })
        .collect();
    for worker in workers {
        worker.join().unwrap();
    }
    for entry in pool_of(&view).entries() {
        assert_eq!(entry.counter.in_flight().get(), 0);
    }
}

#[test]
fn every_share_is_used_before_a_request_is_refused() {
    let table = TableBuilder::default().add(0, "a", 2, 9).add(1, "a", 0, 0);
    let table = table.add(2, "b", 3, 0).add(3, "a", 1, 0);
    let view = view_of(&table.build());
    let permits: Vec<_> = (0..6)
        .map(|random| pool_of(&view).choose(&request(random)).unwrap())
        .collect();
    let refusal = pool_of(&view).choose(&request(6)).unwrap_err();
    assert_eq!(refusal, routing::RouteRefusal::AllFull);
    drop(permits);
    assert!(pool_of(&view).choose(&request(7)).is_ok());
}

#[test]
fn the_local_data_centre_is_preferred_and_others_take_the_overflow() {
    let table = TableBuilder::default().add(0, "b", 5, 0).add(1, "a", 2, 5);
    let view = view_of(&table.build());
    let permits: Vec<_> = (0..4)
        .map(|random| pool_of(&view).choose(&request(random)).unwrap())
        .collect();
    let data_centres: Vec<_> = permits
        .iter()
        .map(|permit| permit.target().data_centre.as_str())
        .collect();
    assert_eq!(data_centres, ["a", "a", "b", "b"]);
}

#[test]
fn tried_targets_are_excluded() {
    let table = TableBuilder::default().add(0, "a", 5, 0).add(1, "b", 5, 0);
    let view = view_of(&table.build());
    let tried = [target(0), target(1)];
    let after_one = routing::RouteRequest {
        tried: &tried[..1],
        ..request(1)
    };
    let permit = pool_of(&view).choose(&after_one).unwrap();
    assert_eq!(permit.target().target, target(1));
    let after_both = routing::RouteRequest {
        tried: &tried,
        ..request(1)
    };
    let refusal = pool_of(&view).choose(&after_both).unwrap_err();
    assert_eq!(refusal, routing::RouteRefusal::NoTarget);
}

#[test]
fn counters_outlive_tables_while_requests_run() {
    let mut counters = routing::CounterRegistry::default();
    let local = "a".parse().unwrap();
    let table = TableBuilder::default().add(0, "a", 1, 0).build();
    let first = routing::RoutingView::default().replace(&table, &local, &mut counters);
    let permit = pool_of(&first).choose(&request(1)).unwrap();
    let empty = first.replace(&routes::RouteTable::default(), &local, &mut counters);
    drop(first);
    let second = empty.replace(&table, &local, &mut counters);
    let refusal = pool_of(&second).choose(&request(2)).unwrap_err();
    assert_eq!(refusal, routing::RouteRefusal::AllFull);
    drop(permit);
    assert!(pool_of(&second).choose(&request(3)).is_ok());
    drop(second);
    let _none = empty.replace(&routes::RouteTable::default(), &local, &mut counters);
    assert!(counters.is_empty());
}

#[test]
fn an_idle_target_is_not_flooded_between_reports() {
    let table = (1..20).fold(
        TableBuilder::default().add(0, "a", 100, 0),
        |table, number| table.add(number, "a", 100, 10),
    );
    let view = view_of(&table.build());
    let mut permits = Vec::new();
    let mut rng = rngs::StdRng::seed_from_u64(1);
    for _ in 0..100 {
        permits.push(pool_of(&view).choose(&request(rng.random())).unwrap());
    }
    let sent_there = permits
        .iter()
        .filter(|permit| permit.target().target == target(0))
        .count();
    // A choice by the load report alone would send all 100 to the idle target.
    assert!((5..=25).contains(&sent_there), "{sent_there} of 100");
}

#[test]
fn sends_and_ends_correct_the_load_until_the_next_report() {
    let mut counters = routing::CounterRegistry::default();
    let local = "a".parse().unwrap();
    let table = TableBuilder::default().add(0, "a", 9, 4).build();
    let view = routing::RoutingView::default().replace(&table, &local, &mut counters);
    let load =
        |view: &routing::RoutingView| pool_of(view).entries().next().unwrap().estimated_load(NOW);
    let permits: Vec<_> = (0..3)
        .map(|random| pool_of(&view).choose(&request(random)))
        .collect();
    assert_eq!(load(&view), 7);
    drop(permits);
    assert_eq!(load(&view), 4);
    // A new table with the same report does not change the estimate.
    assert_eq!(load(&view.replace(&table, &local, &mut counters)), 4);
}

#[test]
fn requests_ended_before_a_report_do_not_count_after_it() {
    let mut counters = routing::CounterRegistry::default();
    let local = "a".parse().unwrap();
    let table = TableBuilder::default().add(0, "a", 9, 1).build();
    let view = routing::RoutingView::default().replace(&table, &local, &mut counters);
    for random in 0..5 {
        drop(pool_of(&view).choose(&request(random)));
    }
    // The next probe falls into the same time bucket as the sends.
    let later = NOW.after(time::Duration::from_millis(1));
    let mut table = table;
    for target in table.pools.values_mut().flatten() {
        sync::Arc::make_mut(target).load.probed_at = later;
    }
    let view = view.replace(&table, &local, &mut counters);
    let entry = pool_of(&view).entries().next().unwrap();
    assert_eq!(entry.estimated_load(later), 1);
}

#[test]
fn a_target_with_a_stale_report_does_not_look_idle() {
    let table = TableBuilder::default().add(0, "a", 8, 0).build();
    let view = view_of(&table);
    let entry = pool_of(&view).entries().next().unwrap();
    assert_eq!(entry.estimated_load(NOW), 0);
    assert_eq!(
        entry.estimated_load(NOW.after(time::Duration::from_secs(6))),
        8
    );
}

#[test]
fn a_popular_prefix_stays_with_its_holder_until_load_outweighs_it() {
    let table = (0..10).fold(TableBuilder::default(), |table, number| {
        table.add(number, "a", 100, 4)
    });
    let view = view_of(&table.build());
    let holders = collections::BTreeSet::from([target(3)]);
    let mut rng = rngs::StdRng::seed_from_u64(2);
    let mut permits = Vec::new();
    let mut at_holder = Vec::new();
    for _ in 0..100 {
        let prefix_request = routing::RouteRequest {
            holders: Some(&holders),
            ..request(rng.random())
        };
        let permit = pool_of(&view).choose(&prefix_request).unwrap();
        at_holder.push(permit.target().target == target(3));
        permits.push(permit);
    }
    assert!(at_holder[..2].iter().all(|there| *there));
    let sent_there = at_holder.iter().filter(|there| **there).count();
    // An even spread gives 10; a choice by the prefix alone gives 100.
    assert!((10..=25).contains(&sent_there), "{sent_there} of 100");
}

#[test]
fn a_ceiling_applies_before_the_next_table() {
    let view = view_of(&TableBuilder::default().add(0, "a", 9, 0).build());
    let counter = &pool_of(&view).entries().next().unwrap().counter;
    let held: Vec<_> = (0..5)
        .map(|random| pool_of(&view).choose(&request(random)).unwrap())
        .collect();
    counter.set_ceiling(sizes::RequestCount::new(4));
    let refusal = pool_of(&view).choose(&request(5)).unwrap_err();
    assert_eq!(refusal, routing::RouteRefusal::AllFull);
    drop(held);
    let held: Vec<_> = (0..9)
        .filter_map(|random| pool_of(&view).choose(&request(random)).ok())
        .collect();
    assert_eq!(held.len(), 4);
    counter.set_ceiling(sizes::RequestCount::new(9));
    assert!(pool_of(&view).choose(&request(6)).is_ok());
}

#[test]
fn a_slow_target_gets_less_but_is_used_when_others_are_full() {
    let table = (0..4).fold(TableBuilder::default(), |table, number| {
        table.add(number, "a", 40, 0)
    });
    let view = view_of(&table.build());
    let slow = pool_of(&view).entries().next().unwrap();
    slow.counter.set_slow(true);
    let mut held: Vec<_> = (0..80)
        .map(|random| pool_of(&view).choose(&request(random)).unwrap())
        .collect();
    let at_slow = slow.counter.in_flight().get();
    assert!(at_slow <= 10, "{at_slow} of 80 at the slow target of four");
    held.extend((80..160).map(|random| pool_of(&view).choose(&request(random)).unwrap()));
    assert_eq!(slow.counter.in_flight().get(), 40);
}
