//! Decisions about control leases, group placement, repair and group health.
