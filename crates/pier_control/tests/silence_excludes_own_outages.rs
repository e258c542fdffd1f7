//! Silence of a VM does not count while this node itself is paused or cut off; otherwise it would
//! replace healthy VMs afterwards.

mod common;

use std::collections;

use pier_control::{health, planning};
use pier_types::ids;

const VMS: [&str; 4] = ["a", "b", "c", "d"];

struct TrackerRun {
    tracker: health::ConditionTracker,
    now_ms: u64,
}

impl TrackerRun {
    fn new() -> Self {
        let settings = health::HealthSettings::default();
        Self {
            tracker: health::ConditionTracker::new(settings, common::millis(100_000)),
            now_ms: 100_000,
        }
    }

    /// Advances time in steps of one second, in each of which the VMs in `heard` answer.
    fn advance(
        &mut self,
        seconds: u64,
        heard: &[&str],
    ) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
        let mut conditions = collections::BTreeMap::new();
        for _second in 0..seconds {
            self.now_ms += 1_000;
            conditions = self.update(heard);
        }
        conditions
    }

    fn update(
        &mut self,
        heard: &[&str],
    ) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
        let found = |name: &&str| {
            (
                common::vm(name),
                common::evidence(name, None, 0, self.now_ms),
            )
        };
        let evidence = heard.iter().map(found).collect();
        let named = VMS.iter().map(|name| common::vm(name)).collect();
        self.tracker.update(
            &evidence,
            &collections::BTreeSet::new(),
            &named,
            common::millis(self.now_ms),
        )
    }
}

fn silence_ms(
    conditions: &collections::BTreeMap<ids::VmName, planning::VmCondition>,
    vm: &str,
    now_ms: u64,
) -> Option<u64> {
    match conditions[&common::vm(vm)] {
        planning::VmCondition::Unreachable { since } => Some(now_ms - since.as_micros() / 1_000),
        _ => None,
    }
}

#[test]
fn silence_of_one_vm_counts_from_its_last_answered_probe() {
    let mut run = TrackerRun::new();
    run.advance(3, &VMS);
    let conditions = run.advance(12, &["a", "b", "c"]);
    assert_eq!(silence_ms(&conditions, "d", run.now_ms), Some(12_000));
    assert_eq!(silence_ms(&conditions, "a", run.now_ms), None);
}

#[test]
fn vm_that_never_answered_is_silent_since_it_was_first_named() {
    let mut run = TrackerRun::new();
    let conditions = run.advance(12, &["a", "b", "c"]);
    assert_eq!(silence_ms(&conditions, "d", run.now_ms), Some(11_000));
}

#[test]
fn own_pause_and_own_isolation_give_every_vm_the_full_time_again() {
    let mut run = TrackerRun::new();
    run.advance(3, &VMS);
    run.now_ms += 60_000;
    let conditions = run.update(&["a", "b", "c"]);
    assert_eq!(
        silence_ms(&conditions, "d", run.now_ms),
        Some(0),
        "this node was paused"
    );
    run.advance(3, &VMS);
    run.advance(60, &[]);
    let conditions = run.advance(1, &["a", "b", "c"]);
    assert_eq!(
        silence_ms(&conditions, "d", run.now_ms),
        Some(1_000),
        "this node was cut off"
    );
}
