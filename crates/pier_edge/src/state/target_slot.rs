//! A target as this node uses it.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use pier_fleet::{budgets, dispatch, documents, locality};
use pier_types::{epochs, ids, times};
use tokio::sync::watch;

use crate::{crashes, serving, state};

/// Identifies a target: its VM, the start of that VM and the generation of its group.
pub(crate) type SlotKey = (ids::VmName, epochs::VmIncarnation, epochs::GroupGeneration);

/// What is behind a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotKind {
    Target,
    /// Another node, to which requests are passed on; the slot's VM is the node's name.
    Node,
}

/// A target with this node's connections to it and its load.
#[derive(Debug)]
pub(crate) struct TargetSlot {
    kind: SlotKind,
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
    pub generation: epochs::GroupGeneration,
    /// Model of the target's group; `None` for the target of a plain service.
    pub model: Option<ids::ModelName>,
    /// Number of requests that the target runs at the same time.
    pub slots: u32,
    pub is_local: bool,
    /// The links to the data centre of a target elsewhere.
    pub centre_link: Option<sync::Arc<state::CentreLink>>,
    pub gauge: sync::Arc<state::TargetGauge>,
    pub connections: serving::ConnectionPool,
    pub cold_limiter: sync::Mutex<budgets::ColdLimiter>,
    pub cold: sync::Mutex<ColdLimit>,
    /// The rate that the target states for all nodes together.
    pub limit: state::SharedLimit,
    pub loss_check: crashes::LossCheck,
    /// How often this node found the target stuck.
    stuck_count: watch::Sender<u64>,
    is_leaving: atomic::AtomicBool,
    /// When the registration ends, in microseconds; the greatest number while it is in the store.
    ends_at: atomic::AtomicU64,
    paused_until: sync::Mutex<times::BootTime>,
}

/// Until when a target is cold, and this node's share of the request rate it takes until then.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdLimit {
    pub until: times::BootTime,
    pub per_second: f64,
}

impl TargetSlot {
    pub(crate) fn new(
        key: SlotKey,
        address: net::SocketAddr,
        model: Option<ids::ModelName>,
        slots: u32,
        is_local: bool,
        connections: usize,
        limit: state::SharedLimit,
    ) -> Self {
        Self {
            kind: SlotKind::Target,
            vm: key.0,
            born: key.1,
            generation: key.2,
            model,
            slots,
            is_local,
            centre_link: None,
            gauge: sync::Arc::default(),
            connections: serving::ConnectionPool::new(address, connections),
            cold_limiter: sync::Mutex::new(budgets::ColdLimiter::new(rand::random())),
            cold: sync::Mutex::default(),
            limit,
            loss_check: crashes::LossCheck::default(),
            stuck_count: watch::Sender::new(0),
            is_leaving: atomic::AtomicBool::new(false),
            ends_at: atomic::AtomicU64::new(u64::MAX),
            paused_until: sync::Mutex::default(),
        }
    }

    /// Returns the slot of another node, to which connections are opened from the IP address
    /// `source`.
    pub(crate) fn of_node(
        name: ids::VmName,
        address: net::SocketAddr,
        source: net::IpAddr,
        is_local: bool,
    ) -> Self {
        let key = (
            name,
            epochs::VmIncarnation::default(),
            epochs::GroupGeneration::default(),
        );
        let max = state::MAX_FORWARDS_PER_NODE;
        let connections = usize::try_from(max).unwrap_or(usize::MAX);
        let limit = sync::Arc::default();
        let mut slot = Self::new(key, address, None, max, is_local, connections, limit);
        slot.kind = SlotKind::Node;
        slot.connections.connect_from(source);
        slot
    }

    /// Returns whether another node is behind the slot.
    pub(crate) fn is_node(&self) -> bool {
        self.kind == SlotKind::Node
    }

    pub(crate) fn key(&self) -> SlotKey {
        (self.vm.clone(), self.born, self.generation)
    }

    /// Returns what identifies this start of the VM after it is lost.
    pub(crate) fn as_lost(&self) -> crashes::LostTarget {
        crashes::LostTarget {
            vm: self.vm.clone(),
            born: self.born,
            address: self.connections.address(),
        }
    }

    /// Excludes the target from new requests; running ones continue.
    pub(crate) fn set_leaving(&self) {
        self.is_leaving.store(true, atomic::Ordering::Relaxed);
    }

    /// Sets when the target's registration ends; `None` while it is in the store.
    pub(crate) fn set_end(&self, ends_at: Option<times::BootTime>) {
        let micros = ends_at.map_or(u64::MAX, times::BootTime::as_micros);
        self.ends_at.store(micros, atomic::Ordering::Relaxed);
    }

    /// Returns whether the target is to get no further request: it leaves, or its registration has
    /// ended.
    pub(crate) fn is_leaving(&self, now: times::BootTime) -> bool {
        self.is_leaving.load(atomic::Ordering::Relaxed)
            || self.ends_at.load(atomic::Ordering::Relaxed) <= now.as_micros()
    }

    /// Excludes the target from new requests until `end`.
    pub(crate) fn set_pause(&self, end: times::BootTime) {
        *lock(&self.paused_until) = end;
    }

    /// Returns how long the target is still excluded, or `None` if it takes requests.
    pub(crate) fn pause_left(&self, now: times::BootTime) -> Option<time::Duration> {
        let end = *lock(&self.paused_until);
        (now < end).then(|| end.since(now))
    }

    /// Notifies this node's requests at the target that it is stuck, or that its group no longer
    /// serves, so that they look for another one.
    pub(crate) fn report_stuck(&self) {
        self.stuck_count.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes when the target is found stuck from now on.
    pub(crate) fn watch_stuck(&self) -> watch::Receiver<u64> {
        self.stuck_count.subscribe()
    }

    /// Returns the load as the choice of a target needs it; `view_age` is the usual age of loads.
    pub(crate) fn facts(
        &self,
        engine: Option<(&documents::EngineSpec, f64)>,
        view_age: time::Duration,
        now: times::BootTime,
    ) -> dispatch::LoadFacts {
        let running = self.gauge.running();
        let waiting_prompt = self.gauge.waiting_prompt();
        let slowness = engine.map_or(1.0, |(engine, pace)| {
            let expected =
                dispatch::PassModel::new(engine, pace).pass_time(running, waiting_prompt);
            let gap = self.gauge.gap(now).unwrap_or(expected);
            (gap.as_secs_f64() / expected.as_secs_f64().max(0.001)).clamp(1.0, 20.0)
        });
        let is_stuck = self.gauge.is_stuck(now) || self.gauge.is_reported_stuck(now);
        let is_unavailable = self.connections.is_full()
            || is_stuck
            || !self.allows_cold(now)
            || self.limit_wait(now).is_some();
        dispatch::LoadFacts {
            running,
            waiting: self.gauge.waiting(),
            waiting_prompt,
            mix: self.gauge.waiting_mix(),
            slots: self.slots,
            slowness,
            failure_rate: self.gauge.failure_rate(),
            is_local: self.is_local,
            centre: self.centre_facts(view_age, now),
            is_unavailable,
            answer_time: self.gauge.answer_time(),
        }
    }

    fn centre_facts(
        &self,
        view_age: time::Duration,
        now: times::BootTime,
    ) -> locality::CentreFacts {
        let link = self.centre_link.as_ref();
        link.map(|link| link.facts(view_age, now))
            .unwrap_or_default()
    }

    /// Counts a send against this node's rate at a target that is cold.
    pub(crate) fn count_send(&self, now: times::BootTime) {
        let limit = *lock(&self.cold);
        if limit.until > now && limit.per_second > 0.0 {
            lock(&self.cold_limiter).take(limit.per_second, now);
        }
    }

    /// Counts a request against this node's part of the rate that the target states. It is counted when
    /// the target is chosen, as others may be chosen before it is sent.
    pub(crate) fn take_limit(&self, now: times::BootTime) {
        lock(&self.limit).take(now);
    }

    /// Takes back the count of a request that is not sent to the chosen target after all.
    pub(crate) fn give_limit_back(&self, now: times::BootTime) {
        lock(&self.limit).give_back(now);
    }

    /// Returns for how long this node's part of the target's rate is used up; `None` if it is not.
    pub(crate) fn limit_wait(&self, now: times::BootTime) -> Option<time::Duration> {
        lock(&self.limit).wait(now)
    }

    fn allows_cold(&self, now: times::BootTime) -> bool {
        let limit = *lock(&self.cold);
        if limit.until <= now || limit.per_second <= 0.0 {
            return true;
        }
        lock(&self.cold_limiter).allows(limit.per_second, now)
    }
}

/// Locks a mutex; a value that a panicking holder left behind is used as it is.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
