//! The membership of nodes, and how a node behaves when it is cut off.
//!
//! The membership is soft state built from datagrams: complete within a data centre, and
//! exchanged between data centres by a few delegates. It decides only whom a node talks to and
//! asks; nothing that has to be unique depends on it.

mod gossip_plan;
mod isolation_facts;
mod isolation_policy;
mod isolation_state;
mod member_gossip;
mod member_health;
mod member_policy;
mod member_record;
mod member_table;
mod member_views;
mod tombstone_list;

pub use gossip_plan::GossipPlan;
pub use isolation_facts::IsolationFacts;
pub use isolation_policy::IsolationPolicy;
pub use isolation_state::{IsolationLevel, IsolationState};
pub use member_health::MemberHealth;
pub use member_policy::MemberPolicy;
pub(crate) use member_record::MemberRecord;
pub use member_table::MemberTable;
pub(crate) use tombstone_list::TombstoneList;
