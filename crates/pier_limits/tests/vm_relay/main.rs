//! Checks that each node gets the VM list, and never goes back to an older one.

mod relay_bench;
mod relay_rules;
mod relay_study;
mod relayed_fleet;
