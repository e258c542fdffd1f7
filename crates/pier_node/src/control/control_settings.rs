//! Settings of the control loops.

use pier_control::{health, leases, loads, orders, planning};

/// The settings of all control loops of a node; the defaults suit a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// The control lease.
    pub lease: leases::LeaseSettings,
    /// The planner.
    pub planner: planning::PlannerSettings,
    /// Limits on the age of evidence; the configuration sets the freshness.
    pub health: health::HealthSettings,
    /// Loading from the weight store; the configuration sets its rate.
    pub loads: loads::LoadSettings,
    /// Orders to engines.
    pub orders: orders::OrderSettings,
}
