//! Proves how much new work a data centre gets that returns with cold targets.

use std::time;

use pier_config::documents;
use pier_control::health;
use pier_limits::shifts;
use pier_node::{handle, tables};
use pier_types::{epochs, ids, reports, routes, times};

const DOCUMENT: &str = include_str!("../../../examples/laurel-north.ini");

const RETURN: times::BootTime = times::BootTime::from_millis(500_000);

/// The sample's groups in each data centre.
const GROUPS: u64 = 5;

fn data_centre() -> ids::DataCentreName {
    "scot-central-a".parse().unwrap()
}

/// Returns the sample with the data centre in or out of service.
fn document(in_service: bool) -> documents::ConfigDocument {
    let mut document: documents::ConfigDocument = DOCUMENT.parse().unwrap();
    let section = document.data_centres.get_mut(&data_centre()).unwrap();
    if !in_service {
        section.state = documents::DataCentreState::OutOfService;
    }
    document
}

/// Returns some serving groups in one state.
fn groups(count: u64, state: reports::EngineState) -> handle::GroupSnapshot {
    let mut snapshot = handle::GroupSnapshot::default();
    for number in 1..=count {
        let serving = health::ServingGroup {
            id: format!("scot-central-a/{number}").parse().unwrap(),
            model: "drafter".parse().unwrap(),
            generation: epochs::GroupGeneration::new(number),
            address: "127.0.0.1:9".parse().unwrap(),
            state,
            load: routes::TargetLoad::default(),
            fresh_until: RETURN.after(time::Duration::from_mins(5)),
        };
        snapshot.health.serving.insert(number, serving);
    }
    snapshot
}

/// Returns the weight some seconds after the return, with these groups.
fn weight(seconds: u64, groups: &handle::GroupSnapshot) -> u16 {
    let mut driver = tables::ShiftDriver::new(shifts::ShiftPolicy::default());
    let centre = data_centre();
    driver.update(
        &document(false),
        &centre,
        groups,
        times::BootTime::default(),
    );
    let back = document(true);
    driver.update(&back, &centre, groups, RETURN);
    let now = RETURN.after(time::Duration::from_secs(seconds));
    driver.update(&back, &centre, groups, now).weight.get()
}

#[test]
fn cold_groups_get_what_they_bear_so_that_they_can_get_warm() {
    let cold = groups(GROUPS, reports::EngineState::Cold);
    // 2 of 24 requests each.
    assert_eq!(weight(1, &cold), 33, "time binds first");
    assert_eq!(weight(15, &cold), 83);
    assert_eq!(weight(29, &cold), 83);
}

#[test]
fn groups_that_load_count_nothing() {
    let loading = groups(GROUPS, reports::EngineState::Loading);
    assert_eq!(weight(15, &loading), 0);
    assert_eq!(weight(15, &groups(0, reports::EngineState::Cold)), 0);
}

#[test]
fn warm_groups_count_whole() {
    assert_eq!(weight(15, &groups(GROUPS, reports::EngineState::Warm)), 500);
    assert_eq!(weight(29, &groups(2, reports::EngineState::Warm)), 400);
}
