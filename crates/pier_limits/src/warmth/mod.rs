//! How much of its limit a target can handle now.
//!
//! Guarantees that a target in a cold start receives no more load than it can handle.

mod slow_targets;
mod target_latency;
mod warmth_policy;
mod warmth_ramp;

pub use slow_targets::SlowTargets;
pub use target_latency::TargetLatency;
pub use warmth_policy::WarmthPolicy;
pub use warmth_ramp::WarmthRamp;
