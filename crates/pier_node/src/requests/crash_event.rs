//! What requests report about crashes of targets.

use std::net;

use pier_types::{epochs, ids};

/// An event for the crash history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CrashEvent {
    /// A target closed the connection of a request, or failed while it ran.
    ConnectionClosed {
        /// The target.
        target: ids::TargetId,
        /// Its generation.
        generation: epochs::GroupGeneration,
        /// The request.
        fingerprint: ids::RequestFingerprint,
        /// How many requests were running there.
        suspects: u32,
        /// The address at which its report is fetched, to see whether its process is the same.
        address: net::SocketAddr,
        /// Its incarnation as of the last probe.
        incarnation: Option<epochs::VmIncarnation>,
    },
    /// A request that is implicated in a crash completed.
    Completed(ids::RequestFingerprint),
}
