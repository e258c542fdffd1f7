//! The control loops of a node: lease, placement, health and orders.
//!
//! One task owns the state machines of `pier_control` and receives every reply as an event. Each
//! node watches the placement and evaluates the health of its groups; the lease holder also plans,
//! writes the placement and sends orders. Each call runs in its own task, so that a slow platform or
//! engine blocks nothing else. Taking a group out of service needs no call.

mod control_event;
mod control_loop;
mod control_settings;
mod control_view;
mod lease_calls;
mod lease_driver;
mod order_calls;
mod placement_calls;
mod placement_driver;
mod wanted_models;

use std::sync;

use pier_control::leases;
use tokio::sync::mpsc;

use control_event::ControlEvent;
pub use control_loop::spawn;
pub use control_settings::ControlSettings;
use control_view::ControlView;
use lease_driver::LeaseDriver;
use placement_driver::PlacementDriver;
pub use wanted_models::wanted_models;

/// Sends the results of calls to the loop.
type EventSender = mpsc::UnboundedSender<ControlEvent>;

/// The lease grant as a call sees it when it sends its order.
type SharedGrant = sync::Arc<arc_swap::ArcSwapOption<leases::LeaseGrant>>;
