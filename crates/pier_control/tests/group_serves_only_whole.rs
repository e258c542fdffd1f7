//! No group serves while any of its members is missing, stale or in another state than the
//! placement states.

mod common;

use pier_control::health;
use pier_types::{epochs, reports};

const PROBED_MS: u64 = 10_000;

/// A way in which a member may be missing: the expected stop reason and the change to the probe
/// results.
type MissingMember = (&'static str, fn(&mut common::EvidenceMap));

fn member(evidence: &mut common::EvidenceMap) -> &mut health::VmEvidence {
    evidence.get_mut(&common::vm("b")).unwrap()
}

fn missing_members() -> Vec<MissingMember> {
    vec![
        ("no-evidence", |evidence| {
            drop(evidence.remove(&common::vm("b")));
        }),
        ("stale-evidence", |evidence| {
            member(evidence).probed_at = common::millis(PROBED_MS - 3_000);
        }),
        ("other-incarnation", |evidence| {
            member(evidence).report.incarnation = epochs::VmIncarnation::new(2);
        }),
        ("other-group", |evidence| {
            member(evidence).report.group = None;
        }),
        ("other-generation", |evidence| {
            member(evidence).report.generation = epochs::GroupGeneration::new(6);
        }),
        ("other-generation", |evidence| {
            member(evidence).report.generation = epochs::GroupGeneration::new(8);
        }),
        ("other-model", |evidence| {
            member(evidence).report.model = None;
        }),
        ("not-loaded", |evidence| {
            member(evidence).report.state = reports::EngineState::Loading;
        }),
    ]
}

#[test]
fn serves_with_all_members_and_stops_with_any_missing() {
    let placement = common::placement(vec![common::group("draft", 7, &["a", "b"])]);
    let now = common::millis(PROBED_MS + 1_000);
    for (reason, damage) in missing_members() {
        let mut health = health::HealthMonitor::new(health::HealthSettings::default());
        let mut evidence = common::matching_evidence(&placement, PROBED_MS);
        assert!(
            health
                .observe(&placement, &evidence, now)
                .serving
                .contains_key(&0)
        );
        damage(&mut evidence);
        let view = health.observe(&placement, &evidence, now);
        assert!(view.serving.is_empty(), "serves despite {reason}");
        assert!(
            view.stopped[&0].to_string().starts_with(reason),
            "{}",
            view.stopped[&0]
        );
    }
}

#[test]
fn evidence_ages_from_the_sending_of_the_oldest_probe() {
    let placement = common::placement(vec![common::group("draft", 7, &["a", "b"])]);
    let mut evidence = common::matching_evidence(&placement, PROBED_MS);
    member(&mut evidence).probed_at = common::millis(PROBED_MS - 500);
    member(&mut evidence).report.state = reports::EngineState::Cold;
    let mut health = health::HealthMonitor::new(health::HealthSettings::default());
    let view = health.observe(&placement, &evidence, common::millis(PROBED_MS + 2_500));
    assert_eq!(
        view.serving[&0].fresh_until,
        common::millis(PROBED_MS + 2_500)
    );
    assert_eq!(
        view.serving[&0].state,
        reports::EngineState::Cold,
        "as cold as its coldest member"
    );
    let view = health.observe(&placement, &evidence, common::millis(PROBED_MS + 2_501));
    assert!(view.serving.is_empty());
}

#[test]
fn member_that_obeys_an_old_order_later_is_a_mismatch() {
    let placement = common::placement(vec![common::group("draft", 7, &["a", "b"])]);
    let now = common::millis(PROBED_MS);
    let mut health = health::HealthMonitor::new(health::HealthSettings::default());
    let mut evidence = common::matching_evidence(&placement, PROBED_MS);
    member(&mut evidence).report.generation = epochs::GroupGeneration::new(6);
    let view = health.observe(&placement, &evidence, now);
    assert!(view.mismatched.is_empty(), "has not received its order yet");
    member(&mut evidence).report.generation = epochs::GroupGeneration::new(7);
    health.observe(&placement, &evidence, now);
    member(&mut evidence).report.generation = epochs::GroupGeneration::new(6);
    let view = health.observe(&placement, &evidence, now);
    assert!(view.mismatched.contains(&0) && view.serving.is_empty());
    member(&mut evidence).report.generation = epochs::GroupGeneration::new(9);
    let view = health::HealthMonitor::new(health::HealthSettings::default())
        .observe(&placement, &evidence, now);
    assert!(
        view.mismatched.contains(&0),
        "applied a newer order than the placement's"
    );
}

#[test]
fn successor_is_ready_once_its_new_members_have_the_weights() {
    let mut group = common::group("draft", 7, &["a", "b"]);
    group.successor = Some(pier_control::placements::GroupSuccessor {
        generation: epochs::GroupGeneration::new(8),
        members: vec![common::slot("a"), common::slot("c")],
    });
    let placement = common::placement(vec![group]);
    let now = common::millis(PROBED_MS);
    let mut health = health::HealthMonitor::new(health::HealthSettings::default());
    let mut evidence = common::matching_evidence(&placement, PROBED_MS);
    assert!(health.observe(&placement, &evidence, now).ready.is_empty());
    evidence.insert(
        common::vm("c"),
        common::evidence("c", Some(0), 8, PROBED_MS),
    );
    let view = health.observe(&placement, &evidence, now);
    assert!(view.ready.contains(&0) && view.serving.contains_key(&0) && view.mismatched.is_empty());
}
