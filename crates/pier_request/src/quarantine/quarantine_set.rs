//! The requests that are held back.

use std::{collections, time};

use pier_types::{ids, times};

/// An immutable snapshot of the requests that are suspected or in quarantine, read by each request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineSet {
    pub(super) held: collections::BTreeMap<ids::RequestFingerprint, times::BootTime>,
    pub(super) implicated: collections::BTreeSet<ids::RequestFingerprint>,
}

impl QuarantineSet {
    /// Returns how long a request is held back, either in quarantine or while it is suspected;
    /// `None` when it may run.
    pub fn remaining(
        &self,
        fingerprint: ids::RequestFingerprint,
        now: times::BootTime,
    ) -> Option<time::Duration> {
        let until = self.held.get(&fingerprint)?;
        (now < *until).then(|| until.since(now))
    }

    /// Returns whether a request is implicated in a crash, so that its completion has to be
    /// recorded.
    pub fn is_implicated(&self, fingerprint: ids::RequestFingerprint) -> bool {
        self.implicated.contains(&fingerprint)
    }

    /// Returns the requests that are implicated in a crash.
    pub fn implicated(&self) -> collections::BTreeSet<ids::RequestFingerprint> {
        self.implicated.clone()
    }

    /// Returns the requests that are held back, and until when.
    pub fn held(&self) -> impl Iterator<Item = (ids::RequestFingerprint, times::BootTime)> {
        self.held
            .iter()
            .map(|(fingerprint, until)| (*fingerprint, *until))
    }

    /// Returns how many requests are held back.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is held back.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
