//! Rates and sizes of the study. Those of failures and replacements are the letter's, for one of
//! eight data centres; the others are assumptions.

/// Seconds in a day.
pub const DAY_SECONDS: u64 = 86_400;
/// VM failures a day in one data centre.
pub const FAILURES_A_DAY: f64 = 47.0 / 8.0;
/// Planned replacements of VMs a day in one data centre.
pub const REPLACEMENTS_A_DAY: f64 = 750.0 / 8.0;
/// Outages of a whole domain a day: one in a month and a half.
pub const OUTAGES_A_DAY: f64 = 1.0 / 45.0;
/// VMs in each fabric domain.
pub const DOMAIN_SIZES: [u64; 7] = [72, 68, 66, 64, 62, 60, 58];
/// Large groups that are wanted.
pub const LARGE_GROUPS: u32 = 10;
/// VMs in a large group.
pub const LARGE_MEMBERS: u32 = 32;
/// Small groups that are wanted unless the command line says otherwise.
pub const SMALL_GROUPS: u32 = 24;
/// VMs in a small group.
pub const SMALL_MEMBERS: u32 = 4;
/// Until the list forgets a VM that failed, in seconds.
pub const LIST_LAG: u64 = 60;
/// Until the platform brings another VM for one that failed, in seconds.
pub const FAILED_VM_GAP: u64 = 600;
/// Between the notice of a replacement and the end of the VM, in seconds.
pub const NOTICE: u64 = 120;
/// Until the VM that replaces it is there, in seconds.
pub const REPLACED_VM_GAP: u64 = 60;
/// Length of an outage, in seconds.
pub const OUTAGE_LENGTH: u64 = 1_800;
/// What one VM reads to load its part of a model, in bytes.
pub const WEIGHT_BYTES: u64 = 20_000_000_000;
/// Seconds between two steps.
pub const STEP: u64 = 2;
/// Without a change for so long, the next event is awaited, in seconds.
pub const QUIET: u64 = 30;
/// Until the planner no longer holds a dark domain's groups, in seconds.
pub const DARK_HOLD: u64 = 130;
