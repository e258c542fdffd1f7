//! A model of one data centre: its targets, its nodes and the real decisions between them.

use std::{collections, time};

use pier_limits::{shares, shifts, warmth};
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

pub const NODES: usize = 2;
const SLOTS: u32 = 2;
pub const TARGETS: usize = 6;
const LIMIT: sizes::RequestCount = sizes::RequestCount::new(16);
const TERM: epochs::LeaseTerm = epochs::LeaseTerm::new(1);
/// Minimum number of requests that a node wants to start beyond those in flight; the same as in
/// the daemon.
const MIN_HEADROOM: u32 = 2;
const LEASE: time::Duration = time::Duration::from_mins(1);

/// A running request.
struct ModelWork {
    node: usize,
    ends_at: times::BootTime,
}

struct ModelTarget {
    id: ids::TargetId,
    incarnation: epochs::VmIncarnation,
    ramp: warmth::WarmthRamp,
    work: Vec<ModelWork>,
}

impl ModelTarget {
    fn key(&self) -> messages::ShareKey {
        messages::ShareKey::of(&self.id, self.incarnation.get())
    }

    fn running(&self, node: usize) -> u32 {
        let own = self.work.iter().filter(|work| work.node == node);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.work.len()).unwrap_or(u32::MAX)
    }
}

/// A modelled data centre.
pub struct CentreModel {
    targets: Vec<ModelTarget>,
    ledger: shares::ShareLedger,
    holdings: Vec<shares::ShareHolding>,
    schedules: Vec<shares::AskSchedule>,
    split: shares::StaticSplit,
}

impl CentreModel {
    pub fn new(name: &str, now: times::BootTime) -> Result<Self, ids::NameError> {
        let policy = shares::SharePolicy::default();
        let mut ledger = shares::ShareLedger::new(policy, TERM, now, SLOTS, [].into());
        let nodes = (0..NODES).map(node_name).collect::<Result<_, _>>()?;
        ledger.record_nodes(nodes);
        let targets = (0..TARGETS)
            .map(|number| {
                let name = format!("{name}-{number}");
                Ok(ModelTarget {
                    id: ids::TargetId::Vm(name.parse()?),
                    incarnation: epochs::VmIncarnation::new(1),
                    ramp: warmth::WarmthRamp::new(LIMIT, warmth::WarmthPolicy::default()),
                    work: Vec::new(),
                })
            })
            .collect::<Result<_, ids::NameError>>()?;
        Ok(Self {
            targets,
            ledger,
            holdings: (0..NODES)
                .map(|_| shares::ShareHolding::new(policy))
                .collect(),
            schedules: (0..NODES).map(|_| shares::AskSchedule::default()).collect(),
            split: shares::StaticSplit::new(SLOTS, policy.life),
        })
    }

    /// Restarts every target, so that its requests are lost and it is cold.
    pub fn restart(&mut self) {
        for target in &mut self.targets {
            target.incarnation = target.incarnation.next();
            target.work.clear();
        }
    }

    /// Ends the requests that are over; returns the maximum excess over a limit.
    pub fn advance(&mut self, now: times::BootTime) -> u32 {
        let mut worst = 0;
        for target in &mut self.targets {
            target.work.retain(|work| now < work.ends_at);
            let limit = target.ramp.limit(now).get();
            worst = worst.max(target.in_flight().saturating_sub(limit));
        }
        worst
    }

    /// Reports every target's engine state.
    pub fn report(&mut self, state: reports::EngineState, now: times::BootTime) {
        let probed_at = now.before(time::Duration::from_millis(50));
        for target in &mut self.targets {
            target
                .ramp
                .record_report(target.incarnation, state, probed_at, now);
        }
    }

    /// Lets every node ask whose ask is due.
    pub fn share(&mut self, now: times::BootTime) -> Result<(), ids::NameError> {
        let limits = self
            .targets
            .iter()
            .map(|target| (target.key(), target.ramp.limit(now)));
        self.ledger.set_limits(&limits.collect(), now);
        for node in 0..NODES {
            let demand = self.demand(node, now);
            if !self.schedules[node].is_due(TERM, &demand, &self.holdings[node], now) {
                continue;
            }
            self.schedules[node].record_ask(TERM, &demand, now);
            let ask = self.holdings[node].ask(TERM, &demand, now);
            let name = node_name(node)?;
            if let Some(grant) = self.ledger.answer(&name, &ask, now, now.after(LEASE)) {
                self.holdings[node].apply_grant(&grant);
            }
        }
        Ok(())
    }

    /// Starts a request at the least loaded target with capacity for this node; returns false if
    /// there is none.
    pub fn start(&mut self, node: usize, ends_at: times::BootTime, now: times::BootTime) -> bool {
        let best = (0..TARGETS)
            .filter(|&index| self.has_capacity(node, index, now))
            .min_by_key(|&index| self.targets[index].work.len());
        let Some(index) = best else {
            return false;
        };
        self.targets[index].work.push(ModelWork { node, ends_at });
        true
    }

    /// Returns the free capacity of all targets.
    pub fn free_capacity(&self, now: times::BootTime) -> u32 {
        let free = |target: &ModelTarget| {
            target
                .ramp
                .limit(now)
                .get()
                .saturating_sub(target.in_flight())
        };
        self.targets.iter().map(free).sum()
    }

    /// Returns the mean number of requests at a target.
    pub fn mean_load(&self) -> u32 {
        self.targets.iter().map(ModelTarget::in_flight).sum::<u32>() / 6
    }

    /// Returns the part of the full capacity that the targets can handle now.
    pub fn warm(&self, now: times::BootTime) -> shifts::ShiftWeight {
        let limits = self
            .targets
            .iter()
            .map(|target| u64::from(target.ramp.limit(now).get()));
        let full = u64::from(LIMIT.get()) * 6;
        shifts::ShiftWeight::from_ratio(limits.sum(), full)
    }

    fn fixed(&self, node: usize, index: usize, now: times::BootTime) -> u32 {
        let target = &self.targets[index];
        let fixed = shares::LimitSplit::of(target.ramp.limit(now)).fixed;
        let slot = u32::try_from(node).unwrap_or(u32::MAX);
        self.split.share(target.key(), slot, fixed, now).get()
    }

    fn has_capacity(&self, node: usize, index: usize, now: times::BootTime) -> bool {
        let target = &self.targets[index];
        let granted = self.holdings[node].share(target.key(), now).get();
        target.running(node) < self.fixed(node, index, now) + granted
    }

    fn demand(
        &self,
        node: usize,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, shares::ShareDemand> {
        let demand = |(index, target): (usize, &ModelTarget)| {
            let fixed = self.fixed(node, index, now);
            let running = target.running(node);
            let headroom = MIN_HEADROOM.max(running / 2);
            let max_share = shares::LimitSplit::of(target.ramp.limit(now)).node_cap(SLOTS);
            let wanted = (running + headroom).saturating_sub(fixed);
            let need = shares::ShareDemand {
                running: sizes::RequestCount::new(running.saturating_sub(fixed)),
                wanted: sizes::RequestCount::new(wanted.clamp(1, max_share.get().max(1))),
            };
            (target.key(), need)
        };
        self.targets.iter().enumerate().map(demand).collect()
    }
}

fn node_name(node: usize) -> Result<ids::NodeName, ids::NameError> {
    format!("node-{node}").parse()
}
