//! Points in time and the functions that read the clocks.

mod boot_time;
pub mod clocks;
mod wall_time;

pub use boot_time::BootTime;
pub use wall_time::WallTime;
