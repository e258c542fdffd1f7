//! Services that serve models, each with groups of its own.

mod support;

use std::{collections, time};

use pier_fleet::{documents, targets};
use support::{
    FakePlatform, GROUP_MODEL, KEY, RawCaller, Script, ScriptedTarget, TestNode, document_at,
    free_address, group_member, plain_entry, route,
};

/// Time after which a steward has given the first orders.
const ORDER_TIME: time::Duration = time::Duration::from_secs(4);

/// Returns a document with the usual service and others, each with a route.
fn document_with(version: u64, others: &[&str]) -> documents::FleetDocument {
    let mut document = document_at(version);
    let usual = "engines".parse().unwrap();
    let usual = document.services()[&usual].clone();
    for other in others {
        let prefix = format!("/{other}/");
        let rule = route(&prefix, documents::RepeatRule::OneTimeStream, other, 2);
        document = document
            .with_service(documents::ServiceSpec {
                name: other.parse().unwrap(),
                ..usual.clone()
            })
            .with_route("a.example", rule);
    }
    document
}

/// Returns the registrations of three VMs without a group, in a domain that all services share.
fn free_vms(service: &str) -> Vec<targets::TargetEntry> {
    let vms = (0..3).map(|number| {
        let mut entry = plain_entry(&format!("{service}-{number}"), free_address());
        entry.service = service.parse().unwrap();
        entry.standing.domain = Some("d0".parse().unwrap());
        entry
    });
    vms.collect()
}

/// Returns the services whose VMs were given orders.
fn ordered_services(platform: &FakePlatform) -> collections::BTreeSet<String> {
    let orders = platform.orders();
    let services = orders.iter().filter_map(|order| {
        let (service, _number) = order.vm.as_str().rsplit_once('-')?;
        Some(service.to_owned())
    });
    services.collect()
}

async fn ask(node: &TestNode, path: &str) -> u16 {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\ncontent-length: 6\r\n\r\nprompt"
    );
    caller.send(&request).await;
    caller.answer().await.status()
}

#[tokio::test]
async fn the_vms_of_an_added_service_are_ordered_into_groups() {
    let platform = FakePlatform::default();
    for entry in free_vms("engines").into_iter().chain(free_vms("notes")) {
        platform.put_target(entry);
    }
    platform.put_document(document_with(3, &["notes"]));
    let _node = TestNode::start_on(platform.clone(), "n1").await;
    tokio::time::sleep(ORDER_TIME).await;
    let both = ["engines", "notes"].map(str::to_owned);
    assert_eq!(ordered_services(&platform), both.into());
    // A later version adds one more, while orders to the others are under way.
    for entry in free_vms("words") {
        platform.put_target(entry);
    }
    platform.put_document(document_with(4, &["notes", "words"]));
    tokio::time::sleep(ORDER_TIME).await;
    assert!(ordered_services(&platform).contains("words"));
}

/// Groups of other data centres and services may have the same name and generation.
#[tokio::test]
async fn groups_with_equal_names_are_served_apart() {
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    let platform = FakePlatform::default();
    for (place, service, data_centre) in [
        ("a", "engines", "dc-a"),
        ("b", "engines", "dc-b"),
        ("c", "notes", "dc-a"),
    ] {
        for rank in 0..2 {
            let mut entry = group_member("g0", rank, target.address);
            entry.vm = format!("{place}-{rank}").parse().unwrap();
            entry.service = service.parse().unwrap();
            entry.data_centre = data_centre.parse().unwrap();
            platform.put_target(entry);
        }
    }
    platform.put_document(document_with(3, &["notes"]));
    let node = TestNode::start_on(platform, "n1").await;
    node.settle().await;
    assert_eq!(ask(&node, "/once/x").await, 200);
    assert_eq!(ask(&node, "/notes/x").await, 200);
}
