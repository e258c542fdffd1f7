//! Checks that a burst after an idle time can use the free capacity of an idle target.

use std::{collections, time};

use pier_limits::shares;
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

const TERM: epochs::LeaseTerm = epochs::LeaseTerm::new(1);
const LEASE: time::Duration = time::Duration::from_mins(1);

/// The number of requests that an idle node wants beyond its fixed part.
const IDLE_WANTED: u32 = 1;

/// The number of rounds of asks after which idle nodes hold equal parts.
const IDLE_ROUNDS: u32 = 5;

type DemandMap = collections::BTreeMap<messages::ShareKey, shares::ShareDemand>;

fn key() -> messages::ShareKey {
    let target = ids::TargetId::Vm("vm-1".parse().unwrap());
    messages::ShareKey::of(&target, 1)
}

fn name(index: u32) -> ids::NodeName {
    format!("node-{index}").parse().unwrap()
}

fn demand(running: u32, wanted: u32) -> DemandMap {
    let need = shares::ShareDemand {
        running: sizes::RequestCount::new(running),
        wanted: sizes::RequestCount::new(wanted),
    };
    [(key(), need)].into()
}

/// The nodes of a data centre and the lease holder's ledger of one target.
struct DataCentre {
    ledger: shares::ShareLedger,
    holdings: Vec<shares::ShareHolding>,
    limit: sizes::RequestCount,
    now: times::BootTime,
}

impl DataCentre {
    fn new(nodes: u32, limit: u32) -> Self {
        let policy = shares::SharePolicy::default();
        let now = times::BootTime::from_millis(1_000);
        let mut ledger = shares::ShareLedger::new(policy, TERM, now, nodes, [].into());
        ledger.record_nodes((0..nodes).map(name).collect());
        let holdings = (0..nodes).map(|_| shares::ShareHolding::new(policy));
        Self {
            ledger,
            holdings: holdings.collect(),
            limit: sizes::RequestCount::new(limit),
            now,
        }
    }

    fn ask(&mut self, node: u32, demand: &DemandMap) {
        self.ledger
            .set_limits(&[(key(), self.limit)].into(), self.now);
        let holding = &mut self.holdings[usize::try_from(node).unwrap()];
        let ask = holding.ask(TERM, demand, self.now);
        let lease_end = self.now.after(LEASE);
        let grant = self
            .ledger
            .answer(&name(node), &ask, self.now, lease_end)
            .unwrap();
        holding.apply_grant(&grant);
    }

    fn idle(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now = self.now.after(time::Duration::from_secs(1));
            for node in 0..u32::try_from(self.holdings.len()).unwrap() {
                self.ask(node, &demand(0, IDLE_WANTED));
            }
        }
    }

    fn idle_but_first(&mut self) {
        self.now = self.now.after(time::Duration::from_secs(1));
        for node in 1..u32::try_from(self.holdings.len()).unwrap() {
            self.ask(node, &demand(0, IDLE_WANTED));
        }
    }

    /// Returns the number of requests that each node may have in flight.
    fn allowed(&self) -> Vec<u32> {
        let slots = u32::try_from(self.holdings.len()).unwrap();
        let fixed = shares::LimitSplit::of(self.limit).fixed;
        let split = shares::StaticSplit::new(slots, time::Duration::from_secs(10));
        let holdings = (0..slots).zip(&self.holdings);
        let allowed = |(slot, holding): (u32, &shares::ShareHolding)| {
            let granted = holding.share(key(), self.now).get();
            split.share(key(), slot, fixed, self.now).get() + granted
        };
        holdings.map(allowed).collect()
    }
}

#[test]
fn after_idle_the_whole_limit_of_a_target_is_usable() {
    for nodes in 1..=8 {
        for limit in 1..=64 {
            let mut centre = DataCentre::new(nodes, limit);
            centre.idle(IDLE_ROUNDS);
            let allowed = centre.allowed();
            let sum = allowed.iter().sum::<u32>();
            assert_eq!(sum, limit, "{nodes} nodes: {allowed:?}");
        }
    }
}

#[test]
fn a_burst_of_a_third_of_a_limit_finds_capacity_at_any_of_three_nodes() {
    for nodes in 1..=3 {
        for limit in (12..=96).step_by(12) {
            let mut centre = DataCentre::new(nodes, limit);
            centre.idle(IDLE_ROUNDS);
            let allowed = centre.allowed();
            let least = allowed.iter().min().copied().unwrap();
            assert!(least >= limit / 3, "{nodes} nodes, {limit}: {allowed:?}");
        }
    }
}

#[test]
fn unwanted_capacity_goes_to_a_busy_node_up_to_its_maximum() {
    let mut centre = DataCentre::new(8, 64);
    centre.idle(IDLE_ROUNDS);
    // A limit of 64 has a pool of 48: 6 for each of eight nodes, at most 12 for one.
    for _ in 0..3 {
        centre.ask(0, &demand(6, 20));
        centre.idle_but_first();
    }
    centre.ask(0, &demand(6, 20));
    let busy = centre.holdings[0].share(key(), centre.now).get();
    assert_eq!(busy, 12);
}

#[test]
fn a_want_above_the_maximum_of_a_node_does_not_reduce_other_shares() {
    let mut centre = DataCentre::new(2, 16);
    for _ in 0..IDLE_ROUNDS {
        centre.ask(0, &demand(0, 20));
        centre.ask(1, &demand(0, 5));
    }
    let held = centre.holdings.iter();
    let held: Vec<u32> = held
        .map(|holding| holding.share(key(), centre.now).get())
        .collect();
    assert_eq!(held, [6, 6], "of a pool of 12, half for each at most");
}

#[test]
fn a_node_that_wants_nothing_is_granted_nothing() {
    let mut centre = DataCentre::new(2, 24);
    centre.idle(2);
    centre.ask(1, &demand(3, 0));
    let held = centre.holdings[1].share(key(), centre.now).get();
    assert_eq!(held, 0);
    assert!(centre.ledger.charged(key()).get() <= 18);
}

fn schedule_after_ask(asked: &DemandMap) -> (shares::AskSchedule, times::BootTime) {
    let now = times::BootTime::from_millis(50_000);
    let mut schedule = shares::AskSchedule::default();
    schedule.record_ask(TERM, asked, now);
    (schedule, now)
}

fn first_due(
    schedule: &shares::AskSchedule,
    term: epochs::LeaseTerm,
    demand: &DemandMap,
    asked_at: times::BootTime,
) -> u64 {
    let holding = shares::ShareHolding::new(shares::SharePolicy::default());
    let due = |millis: &u64| {
        let now = asked_at.after(time::Duration::from_millis(*millis));
        schedule.is_due(term, demand, &holding, now)
    };
    (0..=3_000).step_by(100).find(due).unwrap()
}

#[test]
fn an_ask_is_due_soon_after_a_change_and_seldom_without_one() {
    let (schedule, asked_at) = schedule_after_ask(&demand(0, 0));
    let due = |term, demand: DemandMap| first_due(&schedule, term, &demand, asked_at);
    assert_eq!(due(TERM, demand(0, 0)), 2_000, "nothing changed");
    assert_eq!(due(TERM, demand(2, 4)), 300, "the share is used up");
    assert_eq!(due(TERM.next(), demand(0, 0)), 300, "another lease holder");
    let (schedule, asked_at) = schedule_after_ask(&DemandMap::new());
    assert_eq!(
        first_due(&schedule, TERM, &demand(0, 1), asked_at),
        300,
        "a new target"
    );
    let (schedule, asked_at) = schedule_after_ask(&demand(2, 4));
    let due = |demand: DemandMap| first_due(&schedule, TERM, &demand, asked_at);
    assert_eq!(due(demand(2, 4)), 1_000, "not answered");
    assert_eq!(due(demand(3, 5)), 1_000, "another unmet want");
}

#[test]
fn an_unmet_want_is_repeated_seldom_unless_the_holder_did_not_know_the_target() {
    let unmet = demand(2, 4);
    for (limit, expected) in [(0, 1_000), (8, 2_000)] {
        let (schedule, asked_at) = schedule_after_ask(&unmet);
        let mut centre = DataCentre::new(4, limit);
        centre.now = asked_at;
        centre.ask(0, &unmet);
        let due = |millis: &u64| {
            let now = asked_at.after(time::Duration::from_millis(*millis));
            schedule.is_due(TERM, &unmet, &centre.holdings[0], now)
        };
        let first = (0..=3_000).step_by(100).find(due);
        assert_eq!(first, Some(expected), "limit {limit}");
    }
}
