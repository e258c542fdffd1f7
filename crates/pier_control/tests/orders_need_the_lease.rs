//! Orders are sent only while the node holds the lease at the time of sending.

mod common;

use std::{collections, time};

use pier_control::{orders, placements};
use pier_types::{epochs, times, vms};

const NOW_MS: u64 = 10_000;

struct Case {
    placement: placements::DataCentrePlacement,
    evidence: common::EvidenceMap,
    vms: Vec<vms::VmEntry>,
    admitted: collections::BTreeSet<u64>,
}

impl Case {
    /// Creates a group whose second member has not received its order.
    fn new() -> Self {
        let placement = common::placement(vec![common::group("draft", 7, &["a", "b"])]);
        let mut evidence = common::matching_evidence(&placement, NOW_MS);
        evidence.insert(common::vm("b"), common::evidence("b", None, 0, NOW_MS));
        Self {
            placement,
            evidence,
            vms: Vec::new(),
            admitted: [0].into(),
        }
    }

    fn due(
        &self,
        planner: &mut orders::OrderPlanner,
        until_ms: u64,
        now: times::BootTime,
    ) -> Vec<orders::MemberOrder> {
        planner.due(&orders::OrderInput {
            placement: &self.placement,
            vms: &self.vms,
            evidence: &self.evidence,
            admitted: &self.admitted,
            grant: Some(common::grant(until_ms)),
            now,
        })
    }
}

fn planner() -> orders::OrderPlanner {
    orders::OrderPlanner::new(orders::OrderSettings::default())
}

#[test]
fn order_is_sent_until_its_effect_is_seen_at_a_bounded_pace() {
    let mut case = Case::new();
    let (mut planner, now) = (planner(), common::millis(NOW_MS));
    let due = case.due(&mut planner, 20_000, now);
    assert_eq!(due.len(), 1);
    let body = due[0]
        .body(Some(common::grant(20_000)), now, planner.settings())
        .unwrap();
    let json = serde_json::to_value(&body).unwrap();
    assert_eq!(json["kind"], "load");
    assert_eq!(json["group"], "dc/0");
    assert_eq!(json["generation"], 7);
    assert_eq!(json["rank"], 1);
    assert_eq!(json["members"], serde_json::json!(["a", "b"]));
    assert_eq!(json["role"], "unified");
    assert_eq!(json["expires_in_ms"], 2_000);
    let soon = now.after(time::Duration::from_millis(500));
    assert!(case.due(&mut planner, 20_000, soon).is_empty());
    let later = now.after(time::Duration::from_secs(2));
    assert_eq!(case.due(&mut planner, 20_000, later).len(), 1);
    case.evidence
        .insert(common::vm("b"), common::evidence("b", Some(0), 7, NOW_MS));
    assert!(
        case.due(
            &mut planner,
            20_000,
            later.after(time::Duration::from_millis(900))
        )
        .is_empty()
    );
}

#[test]
fn nothing_is_sent_after_the_lease_or_by_an_earlier_holder() {
    let case = Case::new();
    let (mut planner, now) = (planner(), common::millis(NOW_MS));
    let due = case.due(&mut planner, NOW_MS + 1_000, now);
    let settings = planner.settings();
    let body = |grant, now| due[0].body(grant, now, settings);
    let short = body(Some(common::grant(NOW_MS + 1_000)), now).unwrap();
    assert_eq!(short.expires_in_ms, 1_000, "expires with the lease");
    // The node is paused between creating and sending the order. Meanwhile its lease expires, is
    // lost, or is taken again in another term.
    let late = common::millis(NOW_MS + 1_000);
    assert_eq!(body(Some(common::grant(NOW_MS + 1_000)), late), None);
    assert_eq!(body(None, now), None);
    let mut other = common::grant(NOW_MS + 9_000);
    other.term = epochs::LeaseTerm::new(4);
    assert_eq!(body(Some(other), now), None);
    // The placement was written under another term than that of the lease.
    let mut fresh = orders::OrderPlanner::new(*settings);
    let input = orders::OrderInput {
        placement: &case.placement,
        vms: &case.vms,
        evidence: &case.evidence,
        admitted: &case.admitted,
        grant: Some(other),
        now,
    };
    assert!(fresh.due(&input).is_empty());
}

#[test]
fn kept_member_changes_its_generation_without_reading_weights() {
    let mut case = Case::new();
    case.admitted.clear();
    case.evidence
        .insert(common::vm("b"), common::evidence("b", Some(0), 5, NOW_MS));
    let due = case.due(&mut planner(), 20_000, common::millis(NOW_MS));
    assert_eq!(due[0].planned().kind, orders::OrderKind::Role);
    case.evidence
        .insert(common::vm("b"), common::evidence("b", Some(4), 5, NOW_MS));
    let due = case.due(&mut planner(), 20_000, common::millis(NOW_MS));
    assert!(
        due.is_empty(),
        "has weights to load, and its group is not admitted"
    );
}

#[test]
fn vm_without_a_place_is_released_above_every_generation() {
    let mut case = Case::new();
    case.admitted.clear();
    case.vms = vec![common::entry("a"), common::entry("x"), common::entry("y")];
    case.evidence
        .insert(common::vm("x"), common::evidence("x", Some(9), 80, NOW_MS));
    case.evidence
        .insert(common::vm("y"), common::evidence("y", None, 90, NOW_MS));
    let due = case.due(&mut planner(), 20_000, common::millis(NOW_MS));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].vm, common::vm("x"));
    assert_eq!(
        (due[0].planned().kind, due[0].planned().generation.get()),
        (orders::OrderKind::Release, 100)
    );
}

#[test]
fn refused_order_asks_for_a_higher_generation() {
    let case = Case::new();
    let mut planner = planner();
    let due = case.due(&mut planner, 20_000, common::millis(NOW_MS));
    planner.record_reply(
        &due[0],
        orders::OrderReply::Fenced(epochs::GroupGeneration::new(55)),
    );
    assert!(planner.fenced().contains(&0));
    assert_eq!(planner.seen_generation().get(), 55);
}
