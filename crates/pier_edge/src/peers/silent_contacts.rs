//! Nodes that fell silent and are tried now and then.

use std::{collections, net, time};

use pier_types::times;

/// Interval between two tries. A node that was cut off is known again this long after the cut at most.
const TRY_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// How long a silent node is tried: longer than cuts last, while a node that was removed is given up.
const CONTACT_LIFETIME: time::Duration = time::Duration::from_mins(30);

/// Most silent nodes that are tried, so that a fleet that was replaced costs few datagrams.
const MAX_CONTACTS: usize = 64;

/// The addresses at which nodes were known.
///
/// Nodes that were cut off from each other for longer than they remember each other would never meet
/// again, as their records in the store have not changed.
#[derive(Debug, Default)]
pub(super) struct SilentContacts {
    last_known: collections::BTreeMap<net::SocketAddr, times::BootTime>,
    tried_at: times::BootTime,
}

impl SilentContacts {
    /// Records which addresses are known, and returns the silent ones that are to be tried now.
    pub(super) fn due(
        &mut self,
        known: &[net::SocketAddr],
        now: times::BootTime,
    ) -> Vec<net::SocketAddr> {
        for address in known {
            self.last_known.insert(*address, now);
        }
        if now.since(self.tried_at) < TRY_INTERVAL {
            return Vec::new();
        }
        self.tried_at = now;
        self.last_known
            .retain(|_address, last| now.since(*last) < CONTACT_LIFETIME);
        let silent = self
            .last_known
            .iter()
            .filter(|(_address, last)| **last < now);
        let mut silent: Vec<_> = silent.map(|(address, last)| (*last, *address)).collect();
        silent.sort_by_key(|(last, _address)| std::cmp::Reverse(*last));
        silent.truncate(MAX_CONTACTS);
        silent.into_iter().map(|(_last, address)| address).collect()
    }
}
