//! Which nodes are there, and what a node does that is cut off.
//!
//! All of it is soft state out of datagrams: full within a data centre, by a few delegates across.
//! It chooses whom to talk to and whom to ask; nothing that must be unique depends on it.

mod gossip_plan;
mod isolation_facts;
mod isolation_policy;
mod isolation_stance;
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
pub use isolation_stance::{IsolationPlace, IsolationStance};
pub use member_health::MemberHealth;
pub use member_policy::MemberPolicy;
pub(crate) use member_record::MemberRecord;
pub use member_table::MemberTable;
pub(crate) use tombstone_list::TombstoneList;
