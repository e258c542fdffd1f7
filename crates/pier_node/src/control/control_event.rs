//! What happens to the control loop.

use pier_control::{leases, orders};
use pier_platform::objects;

/// The end of a call.
#[derive(Debug)]
pub(super) enum ControlEvent {
    /// A call on the lease object ended.
    Lease(leases::LeaseEvent),
    /// A read or a watch of the placement ended.
    PlacementRead(objects::ReadResult),
    /// A write of the placement ended.
    PlacementWritten(objects::WriteResult),
    /// An engine answered an order, or did not.
    OrderAnswered(Box<orders::MemberOrder>, orders::OrderReply),
}
