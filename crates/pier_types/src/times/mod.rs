//! Points in time, and the only place that reads a clock.

mod boot_time;
pub mod clocks;
mod wall_time;

pub use boot_time::BootTime;
pub use wall_time::WallTime;
