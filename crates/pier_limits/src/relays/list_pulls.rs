//! Pulls of the VM list that are waiting for a reply.

use std::collections;

use pier_types::{ids, times};
use pier_wire::messages;

/// Maximum number of pulls that are waiting for a reply.
const MAX_OPEN_PULLS: usize = 8;

/// Numbers the pulls and records which node each was sent to.
#[derive(Debug)]
pub(crate) struct ListPulls {
    last: u64,
    open: collections::BTreeMap<u64, OpenPull>,
}

/// A pull that is waiting for its reply, a [`messages::ListNote`].
#[derive(Debug)]
pub(crate) struct OpenPull {
    reader: ids::NodeName,
    /// When the pull was sent.
    pub(crate) asked_at: times::BootTime,
    /// The digest of the list that the reply will refer to.
    pub(crate) known: Option<messages::ListDigest>,
}

impl ListPulls {
    /// Creates an instance without pulls.
    pub(crate) const fn new() -> Self {
        Self {
            last: 0,
            open: collections::BTreeMap::new(),
        }
    }

    /// Creates the next pull.
    pub(crate) fn open(
        &mut self,
        reader: &ids::NodeName,
        known: Option<messages::ListDigest>,
        now: times::BootTime,
    ) -> messages::ListPull {
        self.last += 1;
        let open = OpenPull {
            reader: reader.clone(),
            asked_at: now,
            known,
        };
        self.open.insert(self.last, open);
        while self.open.len() > MAX_OPEN_PULLS {
            self.open.pop_first();
        }
        messages::ListPull {
            pull: self.last,
            known,
        }
    }

    /// Returns the pull that a node's note answers, and removes it, so that no note counts twice.
    pub(crate) fn close(&mut self, sender: &ids::NodeName, pull: u64) -> Option<OpenPull> {
        let open = self.open.get(&pull)?;
        if open.reader != *sender {
            return None;
        }
        self.open.remove(&pull)
    }
}
