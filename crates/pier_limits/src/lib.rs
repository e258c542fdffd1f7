//! Decisions about target limits, cold starts, node membership and failure detection.
//!
//! Each is a pure state machine: events and the present time in, typed results out.
//!
//! - [`shares`]: a target's limit split over nodes, never above the limit in sum.
//! - [`warmth`]: how much of its limit a target can bear now.
//! - [`members`]: which nodes are there, and what a cut-off node may do.
//! - [`probes`]: who probes which VM, and what is known of each.
//! - [`relays`]: how the VM list reaches each node.
//! - [`shifts`]: a data centre leaving and returning.

pub mod members;
pub mod probes;
pub mod relays;
pub mod shares;
pub mod shifts;
pub mod warmth;

mod hashing;
