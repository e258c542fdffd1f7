//! Checks that the requests of all nodes at one target never exceed its limit.

use std::{collections, time};

use pier_limits::shares;
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;
use rand::{Rng, SeedableRng, rngs};

const NODES: usize = 6;
const SLOTS: u32 = 6;
const STEP: time::Duration = time::Duration::from_millis(100);
const STEPS: u64 = 3_000;
const LEASE: time::Duration = time::Duration::from_secs(6);

const POLICY: shares::SharePolicy = shares::SharePolicy {
    life: time::Duration::from_secs(3),
    work_limit: time::Duration::from_secs(8),
    lease_margin: time::Duration::from_millis(200),
};

const LONG_LIFE_POLICY: shares::SharePolicy = shares::SharePolicy {
    life: time::Duration::from_secs(10),
    ..POLICY
};

fn key() -> messages::ShareKey {
    let target = ids::TargetId::Vm("vm-1".parse().unwrap());
    messages::ShareKey::of(&target, 1)
}

fn name(index: usize) -> ids::NodeName {
    format!("node-{index}").parse().unwrap()
}

struct Node {
    holding: shares::ShareHolding,
    /// When each request at the target ends, even if the node is paused.
    work: Vec<times::BootTime>,
    paused_until: times::BootTime,
    believed_holder: (usize, epochs::LeaseTerm),
    ledger: Option<(shares::ShareLedger, times::BootTime)>,
}

enum Message {
    Ask(messages::ShareAsk),
    Grant(messages::ShareGrant),
}

struct Datagram {
    due: times::BootTime,
    from: usize,
    to: usize,
    message: Message,
}

struct Simulation {
    policy: shares::SharePolicy,
    rng: rngs::StdRng,
    now: times::BootTime,
    nodes: Vec<Node>,
    in_transit: Vec<Datagram>,
    split: shares::StaticSplit,
    holder: (usize, epochs::LeaseTerm, times::BootTime),
    limit: u32,
    highest: u32,
    started: u64,
}

impl Simulation {
    fn new(seed: u64, limit: u32, policy: shares::SharePolicy) -> Self {
        let node = |_| Node {
            holding: shares::ShareHolding::new(policy),
            work: Vec::new(),
            paused_until: times::BootTime::default(),
            believed_holder: (0, epochs::LeaseTerm::new(0)),
            ledger: None,
        };
        Self {
            policy,
            rng: rngs::StdRng::seed_from_u64(seed),
            now: times::BootTime::from_millis(10_000),
            nodes: (0..NODES).map(node).collect(),
            in_transit: Vec::new(),
            split: shares::StaticSplit::new(SLOTS, policy.life),
            holder: (0, epochs::LeaseTerm::new(0), times::BootTime::default()),
            limit,
            highest: limit,
            started: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let now = self.now;
        for node in &mut self.nodes {
            node.work.retain(|&ends_at| now < ends_at);
        }
        self.move_lease();
        self.deliver();
        for index in 0..NODES {
            self.act(index);
        }
    }

    /// Renews the lease or, once it has ended, gives it to a random node. Earlier holders are not
    /// told.
    fn move_lease(&mut self) {
        let (holder, term, end) = self.holder;
        let awake = self.nodes[holder].paused_until <= self.now;
        if self.now < end {
            if awake && self.rng.random_bool(0.2) && self.rng.random_bool(0.9) {
                self.holder.2 = self.now.after(LEASE);
                if let Some((_, ledger_end)) = &mut self.nodes[holder].ledger {
                    *ledger_end = self.now.after(LEASE);
                }
            }
            return;
        }
        let next = self.rng.random_range(0..NODES);
        if self.nodes[next].paused_until > self.now {
            return;
        }
        let term = term.next();
        let former = (0..NODES).map(name).collect();
        let mut ledger = shares::ShareLedger::new(self.policy, term, self.now, SLOTS, former);
        let recorded = (0..NODES).filter(|_| self.rng.random_bool(0.8));
        ledger.record_nodes(recorded.map(name).collect());
        self.nodes[next].ledger = Some((ledger, self.now.after(LEASE)));
        self.holder = (next, term, self.now.after(LEASE));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition::<Vec<_>, _>(|datagram| datagram.due <= now);
        self.in_transit = later;
        for datagram in due {
            if self.nodes[datagram.to].paused_until > now {
                self.in_transit.push(datagram);
                continue;
            }
            match datagram.message {
                Message::Grant(grant) => self.nodes[datagram.to].holding.apply_grant(&grant),
                Message::Ask(ask) => self.answer(datagram.to, datagram.from, &ask),
            }
        }
    }

    fn answer(&mut self, holder: usize, asker: usize, ask: &messages::ShareAsk) {
        let now = self.now;
        let limits = collections::BTreeMap::from([(key(), sizes::RequestCount::new(self.limit))]);
        let Some((ledger, end)) = &mut self.nodes[holder].ledger else {
            return;
        };
        ledger.set_limits(&limits, now);
        if let Some(grant) = ledger.answer(&name(asker), ask, now, *end) {
            self.send(holder, asker, Message::Grant(grant));
        }
    }

    /// Drops one message in five and delays some by up to 6 s.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.random_bool(0.2) {
            return;
        }
        let slow = self.rng.random_bool(0.1);
        let millis = self.rng.random_range(0..if slow { 6_000 } else { 150 });
        let due = self.now.after(time::Duration::from_millis(millis));
        self.in_transit.push(Datagram {
            due,
            from,
            to,
            message,
        });
    }

    fn act(&mut self, index: usize) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        if self.rng.random_bool(0.004) {
            let pause = time::Duration::from_millis(self.rng.random_range(500..15_000));
            self.nodes[index].paused_until = self.now.after(pause);
            return;
        }
        if self.rng.random_bool(0.1) {
            self.nodes[index].believed_holder = (self.holder.0, self.holder.1);
        }
        if self.rng.random_bool(0.15) {
            self.ask(index);
        }
        for _ in 0..self.rng.random_range(0..4) {
            self.start(index);
        }
    }

    fn fixed_share(&self, index: usize) -> u32 {
        let fixed = shares::LimitSplit::of(sizes::RequestCount::new(self.limit)).fixed;
        let slot = u32::try_from(index).unwrap();
        self.split.share(key(), slot, fixed, self.now).get()
    }

    fn ask(&mut self, index: usize) {
        let (holder, term) = self.nodes[index].believed_holder;
        let fixed = self.fixed_share(index);
        let running = u32::try_from(self.nodes[index].work.len()).unwrap();
        let running = running.saturating_sub(fixed);
        let demand = shares::ShareDemand {
            running: sizes::RequestCount::new(running),
            wanted: sizes::RequestCount::new(self.rng.random_range(0..12)),
        };
        let none = running == 0 && demand.wanted.get() == 0;
        let demand = if none {
            collections::BTreeMap::new()
        } else {
            collections::BTreeMap::from([(key(), demand)])
        };
        let ask = self.nodes[index].holding.ask(term, &demand, self.now);
        self.send(index, holder, Message::Ask(ask));
    }

    fn start(&mut self, index: usize) {
        let share = self.nodes[index].holding.share(key(), self.now).get();
        let allowed = usize::try_from(self.fixed_share(index) + share).unwrap();
        if self.nodes[index].work.len() >= allowed {
            return;
        }
        let millis = self.rng.random_range(100..8_000);
        let ends_at = self.now.after(time::Duration::from_millis(millis));
        self.nodes[index].work.push(ends_at);
        self.started += 1;
    }

    fn in_flight(&self) -> u32 {
        let count = self.nodes.iter().map(|node| node.work.len()).sum::<usize>();
        u32::try_from(count).unwrap()
    }
}

#[test]
fn the_sum_never_exceeds_the_limit_over_loss_delay_pauses_and_holder_changes() {
    for seed in 0..40 {
        let limit = [1, 2, 5, 16, 40][usize::try_from(seed / 2 % 5).unwrap()];
        // Shares that expire long before the lease does, and shares that outlive it.
        let policy = if seed % 2 == 0 {
            POLICY
        } else {
            LONG_LIFE_POLICY
        };
        let mut simulation = Simulation::new(seed, limit, policy);
        for step in 0..STEPS {
            simulation.step();
            let sum = simulation.in_flight();
            assert!(sum <= limit, "seed {seed} step {step}: {sum} over {limit}");
        }
        assert!(
            simulation.started > 20,
            "seed {seed}: only {} started",
            simulation.started
        );
    }
}

#[test]
fn after_a_fall_of_the_limit_the_sum_comes_down_and_stays_down() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 40, POLICY);
        for _ in 0..1_000 {
            simulation.step();
        }
        simulation.limit = 6;
        for step in 0..2_000 {
            simulation.step();
            let sum = simulation.in_flight();
            assert!(
                sum <= simulation.highest,
                "seed {seed} step {step}: {sum} over the previous limit"
            );
            // Old shares end after their lifetime of 3 s, and the requests under them after at
            // most another 8 s.
            let settled = step * 100 > 3_000 + 8_000;
            assert!(
                !settled || sum <= 6,
                "seed {seed} step {step}: {sum} over 6"
            );
        }
    }
}

#[test]
fn the_whole_pool_is_used_without_faults() {
    let policy = shares::SharePolicy::default();
    let start = times::BootTime::from_millis(1_000);
    let mut ledger =
        shares::ShareLedger::new(policy, epochs::LeaseTerm::new(1), start, SLOTS, [].into());
    ledger.record_nodes((0..NODES).map(name).collect());
    let limits = collections::BTreeMap::from([(key(), sizes::RequestCount::new(64))]);
    let mut holdings = (0..NODES)
        .map(|_| shares::ShareHolding::new(policy))
        .collect::<Vec<_>>();
    let demand = shares::ShareDemand {
        running: sizes::RequestCount::new(0),
        wanted: sizes::RequestCount::new(8),
    };
    let demand = collections::BTreeMap::from([(key(), demand)]);
    let mut now = start;
    for _ in 0..6 {
        now = now.after(time::Duration::from_secs(1));
        ledger.set_limits(&limits, now);
        for (index, holding) in holdings.iter_mut().enumerate() {
            let ask = holding.ask(epochs::LeaseTerm::new(1), &demand, now);
            let end = now.after(LEASE);
            if let Some(grant) = ledger.answer(&name(index), &ask, now, end) {
                holding.apply_grant(&grant);
            }
        }
    }
    let sum = holdings
        .iter()
        .map(|one| one.share(key(), now).get())
        .sum::<u32>();
    assert_eq!(sum, 48, "six nodes that want 8 each get the whole pool");
}

#[test]
fn uneven_wants_leave_no_part_of_the_pool_unused() {
    let start = times::BootTime::from_millis(1_000);
    let term = epochs::LeaseTerm::new(7);
    let mut ledger = shares::ShareLedger::new(POLICY, term, start, 2, [].into());
    ledger.record_nodes([name(0), name(1)].into());
    let limits = collections::BTreeMap::from([(key(), sizes::RequestCount::new(16))]);
    let mut holdings = [0, 1].map(|_| shares::ShareHolding::new(POLICY));
    for _ in 0..4 {
        for (index, holding) in holdings.iter_mut().enumerate() {
            ledger.set_limits(&limits, start);
            let wanted = sizes::RequestCount::new([9, 7][index]);
            let running = sizes::RequestCount::new(0);
            let demand = shares::ShareDemand { running, wanted };
            let ask = holding.ask(term, &[(key(), demand)].into(), start);
            let grant = ledger.answer(&name(index), &ask, start, start.after(LEASE));
            holding.apply_grant(&grant.unwrap());
        }
    }
    let held = holdings.map(|holding| holding.share(key(), start).get());
    assert_eq!(held, [6, 6]);
}

#[test]
fn nodes_that_observe_a_lower_limit_stay_within_it_together() {
    let policy = shares::SharePolicy::default();
    let now = times::BootTime::from_millis(1_000);
    let full = sizes::RequestCount::new(64);
    for observed_limit in 0..64 {
        let observed_limit = sizes::RequestCount::new(observed_limit);
        let sum = [12, 12, 12, 12]
            .map(|amount| {
                let mut holding = shares::ShareHolding::new(policy);
                let demand = collections::BTreeMap::from([(key(), shares::ShareDemand::default())]);
                let ask = holding.ask(epochs::LeaseTerm::new(1), &demand, now);
                holding.apply_grant(&messages::ShareGrant {
                    round: ask.round,
                    term: ask.term,
                    life_ms: 3_000,
                    entries: vec![messages::GrantEntry {
                        key: key(),
                        amount: sizes::RequestCount::new(amount),
                        limit: full,
                    }],
                });
                holding
                    .limited_share(key(), observed_limit, full, now)
                    .get()
            })
            .iter()
            .sum::<u32>();
        assert!(sum <= observed_limit.get());
    }
}

fn ask_once(
    ledger: &mut shares::ShareLedger,
    asker: usize,
    now: times::BootTime,
) -> Option<messages::ShareGrant> {
    let mut holding = shares::ShareHolding::new(POLICY);
    let demand = shares::ShareDemand {
        running: sizes::RequestCount::new(0),
        wanted: sizes::RequestCount::new(2),
    };
    let demand = collections::BTreeMap::from([(key(), demand)]);
    let ask = holding.ask(epochs::LeaseTerm::new(7), &demand, now);
    ledger.answer(&name(asker), &ask, now, now.after(LEASE))
}

#[test]
fn a_new_holder_assumes_the_maximum_for_each_former_node_until_it_reports() {
    let start = times::BootTime::from_millis(1_000);
    let term = epochs::LeaseTerm::new(7);
    let former = [name(0), name(1), name(2)].into();
    let mut ledger = shares::ShareLedger::new(POLICY, term, start, SLOTS, former);
    ledger.record_nodes([name(0), name(1)].into());
    // A limit of 8 has a pool of 6, of which one node may hold 2.
    let limits = collections::BTreeMap::from([(key(), sizes::RequestCount::new(8))]);
    ledger.set_limits(&limits, start);
    let granted = |ledger: &mut shares::ShareLedger, asker, now| {
        let grant = ask_once(ledger, asker, now);
        grant.map(|grant| grant.entries[0].amount.get())
    };
    assert_eq!(
        granted(&mut ledger, 0, start),
        Some(2),
        "nodes 1 and 2 may hold 2 each"
    );
    assert_eq!(
        granted(&mut ledger, 2, start),
        None,
        "not recorded any more"
    );
    assert_eq!(granted(&mut ledger, 1, start), Some(2));
    assert_eq!(
        ledger.charged(key()).get(),
        4,
        "2 stay reserved for node 2, which has not reported"
    );
    ledger.record_nodes([name(0), name(1), name(3)].into());
    assert_eq!(granted(&mut ledger, 3, start), Some(0));
    let later = start.after(POLICY.charge_time());
    assert_eq!(granted(&mut ledger, 4, later), None);
}
