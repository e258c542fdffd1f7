//! A known node.

use pier_types::times;
use pier_wire::messages;

use crate::members;

/// What is known of a node, and when it was learned.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) entry: messages::MemberEntry,
    /// When its heartbeat last rose, as told by the node itself or by gossip.
    pub(crate) heard_at: times::BootTime,
    /// When the latest datagram from the node itself arrived.
    pub(crate) direct_at: Option<times::BootTime>,
}

impl MemberRecord {
    pub(crate) fn health(
        &self,
        policy: &members::MemberPolicy,
        now: times::BootTime,
    ) -> members::MemberHealth {
        if now.since(self.heard_at) <= policy.suspect_after {
            members::MemberHealth::Alive
        } else {
            members::MemberHealth::Suspect
        }
    }
}
