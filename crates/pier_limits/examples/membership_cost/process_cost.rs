//! The resource use of this process, as the operating system reports it.

use std::{fs, time};

use crate::Fault;

/// Reads the resident set size, in kilobytes.
pub fn resident_kb() -> Result<u64, Fault> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.ok_or("no VmRSS")?.parse()?)
}

/// Reads this process's CPU time, which the system counts in hundredths of a second.
pub fn cpu_time() -> Result<time::Duration, Fault> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().ok_or("no fields")?;
    let times = fields.split_whitespace().skip(11).take(2);
    let hundredths = times.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
    Ok(time::Duration::from_millis(hundredths * 10))
}
