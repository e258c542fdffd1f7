//! An order that is ready to send.

use std::net;

use pier_types::{ids, times};

use crate::{leases, orders};

/// An order with the VM that it goes to.
///
/// Its body can only be had together with a fresh look at the clock and the lease, so that a node
/// that was paused between building and sending an order sends nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberOrder {
    /// The VM.
    pub vm: ids::VmName,
    /// Where its engine listens.
    pub address: net::SocketAddr,
    pub(super) order: orders::EngineOrder,
    pub(super) grant: leases::LeaseGrant,
}

impl MemberOrder {
    /// Returns the body to send at this moment; none when the lease or its rest is too short.
    ///
    /// `grant` is what [`leases::LeaseKeeper::grant`] says at this moment. The call that sends the
    /// body must end within the life that the body states.
    pub fn body(
        &self,
        grant: Option<leases::LeaseGrant>,
        now: times::BootTime,
        settings: &orders::OrderSettings,
    ) -> Option<orders::EngineOrder> {
        let grant = grant.filter(|grant| grant.term == self.grant.term && grant.covers(now))?;
        let life = grant.until.since(now).min(settings.life);
        if life < settings.least_life {
            return None;
        }
        let mut order = self.order.clone();
        order.expires_in_ms = u64::try_from(life.as_millis()).unwrap_or(0);
        Some(order)
    }

    /// Returns what the order asks for, with the life it had when it was built.
    pub fn planned(&self) -> &orders::EngineOrder {
        &self.order
    }
}
