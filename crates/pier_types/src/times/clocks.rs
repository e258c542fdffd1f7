//! The clocks of this VM. The daemon reads them and passes the times to the decision logic.

use std::time;

use rustix::time as unix;

use crate::times;

/// Reads the boot-time clock, which keeps counting while the VM is suspended.
pub fn boot_now() -> times::BootTime {
    let reading = unix::clock_gettime(unix::ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let micros = u64::try_from(reading.tv_nsec).unwrap_or(0) / 1_000;
    times::BootTime::from_micros(seconds * 1_000_000 + micros)
}

/// Reads the time of day.
pub fn wall_now() -> times::WallTime {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    times::WallTime::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
