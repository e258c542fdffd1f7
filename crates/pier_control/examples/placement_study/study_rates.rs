//! Rates and sizes of the study. The failure and replacement rates are those required of the whole
//! platform, divided by its eight data centres; the other values are assumptions.

/// Seconds in a day.
pub const DAY_SECONDS: u64 = 86_400;
/// VM failures a day in one data centre.
pub const FAILURES_A_DAY: f64 = 47.0 / 8.0;
/// Planned replacements of VMs a day in one data centre.
pub const REPLACEMENTS_A_DAY: f64 = 750.0 / 8.0;
/// Outages of a whole domain a day: one in 45 days.
pub const OUTAGES_A_DAY: f64 = 1.0 / 45.0;
/// Number of VMs in each fabric domain.
pub const DOMAIN_SIZES: [u64; 7] = [72, 68, 66, 64, 62, 60, 58];
/// Number of large groups that are wanted.
pub const LARGE_GROUPS: u32 = 10;
/// Number of VMs in a large group.
pub const LARGE_MEMBERS: u32 = 32;
/// Number of small groups that are wanted, unless given on the command line.
pub const SMALL_GROUPS: u32 = 24;
/// Number of VMs in a small group.
pub const SMALL_MEMBERS: u32 = 4;
/// Time until a failed VM is removed from the VM list, in seconds.
pub const LIST_LAG_SECONDS: u64 = 60;
/// Time until the platform starts a VM in place of a failed one, in seconds.
pub const FAILED_VM_GAP_SECONDS: u64 = 600;
/// Time between the notice of a replacement and the removal of the VM, in seconds.
pub const NOTICE_SECONDS: u64 = 120;
/// Time between the removal of a VM after a notice and the start of its replacement, in seconds.
pub const REPLACED_VM_GAP_SECONDS: u64 = 60;
/// Length of an outage, in seconds.
pub const OUTAGE_SECONDS: u64 = 1_800;
/// Size of the weights that one VM loads, in bytes.
pub const WEIGHT_BYTES: u64 = 20_000_000_000;
/// Time between two steps, in seconds.
pub const STEP_SECONDS: u64 = 2;
/// After this time without a change the simulation skips to the next event, in seconds.
pub const QUIET_SECONDS: u64 = 30;
/// Time after an outage at which the planner is run again, in seconds. It is a little more than the
/// planner waits before it replaces the members in a domain with an outage, which is 120 s.
pub const REPLAN_SECONDS: u64 = 130;
