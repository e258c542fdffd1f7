//! Finds targets that make no progress.

use std::time;

use pier_fleet::{dispatch, stalls};
use pier_types::{ids, times};

use crate::{links, state};

/// How long a stuck target gets no new requests, unless it makes progress before.
const STUCK_QUARANTINE: time::Duration = time::Duration::from_secs(2);

/// Returns the targets that make no progress, and notifies this node's requests at newly found
/// ones, so that they look for other targets.
///
/// If `is_timely` is false, no new ones are found: the node itself stalled, and what the targets
/// sent meanwhile has yet to be read.
pub(super) fn find_stuck<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    is_timely: bool,
    now: times::BootTime,
) -> Vec<ids::VmName> {
    let Some(document) = state.document() else {
        return Vec::new();
    };
    let detector = stalls::StallDetector::default();
    let mut stuck = Vec::new();
    for slot in state.slots() {
        let Some(model) = &slot.model else { continue };
        let engines = document
            .services()
            .values()
            .filter_map(|service| service.engine.as_ref());
        let mut specs = engines.filter_map(|engine| Some((engine, engine.model(model)?.pace)));
        let Some((engine, pace)) = specs.next() else {
            continue;
        };
        slot.gauge.clear_stall();
        if slot.gauge.is_stuck(now) {
            stuck.push(slot.vm.clone());
            continue;
        }
        let load = slot.facts(Some((engine.as_ref(), pace)), state.view_age(), now);
        let passes = dispatch::PassModel::new(engine, pace);
        let pass_time = passes
            .pass_time(load.running, load.waiting_prompt)
            .mul_f64(load.slowness);
        let longest = passes.longest_pass(load.running);
        let facts = stalls::ProgressFacts {
            in_flight: slot.gauge.awaited(),
            running: slot.gauge.local_running().min(slot.gauge.awaited()),
            last_progress: slot.gauge.last_progress(),
            pass_time,
            longest_pass: longest.mul_f64(load.slowness),
            first_event: passes.first_event(&load, 0),
        };
        if is_timely && detector.is_stuck(&facts, slot.gauge.is_reported_stuck(now), now) {
            log::warn!(
                event = "target-stuck",
                target_vm:% = slot.vm,
                generation:% = slot.generation,
                silent_ms = millis(now.since(facts.last_progress)),
                pass_ms = millis(pass_time),
                running = facts.running,
                in_flight = facts.in_flight;
                ""
            );
            state.metrics().count_stuck();
            slot.gauge.set_stalled(now.after(STUCK_QUARANTINE), now);
            slot.report_stuck();
            stuck.push(slot.vm.clone());
        }
    }
    stuck
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
