//! Proves weighted shares under overload, full use without it, priorities and early refusals.

use std::{collections, sync, thread, time};

use pier_request::admission;
use pier_types::{codes, ids, priorities, sizes, times};
use rand::{Rng, SeedableRng, rngs};

const CAPACITY: u32 = 20;

fn name(text: &str) -> ids::CustomerName {
    text.parse().unwrap()
}

fn gate(weights: &[(&str, u32)]) -> admission::AdmissionGate {
    let weights = weights
        .iter()
        .map(|(text, weight)| (name(text), sizes::CustomerWeight::new(*weight)));
    admission::AdmissionGate::default().with_customers(&weights.collect())
}

fn question(customer: &ids::CustomerName, now: u64) -> admission::AdmissionQuestion<'_> {
    admission::AdmissionQuestion {
        customer,
        priority: priorities::RequestPriority::Normal,
        load: admission::PoolLoad {
            capacity: CAPACITY,
            running: CAPACITY,
            queued: 0,
        },
        deadline: times::BootTime::from_millis(now + 60_000),
        now: times::BootTime::from_millis(now),
    }
}

/// Callers of one customer that each send again 100 ms after an answer or a refusal.
struct FakeCallers {
    customer: ids::CustomerName,
    callers: Vec<u64>,
    admitted: u32,
    refused: u32,
}

impl FakeCallers {
    fn new(customer: &str, callers: usize) -> Self {
        Self {
            customer: name(customer),
            callers: (0..callers as u64).collect(),
            admitted: 0,
            refused: 0,
        }
    }

    fn send(
        &mut self,
        gate: &admission::AdmissionGate,
        now: u64,
        rng: &mut rngs::StdRng,
        running: &mut Vec<(u64, admission::AdmissionTicket)>,
    ) {
        for next in &mut self.callers {
            if *next > now {
                continue;
            }
            let Ok(ticket) = gate.admit(&question(&self.customer, now)) else {
                self.refused += 1;
                *next = now + 100;
                continue;
            };
            self.admitted += 1;
            let ends = now + rng.random_range(500..1_500);
            *next = ends + 100;
            running.push((ends, ticket));
        }
    }
}

/// Runs a minute in steps of 10 ms and returns the mean use of the capacity.
fn run_minute(gate: &admission::AdmissionGate, groups: &mut [FakeCallers]) -> f64 {
    let mut rng = rngs::StdRng::seed_from_u64(3);
    let mut running = Vec::new();
    let mut used = 0;
    for step in 1..6_000 {
        let now = step * 10;
        running.retain(|(ends, _ticket)| *ends > now);
        for group in &mut *groups {
            group.send(gate, now, &mut rng, &mut running);
        }
        assert!(running.len() <= CAPACITY as usize);
        used += running.len();
    }
    used as f64 / 6_000.0 / f64::from(CAPACITY)
}

#[test]
fn a_large_customer_does_not_starve_a_small_one() {
    let gate = gate(&[("large", 1), ("small", 1)]);
    let mut groups = [FakeCallers::new("large", 200), FakeCallers::new("small", 4)];
    let used = run_minute(&gate, &mut groups);
    let small = &groups[1];
    // Alone it would be admitted about 218 times, at 1.1 s each.
    assert!(small.admitted >= 195, "{} admitted", small.admitted);
    assert!(
        small.refused <= small.admitted / 10,
        "{} refused",
        small.refused
    );
    assert!(used >= 0.95, "{used} of the capacity used");
}

#[test]
fn customers_that_both_want_all_get_their_weights() {
    let gate = gate(&[("heavy", 3), ("light", 1)]);
    let mut groups = [
        FakeCallers::new("light", 200),
        FakeCallers::new("heavy", 200),
    ];
    let used = run_minute(&gate, &mut groups);
    let ratio = f64::from(groups[1].admitted) / f64::from(groups[0].admitted);
    assert!((2.6..=3.4).contains(&ratio), "ratio {ratio}");
    assert!(used >= 0.95, "{used} of the capacity used");
}

#[test]
fn a_customer_alone_may_use_all() {
    let gate = gate(&[("large", 1), ("small", 100)]);
    let mut groups = [FakeCallers::new("large", 200), FakeCallers::new("small", 0)];
    let used = run_minute(&gate, &mut groups);
    assert!(used >= 0.99, "{used} of the capacity used");
}

#[test]
fn low_priority_leaves_room_only_while_higher_ones_come() {
    let gate = gate(&[("college", 1)]);
    let customer = name("college");
    let asked = |priority, now| admission::AdmissionQuestion {
        priority,
        ..question(&customer, now)
    };
    let fill = |priority, now| {
        let tickets = (0..CAPACITY).map_while(|_| gate.admit(&asked(priority, now)).ok());
        tickets.collect::<Vec<_>>()
    };
    assert_eq!(fill(priorities::RequestPriority::Low, 1_000).len(), 20);
    let high = gate.admit(&asked(priorities::RequestPriority::High, 1_000));
    assert_eq!(fill(priorities::RequestPriority::Low, 1_100).len(), 15);
    assert_eq!(fill(priorities::RequestPriority::Normal, 1_100).len(), 18);
    assert_eq!(fill(priorities::RequestPriority::High, 1_100).len(), 19);
    drop(high);
    assert_eq!(fill(priorities::RequestPriority::Low, 20_000).len(), 20);
}

#[test]
fn refusals_say_why_and_when_to_come_back() {
    let gate = gate(&[("large", 1), ("small", 1)]);
    let (large, small) = (name("large"), name("small"));
    let mut held: Vec<_> = (0..CAPACITY)
        .map(|_| gate.admit(&question(&large, 1_000)).unwrap())
        .collect();
    held[0].record_service(time::Duration::from_secs(2));
    let refused = gate.admit(&question(&small, 1_000)).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::Overloaded);
    assert_eq!(refused.retry_after, Some(time::Duration::from_millis(100)));
    let refused = gate.admit(&question(&large, 1_000)).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::CustomerOverShare);
    assert_eq!(refused.retry_after, Some(time::Duration::from_secs(2)));
    // The next place that is free goes to the customer that is owed one.
    held.pop();
    assert!(gate.admit(&question(&large, 1_010)).is_err());
    assert!(gate.admit(&question(&small, 1_020)).is_ok());
    let empty = admission::AdmissionQuestion {
        load: admission::PoolLoad::default(),
        ..question(&small, 1_020)
    };
    let refused = gate.admit(&empty).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::NoServingTarget);
    let unknown = gate.admit(&question(&name("nobody"), 1_000)).unwrap_err();
    assert_eq!(unknown.code, codes::ResultCode::UnknownCustomer);
}

#[test]
fn a_deadline_that_can_not_be_met_is_refused_at_once() {
    let gate = gate(&[("college", 1)]);
    let customer = name("college");
    let asked = |wait: u64, queued| admission::AdmissionQuestion {
        deadline: times::BootTime::from_millis(1_000 + wait),
        load: admission::PoolLoad {
            capacity: CAPACITY,
            running: 10,
            queued,
        },
        ..question(&customer, 1_000)
    };
    let first = gate.admit(&asked(1, 50)).unwrap();
    first.record_service(time::Duration::from_secs(1));
    let code = |wait, queued| {
        gate.admit(&asked(wait, queued))
            .map_err(|refusal| refusal.code)
    };
    let too_close = codes::ResultCode::DeadlineTooClose;
    assert!(code(1_000, 0).is_ok());
    assert_eq!(code(999, 0).unwrap_err(), too_close);
    assert_eq!(code(1_400, 5).unwrap_err(), too_close);
    assert!(code(1_500, 5).is_ok());
    assert_eq!(code(0, 0).unwrap_err(), too_close);
}

#[test]
fn places_are_counted_right_over_threads_and_configurations() {
    let first = gate(&[("large", 1), ("small", 1)]);
    let weights: collections::BTreeMap<_, _> =
        [(name("small"), sizes::CustomerWeight::new(5))].into();
    let second = sync::Arc::new(first.with_customers(&weights));
    let held = first.admit(&question(&name("large"), 1_000)).unwrap();
    assert_eq!(second.in_flight(), 1);
    let workers: Vec<_> = (0..8)
        .map(|_| {
            let gate = sync::Arc::clone(&second);
            thread::spawn(move || {
                for now in 1_000..4_000 {
                    let _ticket = gate.admit(&question(&name("small"), now));
                    assert!(gate.in_flight() <= CAPACITY);
                }
            })
        })
        .collect();
    for worker in workers {
        worker.join().unwrap();
    }
    drop(held);
    assert_eq!(second.in_flight(), 0);
}

#[test]
fn customers_that_are_owed_places_do_not_hold_each_other_up() {
    let gate = gate(&[("large", 1), ("one", 1), ("two", 1)]);
    let (large, one, two) = (name("large"), name("one"), name("two"));
    let mut held: Vec<_> = (0..CAPACITY)
        .map(|_| gate.admit(&question(&large, 1_000)).unwrap())
        .collect();
    for _ in 0..6 {
        assert!(gate.admit(&question(&one, 1_000)).is_err());
        assert!(gate.admit(&question(&two, 1_000)).is_err());
    }
    held.truncate(CAPACITY as usize - 2);
    let _first = gate.admit(&question(&one, 1_010)).unwrap();
    let _second = gate.admit(&question(&two, 1_010)).unwrap();
}
