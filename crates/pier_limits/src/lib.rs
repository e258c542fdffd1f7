//! Decisions about target limits, cold starts, node membership and failure detection.
//!
//! Each module is a pure state machine: events and the current time go in, typed results come
//! out.
//!
//! - [`shares`]: splits a target's limit over nodes, never above the limit in sum.
//! - [`warmth`]: how much of its limit a target can handle now.
//! - [`members`]: which nodes exist, and what a cut-off node may do.
//! - [`probes`]: which node probes which VM, and what is known of each VM.
//! - [`relays`]: how the VM list is distributed to the nodes.
//! - [`shifts`]: shifts load when a data centre goes out of service or returns.

pub mod members;
pub mod probes;
pub mod relays;
pub mod shares;
pub mod shifts;
pub mod warmth;

mod hashing;
