//! The effect of a lease write with an unknown outcome is found by reading the lease object.

use std::time;

use pier_control::leases;
use pier_types::{epochs, ids, times};

fn random(nonce: u128) -> leases::LeaseRandomness {
    leases::LeaseRandomness {
        nonce: ids::WriteNonce::new(nonce),
        jitter_permille: 0,
    }
}

/// Returns a keeper whose first write was just sent, the time of sending (10 s) and the record.
fn keeper_that_wrote() -> (leases::LeaseKeeper, times::BootTime, leases::LeaseRecord) {
    let mut keeper =
        leases::LeaseKeeper::new("n1".parse().unwrap(), leases::LeaseSettings::default());
    let absent = leases::LeaseEvent::ReadDone(leases::LeaseReading::Absent);
    keeper.step(absent, times::BootTime::from_millis(0), random(1));
    let now = times::BootTime::from_millis(10_000);
    let actions = keeper.step(leases::LeaseEvent::Tick, now, random(2));
    let record = actions.iter().find_map(|action| match action {
        leases::LeaseAction::Write { record, .. } => Some(record.clone()),
        leases::LeaseAction::Read => None,
    });
    keeper.step(leases::LeaseEvent::ReadFailed, now, random(3));
    (keeper, now, record.unwrap())
}

#[test]
fn lost_reply_is_settled_by_reading_back_the_nonce() {
    let (mut keeper, sent_at, record) = keeper_that_wrote();
    let later = sent_at.after(time::Duration::from_secs(2));
    let lost = leases::LeaseEvent::WriteDone {
        nonce: record.nonce,
        outcome: leases::WriteOutcome::Lost,
    };
    assert_eq!(
        keeper.step(lost, later, random(3))[0],
        leases::LeaseAction::Read
    );
    assert!(!keeper.holds(later));
    let found = leases::LeaseReading::Found {
        version: epochs::ObjectVersion::new(1),
        record,
    };
    keeper.step(leases::LeaseEvent::ReadDone(found), later, random(4));
    let grant = keeper.grant(later).unwrap();
    assert_eq!(
        grant.until,
        sent_at.after(time::Duration::from_secs(9)),
        "counts from the time of sending"
    );
}

#[test]
fn lagging_read_that_misses_the_object_does_not_end_the_lease() {
    let (mut keeper, now, record) = keeper_that_wrote();
    let outcome = leases::WriteOutcome::Stored(epochs::ObjectVersion::new(1));
    let nonce = record.nonce;
    keeper.step(
        leases::LeaseEvent::WriteDone { nonce, outcome },
        now,
        random(4),
    );
    let absent = || leases::LeaseEvent::ReadDone(leases::LeaseReading::Absent);
    keeper.step(absent(), now, random(5));
    assert!(keeper.holds(now));
    // If the object was really deleted, the lease ends on time and is not taken again before its
    // whole duration has passed once more.
    let end = now.after(time::Duration::from_secs(9));
    keeper.step(absent(), end, random(6));
    assert!(!keeper.holds(end));
    let soon = end.after(time::Duration::from_secs(9));
    let actions = keeper.step(leases::LeaseEvent::Tick, soon, random(7));
    let writes = |action: &leases::LeaseAction| matches!(action, leases::LeaseAction::Write { .. });
    assert!(!actions.iter().any(writes), "{actions:?}");
}

#[test]
fn malformed_record_is_neither_overwritten_nor_waited_out() {
    let mut keeper =
        leases::LeaseKeeper::new("n1".parse().unwrap(), leases::LeaseSettings::default());
    let version = epochs::ObjectVersion::new(4);
    assert!(leases::LeaseReading::parse(version, b"{\"holder\":").is_err());
    let reading = leases::LeaseEvent::ReadDone(leases::LeaseReading::Malformed { version });
    keeper.step(reading, times::BootTime::from_millis(0), random(1));
    let actions = keeper.step(
        leases::LeaseEvent::Tick,
        times::BootTime::from_millis(3_600_000),
        random(2),
    );
    assert_eq!(actions, [leases::LeaseAction::Read]);
    assert!(keeper.is_malformed());
}

#[test]
fn resigned_lease_is_free_at_once_and_never_used_again() {
    let (mut keeper, now, record) = keeper_that_wrote();
    let outcome = leases::WriteOutcome::Stored(epochs::ObjectVersion::new(1));
    keeper.step(
        leases::LeaseEvent::WriteDone {
            nonce: record.nonce,
            outcome,
        },
        now,
        random(3),
    );
    assert!(keeper.holds(now));
    let actions = keeper.resign(now, random(4));
    assert!(!keeper.holds(now));
    let [leases::LeaseAction::Write { record, if_version }] = actions.as_slice() else {
        panic!("one write expected, got {actions:?}");
    };
    assert_eq!((record.duration_ms, if_version.get()), (0, 1));
    let mut other =
        leases::LeaseKeeper::new("n2".parse().unwrap(), leases::LeaseSettings::default());
    let reading = leases::LeaseReading::Found {
        version: epochs::ObjectVersion::new(2),
        record: record.clone(),
    };
    let actions = other.step(leases::LeaseEvent::WatchChanged(reading), now, random(5));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, leases::LeaseAction::Write { .. }))
    );
}

#[test]
fn roster_keeps_slots_over_changes() {
    let names = |list: &[&str]| list.iter().map(|name| name.parse().unwrap()).collect();
    let roster = leases::NodeRoster::default().updated(&names(&["a", "b", "c"]));
    let roster = roster.updated(&names(&["a", "c", "d"]));
    let shown: Vec<_> = roster
        .slots
        .iter()
        .map(|(slot, node)| format!("{slot}{node}"))
        .collect();
    assert_eq!(shown, ["0a", "1d", "2c"]);
}
