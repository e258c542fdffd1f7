//! Replay protection for all senders.

use std::{collections, time};

use pier_types::{ids, times};

use crate::seals;

/// Detects replayed datagrams, in bounded memory.
///
/// A sender's window is dropped when the sender is silent for the expiry time, or when the guard is
/// full and this sender has been silent the longest. Its earlier datagrams can then be replayed, so
/// no message relies on this guard alone: each is idempotent or names the request that it answers.
#[derive(Debug)]
pub struct ReplayGuard {
    windows: collections::BTreeMap<(ids::NodeName, seals::NodeInstance), SenderRecord>,
    capacity: usize,
    expiry: time::Duration,
    swept_at: times::BootTime,
}

#[derive(Debug)]
struct SenderRecord {
    window: seals::ReplayWindow,
    last_accepted_at: times::BootTime,
}

impl ReplayGuard {
    /// Creates a guard for at most `capacity` senders; each is forgotten when it was silent for
    /// `expiry`.
    pub const fn new(capacity: usize, expiry: time::Duration) -> Self {
        Self {
            windows: collections::BTreeMap::new(),
            capacity,
            expiry,
            swept_at: times::BootTime::from_micros(0),
        }
    }

    /// Records the sequence number of an authentic datagram; returns false if it is a replay.
    pub fn accept(
        &mut self,
        sender: &ids::NodeName,
        instance: seals::NodeInstance,
        sequence: u64,
        now: times::BootTime,
    ) -> bool {
        self.sweep(now);
        let key = (sender.clone(), instance);
        if !self.windows.contains_key(&key) && self.windows.len() >= self.capacity {
            self.evict_idlest();
        }
        let record = self.windows.entry(key).or_insert(SenderRecord {
            window: seals::ReplayWindow::default(),
            last_accepted_at: now,
        });
        let fresh = record.window.accept(sequence);
        if fresh {
            record.last_accepted_at = now;
        }
        fresh
    }

    /// Returns the number of remembered senders.
    pub fn sender_count(&self) -> usize {
        self.windows.len()
    }

    fn sweep(&mut self, now: times::BootTime) {
        if now.since(self.swept_at) < self.expiry / 4 {
            return;
        }
        self.swept_at = now;
        let expiry = self.expiry;
        self.windows
            .retain(|_, record| now.since(record.last_accepted_at) < expiry);
    }

    fn evict_idlest(&mut self) {
        let idlest = self
            .windows
            .iter()
            .min_by_key(|(_, record)| record.last_accepted_at)
            .map(|(key, _)| key.clone());
        if let Some(key) = idlest {
            self.windows.remove(&key);
        }
    }
}
