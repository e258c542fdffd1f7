//! The state machine of the control lease.

use std::collections;

use pier_types::{epochs, ids, times};

use crate::leases;

/// Writes of unknown effect that are remembered; an older one that turns up later counts as
/// another node's, which is safe.
const PENDING_LIMIT: usize = 8;

/// Keeps the control lease of one data centre on behalf of one node.
///
/// ```
/// use std::time;
/// use pier_control::leases;
/// use pier_types::{ids, times};
///
/// let settings = leases::LeaseSettings::default();
/// let mut keeper = leases::LeaseKeeper::new("node-1".parse()?, settings);
/// let draw = leases::LeaseDraw { nonce: ids::LeaseNonce::new(1), jitter_permille: 0 };
/// let start = times::BootTime::from_millis(5);
/// let actions = keeper.step(leases::LeaseEvent::Tick, start, draw);
/// assert_eq!(actions, [leases::LeaseAction::Read]);
/// assert!(!keeper.holds(start));
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    node: ids::NodeName,
    settings: leases::LeaseSettings,
    present: collections::BTreeSet<ids::NodeName>,
    observed: Option<leases::ObservedLease>,
    held: Option<leases::HeldLease>,
    pending: Vec<leases::PendingWrite>,
    reading_since: Option<times::BootTime>,
    writing: Option<(ids::LeaseNonce, times::BootTime)>,
    read_at: times::BootTime,
    write_at: times::BootTime,
    resigned: bool,
}

impl LeaseKeeper {
    /// Makes a keeper that has seen nothing yet.
    pub fn new(node: ids::NodeName, settings: leases::LeaseSettings) -> Self {
        Self {
            present: [node.clone()].into(),
            node,
            settings,
            observed: None,
            held: None,
            pending: Vec::new(),
            reading_since: None,
            writing: None,
            read_at: times::BootTime::default(),
            write_at: times::BootTime::default(),
            resigned: false,
        }
    }

    /// Tells whether this node holds the lease; asked anew before every use.
    pub fn holds(&self, now: times::BootTime) -> bool {
        self.grant(now).is_some()
    }

    /// Returns the lease if this node holds it now.
    pub fn grant(&self, now: times::BootTime) -> Option<leases::LeaseGrant> {
        let held = self.held.as_ref().filter(|_held| !self.resigned)?;
        let grant = leases::LeaseGrant {
            term: held.term,
            until: held.usable_until(&self.settings),
        };
        (now >= held.sent_at && grant.covers(now)).then_some(grant)
    }

    /// Returns the newest record that this node saw, with its version.
    pub fn record(&self) -> Option<(epochs::ObjectVersion, &leases::LeaseRecord)> {
        let observed = self.observed.as_ref()?;
        Some((observed.version, observed.record.as_ref()?))
    }

    /// Tells whether the newest value of the lease object is no record.
    pub fn is_malformed(&self) -> bool {
        self.observed.as_ref().is_some_and(|seen| seen.malformed)
    }

    /// Sets the nodes that the next record's roster names; this node is always one of them.
    pub fn set_present(&mut self, mut present: collections::BTreeSet<ids::NodeName>) {
        present.insert(self.node.clone());
        self.present = present;
    }

    /// Takes in an event and returns the calls to make.
    pub fn step(
        &mut self,
        event: leases::LeaseEvent,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) -> Vec<leases::LeaseAction> {
        match event {
            leases::LeaseEvent::Tick => self.expire_calls(now),
            leases::LeaseEvent::ReadDone(reading) => {
                self.reading_since = None;
                self.observe(reading, now, draw);
            }
            leases::LeaseEvent::ReadFailed => {
                self.reading_since = None;
                self.read_at = now.after(self.settings.retry_delay);
            }
            leases::LeaseEvent::WriteDone { nonce, outcome } => {
                self.finish_write(nonce, outcome, now, draw);
            }
            leases::LeaseEvent::WatchChanged(reading) => self.observe(reading, now, draw),
        }
        self.next_actions(now, draw)
    }

    /// Lets the lease go: it is no longer used from now on, and other nodes need not wait.
    pub fn resign(
        &mut self,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) -> Vec<leases::LeaseAction> {
        let held = self.grant(now).and(self.held.clone());
        self.resigned = true;
        let Some(held) = held else {
            return Vec::new();
        };
        let record = leases::LeaseRecord {
            duration_ms: 0,
            ..self.new_record(held.term, draw)
        };
        vec![leases::LeaseAction::Write {
            record,
            if_version: held.version,
        }]
    }

    /// Gives up on calls that got no answer in time.
    fn expire_calls(&mut self, now: times::BootTime) {
        let timeout = self.settings.call_timeout;
        let expired = |since: times::BootTime| now.since(since) >= timeout;
        if self.reading_since.is_some_and(expired) {
            self.reading_since = None;
        }
        if self.writing.is_some_and(|(_nonce, since)| expired(since)) {
            self.writing = None;
            self.read_at = now;
        }
    }

    /// Takes in what a read or a watch showed.
    fn observe(
        &mut self,
        reading: leases::LeaseReading,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) {
        self.read_at = now.after(self.settings.read_interval);
        let jitter = u32::from(draw.jitter_permille.min(1_000));
        let spread = self.settings.takeover_spread * jitter / 1_000;
        let seen = leases::ObservedLease::new(reading, now, spread);
        if !seen.is_news(self.observed.as_ref()) {
            return;
        }
        self.settle(seen.version, seen.record.as_ref());
        self.observed = Some(seen);
    }

    /// Finds out whose write made a version, and steps down if it was another node's.
    fn settle(&mut self, version: epochs::ObjectVersion, record: Option<&leases::LeaseRecord>) {
        let own = record.and_then(|record| {
            self.pending
                .iter()
                .find(|write| write.record.nonce == record.nonce)
                .cloned()
        });
        let is_held = record.is_some_and(|record| self.holds_nonce(record.nonce));
        if let Some(write) = own {
            self.hold(&write, version);
        } else if !is_held {
            self.held = None;
        }
        self.pending.retain(|write| write.if_version >= version);
    }

    /// Tells whether the lease that this node wrote last bears a nonce.
    fn holds_nonce(&self, nonce: ids::LeaseNonce) -> bool {
        self.held.as_ref().is_some_and(|held| held.nonce == nonce)
    }

    /// Counts a write of this node as the lease, from before it was sent.
    fn hold(&mut self, write: &leases::PendingWrite, version: epochs::ObjectVersion) {
        self.held = Some(leases::HeldLease {
            term: write.record.term,
            version,
            nonce: write.record.nonce,
            sent_at: write.sent_at,
            duration: write.record.duration(),
        });
    }

    /// Takes in how a write ended; an unknown end is settled by reading the object.
    fn finish_write(
        &mut self,
        nonce: ids::LeaseNonce,
        outcome: leases::WriteOutcome,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) {
        if self.writing.is_some_and(|(last, _since)| last == nonce) {
            self.writing = None;
        }
        let known = self
            .pending
            .iter()
            .find(|write| write.record.nonce == nonce);
        let Some(write) = known.cloned() else {
            return;
        };
        if let leases::WriteOutcome::Stored(version) = outcome {
            let record = write.record;
            let reading = leases::LeaseReading::Found { version, record };
            self.observe(reading, now, draw);
        } else {
            self.read_at = now;
        }
    }

    /// Decides which calls are due.
    fn next_actions(
        &mut self,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) -> Vec<leases::LeaseAction> {
        let mut actions = Vec::new();
        if self.resigned {
            return actions;
        }
        if self.reading_since.is_none() && now >= self.read_at {
            self.reading_since = Some(now);
            self.read_at = now.after(self.settings.retry_delay);
            actions.push(leases::LeaseAction::Read);
        }
        if self.writing.is_none() && now >= self.write_at {
            actions.extend(self.next_write(now, draw));
        }
        actions
    }

    /// Writes if the lease is due for renewal or free.
    fn next_write(
        &mut self,
        now: times::BootTime,
        draw: leases::LeaseDraw,
    ) -> Option<leases::LeaseAction> {
        let observed = self.observed.as_ref().filter(|seen| !seen.malformed)?;
        let if_version = observed.version;
        let term = match &self.held {
            Some(held) if now < held.renew_at() => return None,
            Some(held) if self.holds(now) => held.term,
            // The record in force is this node's own, so no other node can be using the lease.
            Some(held) => held.term.next(),
            None if now >= observed.free_at(&self.settings) => observed.term().next(),
            None => return None,
        };
        let record = self.new_record(term, draw);
        self.remember(leases::PendingWrite {
            record: record.clone(),
            if_version,
            sent_at: now,
        });
        self.writing = Some((draw.nonce, now));
        self.write_at = now.after(self.settings.retry_delay);
        Some(leases::LeaseAction::Write { record, if_version })
    }

    /// Keeps a write until its effect is known, and forgets the oldest one beyond the limit.
    fn remember(&mut self, write: leases::PendingWrite) {
        if self.pending.len() >= PENDING_LIMIT {
            self.pending.remove(0);
        }
        self.pending.push(write);
    }

    /// Makes a record of this node.
    fn new_record(&self, term: epochs::LeaseTerm, draw: leases::LeaseDraw) -> leases::LeaseRecord {
        let known = self.observed.as_ref().and_then(|seen| seen.record.as_ref());
        let roster = known
            .map(|record| record.roster.clone())
            .unwrap_or_default();
        leases::LeaseRecord {
            holder: self.node.clone(),
            term,
            nonce: draw.nonce,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
            roster: roster.updated(&self.present),
        }
    }
}
