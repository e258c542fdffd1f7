//! Tests of the control loops against a fake platform and fake engines.

mod control_bench;

use std::{thread, time};

use pier_fakes::fault;
use pier_types::ids;

/// Returns the beginnings of the order bodies that an engine accepted, oldest first.
fn orders(bench: &control_bench::ControlBench, vm: &ids::VmName) -> Vec<String> {
    let entries = bench.engines[vm].record().entries();
    let orders = entries
        .into_iter()
        .filter(|entry| entry.path == "orders" && entry.started);
    orders.map(|entry| entry.body_prefix).collect()
}

#[test]
fn group_forms_stops_with_a_lost_member_and_is_repaired_by_a_spare() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c", "d"], true);
    let node = bench.start_node("n1");
    let first = control_bench::wait_for("a serving group", || node.serving());
    let members = node.members();
    bench.engines[&members[0]].set_fault(fault::FaultSpec::new(fault::FaultKind::Down {
        for_ms: None,
    }));
    control_bench::wait_for("the stop", || node.serving().is_none().then_some(()));
    let second = control_bench::wait_for("the repaired group", || node.serving());
    assert_eq!(second.id, first.id);
    assert!(second.generation > first.generation);
    let repaired = node.members();
    assert_eq!(repaired[1], members[1], "the other member stays");
    assert_ne!(repaired[0], members[0]);
    let kept = orders(&bench, &members[1]);
    assert!(
        kept[0].contains("\"load\"") && kept[kept.len() - 1].contains("\"role\""),
        "{kept:?}"
    );
    assert_eq!(
        kept.iter()
            .filter(|order| order.contains("\"load\""))
            .count(),
        1,
        "weights read once"
    );
}

#[test]
fn straggler_is_followed_by_a_spare_that_loaded_beforehand() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], true);
    let node = bench.start_node("n1");
    let first = control_bench::wait_for("a serving group", || node.serving());
    let slow = node.members()[1].clone();
    node.handle.publish_stragglers([slow.clone()].into());
    let is_prepared = || {
        let groups = node.handle.groups();
        let group = groups.placement.as_ref()?.groups().values().next()?;
        (group.successor.is_some() && groups.health.serving.len() == 1).then_some(())
    };
    control_bench::wait_for("a successor beside the serving group", is_prepared);
    let second = control_bench::wait_for("the successor", || {
        node.serving()
            .filter(|group| group.generation > first.generation)
    });
    assert_eq!(second.id, first.id);
    assert!(!node.members().contains(&slow));
}

#[test]
fn another_node_takes_over_from_a_killed_holder() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], true);
    let mut nodes = [bench.start_node("n1"), bench.start_node("n2")];
    let holder = control_bench::wait_for("a holder", || {
        nodes.iter().position(control_bench::TestNode::holds_lease)
    });
    control_bench::wait_for("a serving group", || nodes[holder].serving());
    let term = nodes[holder].term();
    nodes[holder].kill();
    let other = &nodes[1 - holder];
    control_bench::wait_for("the other holder", || other.holds_lease().then_some(()));
    assert!(other.term() > term);
    let first = control_bench::wait_for("a serving group", || other.serving());
    let members = other.members();
    let _context = bench.runtime.enter();
    bench.engines[&members[1]].set_fault(fault::FaultSpec::new(fault::FaultKind::Restart {
        for_ms: 0,
    }));
    let is_new = |group: &pier_control::health::ServingGroup| group.generation > first.generation;
    control_bench::wait_for("a new generation", || other.serving().filter(is_new));
}

#[test]
fn holder_that_drains_hands_the_lease_over() {
    let bench = control_bench::ControlBench::new(&["a", "b"], true);
    let nodes = [bench.start_node("n1"), bench.start_node("n2")];
    let holder = control_bench::wait_for("a holder", || {
        nodes.iter().position(control_bench::TestNode::holds_lease)
    });
    nodes[holder].handle.start_drain();
    control_bench::wait_for("the other holder", || {
        nodes[1 - holder].holds_lease().then_some(())
    });
    assert!(!nodes[holder].holds_lease());
}

#[test]
fn groups_serve_on_while_the_platform_is_away() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], true);
    let node = bench.start_node("n1");
    control_bench::wait_for("a serving group", || node.serving());
    let term = node.term();
    bench
        .platform
        .set_fault(fault::FaultSpec::new(fault::FaultKind::Down {
            for_ms: None,
        }));
    control_bench::wait_for("the lapse of the lease", || {
        (!node.holds_lease()).then_some(())
    });
    thread::sleep(time::Duration::from_secs(2));
    assert!(node.serving().is_some(), "serving needs no platform");
    bench
        .platform
        .set_fault(fault::FaultSpec::new(fault::FaultKind::Up));
    control_bench::wait_for("the lease again", || node.holds_lease().then_some(()));
    assert!(
        node.term() > term,
        "a lapsed lease comes back under a new term"
    );
}

#[test]
fn writes_whose_replies_are_lost_are_settled() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], true);
    let lost = fault::FaultSpec::new(fault::FaultKind::EffectWithoutReply);
    bench
        .platform
        .set_fault(lost.method("PUT").path("objects/").count(4));
    let node = bench.start_node("n1");
    control_bench::wait_for("a serving group", || node.serving());
    assert!(node.holds_lease());
}

#[test]
fn engine_that_obeys_an_old_order_is_found_and_overruled() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], false);
    let node = bench.start_node("n1");
    let first = control_bench::wait_for("a serving group", || node.serving());
    let member = node.members()[1].clone();
    let old = serde_json::json!({
        "kind": "load", "group": "dc/77", "generation": 0, "rank": 0, "members": ["x"],
        "model": "draft", "version": "1", "expires_in_ms": 1000,
    });
    let url = format!("http://{}/orders", bench.engines[&member].address());
    let call = reqwest::Client::new().post(url).json(&old).send();
    assert!(
        bench.runtime.block_on(call).unwrap().status().is_success(),
        "the engine ignores fencing"
    );
    control_bench::wait_for("the stop", || node.serving().is_none().then_some(()));
    let second = control_bench::wait_for("the overruled group", || node.serving());
    assert!(second.generation > first.generation);
}

#[test]
fn placement_that_does_not_parse_is_kept_and_the_last_good_one_serves() {
    let bench = control_bench::ControlBench::new(&["a", "b", "c"], true);
    let node = bench.start_node("n1");
    control_bench::wait_for("a serving group", || node.serving());
    let objects = node.handle.objects().clone();
    let garbage = || bytes::Bytes::from_static(b"{\"groups\": 7");
    control_bench::wait_for("the garbage", || {
        let (version, _value) = bench.object("placement/dc");
        let write = objects.write("placement/dc", version, garbage());
        let result = bench.runtime.block_on(write);
        matches!(result, pier_platform::objects::WriteResult::Written(_)).then_some(())
    });
    thread::sleep(time::Duration::from_secs(2));
    assert!(
        node.serving().is_some(),
        "the last good placement stays in force"
    );
    // The group now needs a repair, which must wait until operators replace the invalid placement.
    let _context = bench.runtime.enter();
    let member = &bench.engines[&node.members()[1]];
    member.set_fault(fault::FaultSpec::new(fault::FaultKind::Restart {
        for_ms: 0,
    }));
    control_bench::wait_for("the stop", || node.serving().is_none().then_some(()));
    thread::sleep(time::Duration::from_secs(3));
    let (_version, value) = bench.object("placement/dc");
    assert_eq!(value, Some(garbage()), "never overwritten");
}
