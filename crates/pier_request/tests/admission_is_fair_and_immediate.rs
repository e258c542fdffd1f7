//! Tests of admission: weighted shares under overload, full use of the capacity, priorities and
//! early refusals.

use std::{collections, sync, thread, time};

use pier_request::admission;
use pier_types::{codes, ids, priorities, sizes, times};
use rand::{Rng, SeedableRng, rngs};

const CAPACITY: u32 = 20;

fn name(text: &str) -> ids::CustomerName {
    text.parse().unwrap()
}

fn controller(weights: &[(&str, u32)]) -> admission::AdmissionController {
    let weights = weights
        .iter()
        .map(|(text, weight)| (name(text), sizes::CustomerWeight::new(*weight)));
    admission::AdmissionController::default().with_customers(&weights.collect())
}

fn request(customer: &ids::CustomerName, now: u64) -> admission::AdmissionRequest<'_> {
    admission::AdmissionRequest {
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

/// Callers of one customer; each sends its next request 100 ms after an answer or a refusal.
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
        controller: &admission::AdmissionController,
        now: u64,
        rng: &mut rngs::StdRng,
        running: &mut Vec<(u64, admission::AdmissionPermit)>,
    ) {
        for next in &mut self.callers {
            if *next > now {
                continue;
            }
            let Ok(permit) = controller.admit(&request(&self.customer, now)) else {
                self.refused += 1;
                *next = now + 100;
                continue;
            };
            self.admitted += 1;
            let ends = now + rng.random_range(500..1_500);
            *next = ends + 100;
            running.push((ends, permit));
        }
    }
}

/// Simulates one minute in steps of 10 ms and returns the mean utilisation of the capacity.
fn run_minute(controller: &admission::AdmissionController, customers: &mut [FakeCallers]) -> f64 {
    let mut rng = rngs::StdRng::seed_from_u64(3);
    let mut running = Vec::new();
    let mut used = 0;
    for step in 1..6_000 {
        let now = step * 10;
        running.retain(|(ends, _permit)| *ends > now);
        for customer in &mut *customers {
            customer.send(controller, now, &mut rng, &mut running);
        }
        assert!(running.len() <= CAPACITY as usize);
        used += running.len();
    }
    used as f64 / 6_000.0 / f64::from(CAPACITY)
}

#[test]
fn a_large_customer_does_not_starve_a_small_one() {
    let controller = controller(&[("large", 1), ("small", 1)]);
    let mut customers = [FakeCallers::new("large", 200), FakeCallers::new("small", 4)];
    let used = run_minute(&controller, &mut customers);
    let small = &customers[1];
    // Without competition it would be admitted about 218 times, at 1.1 s for each request.
    assert!(small.admitted >= 195, "{} admitted", small.admitted);
    assert!(
        small.refused <= small.admitted / 10,
        "{} refused",
        small.refused
    );
    assert!(used >= 0.95, "{used} of the capacity used");
}

#[test]
fn customers_under_full_demand_get_their_weighted_shares() {
    let controller = controller(&[("heavy", 3), ("light", 1)]);
    let mut customers = [
        FakeCallers::new("light", 200),
        FakeCallers::new("heavy", 200),
    ];
    let used = run_minute(&controller, &mut customers);
    let ratio = f64::from(customers[1].admitted) / f64::from(customers[0].admitted);
    assert!((2.6..=3.4).contains(&ratio), "ratio {ratio}");
    assert!(used >= 0.95, "{used} of the capacity used");
}

#[test]
fn a_lone_customer_may_use_the_full_capacity() {
    let controller = controller(&[("large", 1), ("small", 100)]);
    let mut customers = [FakeCallers::new("large", 200), FakeCallers::new("small", 0)];
    let used = run_minute(&controller, &mut customers);
    assert!(used >= 0.99, "{used} of the capacity used");
}

#[test]
fn low_priority_leaves_headroom_only_while_higher_priorities_arrive() {
    let controller = controller(&[("college", 1)]);
    let customer = name("college");
    let request_with = |priority, now| admission::AdmissionRequest {
        priority,
        ..request(&customer, now)
    };
    let fill = |priority, now| {
        let permits =
            (0..CAPACITY).map_while(|_| controller.admit(&request_with(priority, now)).ok());
        permits.collect::<Vec<_>>()
    };
    assert_eq!(fill(priorities::RequestPriority::Low, 1_000).len(), 20);
    let high = controller.admit(&request_with(priorities::RequestPriority::High, 1_000));
    assert_eq!(fill(priorities::RequestPriority::Low, 1_100).len(), 15);
    assert_eq!(fill(priorities::RequestPriority::Normal, 1_100).len(), 18);
    assert_eq!(fill(priorities::RequestPriority::High, 1_100).len(), 19);
    drop(high);
    assert_eq!(fill(priorities::RequestPriority::Low, 20_000).len(), 20);
}

#[test]
fn refusals_give_a_code_and_a_retry_after() {
    let controller = controller(&[("large", 1), ("small", 1)]);
    let (large, small) = (name("large"), name("small"));
    let mut held: Vec<_> = (0..CAPACITY)
        .map(|_| controller.admit(&request(&large, 1_000)).unwrap())
        .collect();
    held[0].record_service_time(time::Duration::from_secs(2));
    let refused = controller.admit(&request(&small, 1_000)).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::Overloaded);
    assert_eq!(refused.retry_after, Some(time::Duration::from_millis(100)));
    let refused = controller.admit(&request(&large, 1_000)).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::CustomerOverShare);
    assert_eq!(refused.retry_after, Some(time::Duration::from_secs(2)));
    // The next free slot goes to the customer that is below its share.
    held.pop();
    assert!(controller.admit(&request(&large, 1_010)).is_err());
    assert!(controller.admit(&request(&small, 1_020)).is_ok());
    let empty = admission::AdmissionRequest {
        load: admission::PoolLoad::default(),
        ..request(&small, 1_020)
    };
    let refused = controller.admit(&empty).unwrap_err();
    assert_eq!(refused.code, codes::ResultCode::NoServingTarget);
    let unknown = controller
        .admit(&request(&name("nobody"), 1_000))
        .unwrap_err();
    assert_eq!(unknown.code, codes::ResultCode::UnknownCustomer);
}

#[test]
fn an_infeasible_deadline_is_refused() {
    let controller = controller(&[("college", 1)]);
    let customer = name("college");
    let request_with = |wait: u64, queued| admission::AdmissionRequest {
        deadline: times::BootTime::from_millis(1_000 + wait),
        load: admission::PoolLoad {
            capacity: CAPACITY,
            running: 10,
            queued,
        },
        ..request(&customer, 1_000)
    };
    let first = controller.admit(&request_with(1, 50)).unwrap();
    first.record_service_time(time::Duration::from_secs(1));
    let code = |wait, queued| {
        controller
            .admit(&request_with(wait, queued))
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
fn in_flight_counts_hold_over_threads_and_configurations() {
    let first = controller(&[("large", 1), ("small", 1)]);
    let weights: collections::BTreeMap<_, _> =
        [(name("small"), sizes::CustomerWeight::new(5))].into();
    let second = sync::Arc::new(first.with_customers(&weights));
    let held = first.admit(&request(&name("large"), 1_000)).unwrap();
    assert_eq!(second.in_flight(), 1);
    let workers: Vec<_> = (0..8)
        .map(|_| {
            let controller = sync::Arc::clone(&second);
            thread::spawn(move || {
                for now in 1_000..4_000 {
                    let _permit = controller.admit(&request(&name("small"), now));
                    assert!(controller.in_flight() <= CAPACITY);
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
fn customers_with_unmet_shares_do_not_block_each_other() {
    let controller = controller(&[("large", 1), ("one", 1), ("two", 1)]);
    let (large, one, two) = (name("large"), name("one"), name("two"));
    let mut held: Vec<_> = (0..CAPACITY)
        .map(|_| controller.admit(&request(&large, 1_000)).unwrap())
        .collect();
    for _ in 0..6 {
        assert!(controller.admit(&request(&one, 1_000)).is_err());
        assert!(controller.admit(&request(&two, 1_000)).is_err());
    }
    held.truncate(CAPACITY as usize - 2);
    let _first = controller.admit(&request(&one, 1_010)).unwrap();
    let _second = controller.admit(&request(&two, 1_010)).unwrap();
}
