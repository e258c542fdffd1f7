//! The state machine of the control lease.

use std::{collections, net};

use pier_types::{epochs, ids, times};

use crate::leases;

/// Maximum number of remembered writes whose effect is unknown. A forgotten write that takes effect
/// later is treated as another node's, which is safe.
const MAX_PENDING_WRITES: usize = 8;

/// Acquires and renews the control lease of one data centre for one node.
///
/// ```
/// use std::time;
/// use pier_control::leases;
/// use pier_types::{ids, times};
///
/// let settings = leases::LeaseSettings::default();
/// let mut keeper = leases::LeaseKeeper::new("node-1".parse()?, settings);
/// let random = leases::LeaseRandomness { nonce: ids::WriteNonce::new(1), jitter_permille: 0 };
/// let start = times::BootTime::from_millis(5);
/// let actions = keeper.step(leases::LeaseEvent::Tick, start, random);
/// assert_eq!(actions, [leases::LeaseAction::Read]);
/// assert!(!keeper.holds(start));
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    node: ids::NodeName,
    settings: leases::LeaseSettings,
    present: collections::BTreeSet<ids::NodeName>,
    addresses: collections::BTreeMap<ids::NodeName, net::SocketAddr>,
    observed: Option<leases::ObservedLease>,
    held: Option<leases::HeldLease>,
    pending: Vec<leases::PendingWrite>,
    calls: leases::CallState,
    has_resigned: bool,
}

impl LeaseKeeper {
    /// Creates a keeper that has not read the lease object yet.
    pub fn new(node: ids::NodeName, settings: leases::LeaseSettings) -> Self {
        Self {
            present: [node.clone()].into(),
            addresses: collections::BTreeMap::new(),
            node,
            settings,
            observed: None,
            held: None,
            pending: Vec::new(),
            calls: leases::CallState::default(),
            has_resigned: false,
        }
    }

    /// Returns whether this node holds the lease now. To be checked again before every use.
    pub fn holds(&self, now: times::BootTime) -> bool {
        self.grant(now).is_some()
    }

    /// Returns the lease if this node holds it now.
    pub fn grant(&self, now: times::BootTime) -> Option<leases::LeaseGrant> {
        let held = self.held.as_ref().filter(|_held| !self.has_resigned)?;
        let grant = leases::LeaseGrant {
            term: held.term,
            until: held.usable_until(&self.settings),
        };
        (now >= held.sent_at && grant.covers(now)).then_some(grant)
    }

    /// Returns the newest record that this node has seen, with its version.
    pub fn record(&self) -> Option<(epochs::ObjectVersion, &leases::LeaseRecord)> {
        let observed = self.observed.as_ref()?;
        Some((observed.version, observed.record.as_ref()?))
    }

    /// Returns whether the newest value of the lease object is not a valid record.
    pub fn is_malformed(&self) -> bool {
        self.observed.as_ref().is_some_and(|seen| seen.is_malformed)
    }

    /// Sets the nodes for the next record's roster; this node is always added.
    pub fn set_present(&mut self, mut present: collections::BTreeSet<ids::NodeName>) {
        present.insert(self.node.clone());
        self.present = present;
    }

    /// Sets the addresses on which nodes receive datagrams, for the next record's roster.
    pub fn set_addresses(
        &mut self,
        addresses: collections::BTreeMap<ids::NodeName, net::SocketAddr>,
    ) {
        self.addresses = addresses;
    }

    /// Processes an event and returns the calls to make.
    pub fn step(
        &mut self,
        event: leases::LeaseEvent,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) -> Vec<leases::LeaseAction> {
        match event {
            leases::LeaseEvent::Tick => self.calls.expire(now, self.settings.call_timeout),
            leases::LeaseEvent::ReadDone(reading) => {
                self.calls.reading_since = None;
                self.observe(reading, now, random);
            }
            leases::LeaseEvent::ReadFailed => {
                self.calls.reading_since = None;
                self.calls.read_at = now.after(self.settings.retry_delay);
            }
            leases::LeaseEvent::WriteDone { nonce, outcome } => {
                self.finish_write(nonce, outcome, now, random);
            }
            leases::LeaseEvent::WatchChanged(reading) => self.observe(reading, now, random),
        }
        self.next_actions(now, random)
    }

    /// Gives up the lease for good. The returned write lets other nodes take it over without
    /// waiting for its end; no write is returned if this node does not hold the lease.
    pub fn resign(
        &mut self,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) -> Vec<leases::LeaseAction> {
        let held = self.grant(now).and(self.held.clone());
        self.has_resigned = true;
        let Some(held) = held else {
            return Vec::new();
        };
        let record = leases::LeaseRecord {
            duration_ms: 0,
            ..self.new_record(held.term, random)
        };
        vec![leases::LeaseAction::Write {
            record,
            if_version: held.version,
        }]
    }

    /// Processes the state of the lease object from a read, a watch or a completed write.
    fn observe(
        &mut self,
        reading: leases::LeaseReading,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) {
        self.calls.read_at = now.after(self.settings.read_interval);
        let jitter = u32::from(random.jitter_permille.min(1_000));
        let takeover_delay = self.settings.takeover_spread * jitter / 1_000;
        let reading_is_absent = reading == leases::LeaseReading::Absent;
        let seen = leases::ObservedLease::new(reading, now, takeover_delay);
        // A stale read may miss an object that this node has just written. If the object was really
        // deleted, this node's lease expires, since no renewal can succeed.
        let may_lag = reading_is_absent && self.holds(now);
        if may_lag || !seen.is_newer_than(self.observed.as_ref()) {
            return;
        }
        self.resolve_writes(seen.version, seen.record.as_ref());
        self.observed = Some(seen);
    }

    /// Determines which node wrote a version: adopts the lease if it was this node's pending write,
    /// and drops the held lease if it was another node's.
    fn resolve_writes(
        &mut self,
        version: epochs::ObjectVersion,
        record: Option<&leases::LeaseRecord>,
    ) {
        let own_write = record.and_then(|record| {
            self.pending
                .iter()
                .find(|write| write.record.nonce == record.nonce)
                .cloned()
        });
        let is_held = record.is_some_and(|record| self.holds_nonce(record.nonce));
        if let Some(write) = own_write {
            self.adopt_write(&write, version);
        } else if !is_held {
            self.held = None;
        }
        self.pending.retain(|write| write.if_version >= version);
    }

    /// Returns whether the held lease has a nonce.
    fn holds_nonce(&self, nonce: ids::WriteNonce) -> bool {
        self.held.as_ref().is_some_and(|held| held.nonce == nonce)
    }

    /// Adopts a write of this node as the held lease, whose duration counts from the write's
    /// sending.
    fn adopt_write(&mut self, write: &leases::PendingWrite, version: epochs::ObjectVersion) {
        self.held = Some(leases::HeldLease {
            term: write.record.term,
            version,
            nonce: write.record.nonce,
            sent_at: write.sent_at,
            duration: write.record.duration(),
        });
    }

    /// Processes the end of a write. Unless it is known to have succeeded, the object is read next.
    fn finish_write(
        &mut self,
        nonce: ids::WriteNonce,
        outcome: leases::WriteOutcome,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) {
        if self
            .calls
            .writing
            .is_some_and(|(last, _since)| last == nonce)
        {
            self.calls.writing = None;
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
            self.observe(reading, now, random);
        } else {
            self.calls.read_at = now;
        }
    }

    /// Returns the calls that are due.
    fn next_actions(
        &mut self,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) -> Vec<leases::LeaseAction> {
        let mut actions = Vec::new();
        if self.has_resigned {
            return actions;
        }
        if self.calls.reading_since.is_none() && now >= self.calls.read_at {
            self.calls.reading_since = Some(now);
            self.calls.read_at = now.after(self.settings.retry_delay);
            actions.push(leases::LeaseAction::Read);
        }
        if self.calls.writing.is_none() && now >= self.calls.write_at {
            actions.extend(self.next_write(now, random));
        }
        actions
    }

    /// Returns a write if the lease is due for renewal or free to be taken over.
    fn next_write(
        &mut self,
        now: times::BootTime,
        random: leases::LeaseRandomness,
    ) -> Option<leases::LeaseAction> {
        let observed = self.observed.as_ref().filter(|seen| !seen.is_malformed)?;
        let if_version = observed.version;
        let term = match &self.held {
            Some(held) if now < held.renew_at() => return None,
            Some(held) if self.holds(now) => held.term,
            // This node's lease has expired, but the current record is still its own, so no other
            // node can be using the lease.
            Some(held) => held.term.next(),
            None if now >= observed.free_at(&self.settings) => observed.term().next(),
            None => return None,
        };
        let record = self.new_record(term, random);
        self.remember(leases::PendingWrite {
            record: record.clone(),
            if_version,
            sent_at: now,
        });
        self.calls.writing = Some((random.nonce, now));
        self.calls.write_at = now.after(self.settings.retry_delay);
        Some(leases::LeaseAction::Write { record, if_version })
    }

    /// Remembers a write until its effect is known; drops the oldest one if there are too many.
    fn remember(&mut self, write: leases::PendingWrite) {
        if self.pending.len() >= MAX_PENDING_WRITES {
            self.pending.remove(0);
        }
        self.pending.push(write);
    }

    /// Creates a record with this node as the holder.
    fn new_record(
        &self,
        term: epochs::LeaseTerm,
        random: leases::LeaseRandomness,
    ) -> leases::LeaseRecord {
        let known = self.observed.as_ref().and_then(|seen| seen.record.as_ref());
        let roster = known
            .map(|record| record.roster.clone())
            .unwrap_or_default();
        leases::LeaseRecord {
            holder: self.node.clone(),
            term,
            nonce: random.nonce,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
            roster: roster
                .updated(&self.present)
                .with_addresses(&self.addresses),
        }
    }
}
