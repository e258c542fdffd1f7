//! The requests that are kept away from targets.

use std::{collections, time};

use pier_types::{ids, times};

/// An immutable snapshot that each request reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineSet {
    pub(super) quarantined: collections::BTreeMap<ids::RequestFingerprint, times::BootTime>,
    pub(super) implicated: collections::BTreeSet<ids::RequestFingerprint>,
}

impl QuarantineSet {
    /// Returns how long a request is kept away from now on; nothing when it may run.
    pub fn remaining(
        &self,
        fingerprint: ids::RequestFingerprint,
        now: times::BootTime,
    ) -> Option<time::Duration> {
        let until = self.quarantined.get(&fingerprint)?;
        (now < *until).then(|| until.since(now))
    }

    /// Tells whether a request is implicated in a crash, so that its completion clears it.
    pub fn is_implicated(&self, fingerprint: ids::RequestFingerprint) -> bool {
        self.implicated.contains(&fingerprint)
    }

    /// Returns how many requests are kept away.
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Tells whether no request is kept away.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }
}
