//! The control loops of a node: lease, placement, health and orders.
//!
//! One task owns the state machines of `pier_control` and gets every reply as an event. Each node
//! watches the placement and judges its groups; the holder of the lease also plans, writes the
//! placement and sends orders. Calls run in tasks of their own, so that a slow platform or engine
//! holds up nothing: stopping needs no call.

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

/// The way by which calls report to the loop.
type EventSender = mpsc::UnboundedSender<ControlEvent>;

/// The lease as calls see it at the moment of sending.
type SharedGrant = sync::Arc<arc_swap::ArcSwapOption<leases::LeaseGrant>>;
