//! An order to one VM that is due.

use std::net;

use pier_types::{ids, times};

use crate::{leases, orders};

/// An order together with the VM that it is sent to.
///
/// The body is available only after a check of the current time and lease, so that a node that was
/// paused between creating and sending an order does not send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberOrder {
    /// The VM.
    pub vm: ids::VmName,
    /// The address on which its engine listens.
    pub address: net::SocketAddr,
    pub(super) order: orders::EngineOrder,
    pub(super) grant: leases::LeaseGrant,
}

impl MemberOrder {
    /// Returns the body to send now, or `None` when the lease is not held any more, is of another
    /// term or ends too soon.
    ///
    /// `grant` must be the current result of [`leases::LeaseKeeper::grant`]. The call that sends
    /// the body must end within the lifetime that the body states.
    pub fn body(
        &self,
        grant: Option<leases::LeaseGrant>,
        now: times::BootTime,
        settings: &orders::OrderSettings,
    ) -> Option<orders::EngineOrder> {
        let grant = grant.filter(|grant| grant.term == self.grant.term && grant.covers(now))?;
        let lifetime = grant.until.since(now).min(settings.lifetime);
        if lifetime < settings.min_lifetime {
            return None;
        }
        let mut order = self.order.clone();
        order.expires_in_ms = u64::try_from(lifetime.as_millis()).unwrap_or(0);
        Some(order)
    }

    /// Returns the order as it was created, with `expires_in_ms` not set yet.
    pub fn planned(&self) -> &orders::EngineOrder {
        &self.order
    }
}
