//! Events of the control loop.

use pier_control::{leases, orders};
use pier_platform::objects;

/// The result of a call.
#[derive(Debug)]
pub(super) enum ControlEvent {
    /// A call on the lease object ended.
    Lease(leases::LeaseEvent),
    /// A read or a watch of the placement ended.
    PlacementRead(objects::ReadResult),
    /// A write of the placement ended.
    PlacementWritten(objects::WriteResult),
    /// A call with an order to an engine ended, with or without a reply.
    OrderAnswered(Box<orders::MemberOrder>, orders::OrderReply),
}
