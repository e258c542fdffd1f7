//! Decides which node of a data centre holds its control lease.
//!
//! At most one node at a time holds the lease, and only the holder changes groups and their members
//! and sends orders. The lease is one object of the platform, which is written conditionally. Its
//! holder counts the lease's duration from before it sent the write, and every other node counts it
//! from when it first saw the object's version, so clocks of different nodes are never compared.

mod call_state;
mod held_lease;
mod lease_action;
mod lease_error;
mod lease_event;
mod lease_grant;
mod lease_keeper;
mod lease_randomness;
mod lease_reading;
mod lease_record;
mod lease_settings;
mod node_roster;
mod observed_lease;
mod pending_write;
mod roster_tracker;
mod write_outcome;

use call_state::CallState;
use held_lease::HeldLease;
pub use lease_action::LeaseAction;
pub use lease_error::LeaseError;
pub use lease_event::LeaseEvent;
pub use lease_grant::LeaseGrant;
pub use lease_keeper::LeaseKeeper;
pub use lease_randomness::LeaseRandomness;
pub use lease_reading::LeaseReading;
pub use lease_record::LeaseRecord;
pub use lease_settings::LeaseSettings;
pub use node_roster::NodeRoster;
use observed_lease::ObservedLease;
use pending_write::PendingWrite;
pub use roster_tracker::RosterTracker;
pub use write_outcome::WriteOutcome;
