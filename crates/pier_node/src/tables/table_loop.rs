//! The loop that keeps the routing table fresh.

use std::time;

use pier_limits::shifts;
use pier_types::times;

use crate::{handle, tables};

/// Time between two builds; bounds how late requests stop going to a target that is left out.
const BUILD_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Starts the loop; it ends with the runtime.
pub fn spawn(handle: handle::NodeHandle, policy: shifts::ShiftPolicy) {
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(BUILD_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut shift = tables::ShiftDriver::new(policy);
        loop {
            ticks.tick().await;
            rebuild(&handle, &mut shift, times::clocks::boot_now());
        }
    });
}

fn rebuild(handle: &handle::NodeHandle, shift: &mut tables::ShiftDriver, now: times::BootTime) {
    let Some(config) = handle.config() else {
        return;
    };
    let (groups, vms) = (handle.groups(), handle.vms());
    let (evidence, shares) = (handle.evidence(), handle.shares());
    let leaving = handle.requests().leaving();
    let data_centre = &handle.settings().data_centre;
    let shift = shift.update(&config.document, data_centre, &groups, now);
    let builder = tables::TableBuilder {
        data_centre,
        shift,
        document: &config.document,
        groups: &groups,
        vms: &vms,
        evidence: &evidence,
        shares: &shares,
        leaving: &leaving,
    };
    // An unchanged table is published too, since requests use a table only while it is fresh.
    handle.publish_shift(shift);
    handle.publish_routes(builder.build(now));
}
