//! The bodies of all requests of a node.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use pier_fleet::budgets;
use pier_types::{sizes, times};
use tokio::sync::{Notify, oneshot};

use super::{BodyBounds, BodyShare, ConnectionGuard};

/// How long a new connection over the limit waits for one that is being closed for it.
const CLOSE_WAIT: time::Duration = time::Duration::from_millis(250);

/// The memory that bodies take, and the connections that send them; cloning it is cheap.
#[derive(Debug, Clone)]
pub struct BodyRoom {
    shared: sync::Arc<SharedRoom>,
}

#[derive(Debug)]
struct SharedRoom {
    bodies: sync::Mutex<RoomBodies>,
    /// Notified when a body is released.
    released: Notify,
    max_connections: usize,
    connections: atomic::AtomicUsize,
    /// Notified when a connection has ended.
    disconnected: Notify,
}

#[derive(Debug)]
struct RoomBodies {
    budget: budgets::BodyBudget,
    /// Notify the readers of bodies that have to end.
    ends: collections::BTreeMap<budgets::BodyId, oneshot::Sender<budgets::BodyEnd>>,
}

impl RoomBodies {
    fn end(&mut self, id: budgets::BodyId, end: budgets::BodyEnd) {
        if let Some(sender) = self.ends.remove(&id) {
            // A reader that has just left releases the body anyway.
            let _left_already = sender.send(end);
        }
    }
}

impl BodyRoom {
    /// Creates the room of a node.
    pub fn new(bounds: BodyBounds) -> Self {
        let budget = budgets::BodyBudget::new(bounds.budget, bounds.least_rate);
        let bodies = RoomBodies {
            budget,
            ends: collections::BTreeMap::new(),
        };
        Self {
            shared: sync::Arc::new(SharedRoom {
                bodies: sync::Mutex::new(bodies),
                released: Notify::new(),
                max_connections: usize::try_from(bounds.connections).unwrap_or(usize::MAX),
                connections: atomic::AtomicUsize::new(0),
                disconnected: Notify::new(),
            }),
        }
    }

    /// Returns the bytes that all bodies hold.
    pub fn total(&self) -> sizes::ByteSize {
        self.lock().budget.total()
    }

    /// Counts a connection of a caller. Over the limit the least promising body is ended, whose
    /// connection closes; `None` if there is no such body, or it does not close at once.
    pub async fn connect(&self) -> Option<ConnectionGuard> {
        let disconnected = self.shared.disconnected.notified();
        if let Some(guard) = self.try_connect() {
            return Some(guard);
        }
        self.give_up_one()?;
        let waited = tokio::time::timeout(CLOSE_WAIT, disconnected).await;
        waited.ok().and_then(|()| self.try_connect())
    }

    /// Ends the least promising body; `None` if there is none.
    fn give_up_one(&self) -> Option<()> {
        let now = times::clocks::boot_now();
        let mut bodies = self.lock();
        let (victim, end) = bodies.budget.give_up_one(now)?;
        bodies.end(victim, end);
        Some(())
    }

    /// Locks the bodies; what a panicking holder left behind is used as it is.
    fn lock(&self) -> sync::MutexGuard<'_, RoomBodies> {
        let bodies = self.shared.bodies.lock();
        bodies.unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn try_connect(&self) -> Option<ConnectionGuard> {
        let limit = self.shared.max_connections;
        let more = |open: usize| (open < limit).then_some(open + 1);
        let order = atomic::Ordering::Relaxed;
        let counted = self.shared.connections.fetch_update(order, order, more);
        counted.ok().map(|_open| ConnectionGuard::new(self.clone()))
    }

    pub(super) fn disconnect(&self) {
        self.shared
            .connections
            .fetch_sub(1, atomic::Ordering::Relaxed);
        self.shared.disconnected.notify_waiters();
    }

    /// Adds a body; also returns a receiver that completes once the body has to end.
    pub(super) fn begin(
        &self,
        stated: Option<u64>,
        now: times::BootTime,
    ) -> (BodyShare, oneshot::Receiver<budgets::BodyEnd>) {
        let (sender, receiver) = oneshot::channel();
        let mut bodies = self.lock();
        let id = bodies.budget.begin(stated, now);
        bodies.ends.insert(id, sender);
        drop(bodies);
        (BodyShare::new(self.clone(), id), receiver)
    }

    pub(super) fn record_progress(&self, id: budgets::BodyId, now: times::BootTime) {
        self.lock().budget.record_progress(id, now);
    }

    /// Reserves memory for a part of a body, once the bodies that have to make room for it are
    /// released.
    ///
    /// # Errors
    ///
    /// Fails when the body is the one to be given up.
    pub(super) async fn reserve(
        &self,
        id: budgets::BodyId,
        bytes: u64,
    ) -> Result<(), budgets::BodyEnd> {
        loop {
            let released = self.shared.released.notified();
            {
                let now = times::clocks::boot_now();
                let mut bodies = self.lock();
                match bodies.budget.reserve(id, bytes, now) {
                    budgets::BodyGrant::Granted => return Ok(()),
                    budgets::BodyGrant::Refused(end) => return Err(end),
                    budgets::BodyGrant::Waits(ends) => {
                        for (victim, end) in ends {
                            bodies.end(victim, end);
                        }
                    }
                }
            }
            released.await;
        }
    }

    pub(super) fn complete(&self, id: budgets::BodyId) {
        let mut bodies = self.lock();
        bodies.budget.complete(id);
        bodies.ends.remove(&id);
    }

    pub(super) fn release(&self, id: budgets::BodyId) {
        let mut bodies = self.lock();
        bodies.budget.release(id);
        bodies.ends.remove(&id);
        drop(bodies);
        self.shared.released.notify_waiters();
    }
}
