//! Settings of the control decisions.

use pier_control::{health, leases, loads, orders, planning};

/// Durations and rules of all control decisions of a node; the defaults suit a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// The control lease.
    pub lease: leases::LeaseSettings,
    /// The planner.
    pub planner: planning::PlannerSettings,
    /// The age of evidence; the configuration sets the freshness.
    pub health: health::HealthSettings,
    /// The weight store; the configuration sets its rate.
    pub loads: loads::LoadSettings,
    /// Orders to engines.
    pub orders: orders::OrderSettings,
}
