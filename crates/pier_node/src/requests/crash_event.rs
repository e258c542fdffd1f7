//! What requests tell of crashes.

use std::net;

use pier_types::{epochs, ids};

/// One piece of news for the ledger of crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CrashEvent {
    /// A target closed the connection of a request that ran there.
    ConnectionClosed {
        /// The target.
        target: ids::TargetId,
        /// Its generation.
        generation: epochs::GroupGeneration,
        /// The request.
        fingerprint: ids::RequestFingerprint,
        /// How many requests ran there.
        suspects: u32,
        /// Where it is asked whether it is still the same process.
        address: net::SocketAddr,
        /// Its incarnation by the last probe.
        incarnation: Option<epochs::VmIncarnation>,
    },
    /// A request that is implicated in a crash ran to its end.
    Completed(ids::RequestFingerprint),
}
