//! Checks that a leaving data centre serves requests that no other data centre can take, for as
//! long as it still starts new work.

use std::time;

use pier_config::documents;
use pier_limits::shifts;
use pier_load::{calls, fleets};
use pier_types::{priorities, sizes};

/// Longer than the test, so that the other data centre has no target throughout.
const AWAY_TIME: time::Duration = time::Duration::from_mins(10);

fn plan() -> fleets::FleetPlan {
    fleets::FleetPlan {
        data_centres: ["north", "south"].map(str::to_owned).to_vec(),
        nodes: 1,
        engines: 1,
        warm_limit: sizes::RequestCount::new(8),
        cold_limit: sizes::RequestCount::new(4),
        warm_after: sizes::RequestCount::new(4),
        token_time: time::Duration::from_millis(1),
        prefill_time: time::Duration::ZERO,
        cached_prefixes: 4,
        load_time: time::Duration::from_millis(10),
        retry_percent: 10,
        shift: shifts::ShiftPolicy::default(),
    }
}

fn call(number: usize) -> calls::CallPlan {
    calls::CallPlan {
        number,
        at: time::Duration::ZERO,
        // The only node of the first data centre.
        node_index: 0,
        prefix: 0,
        tokens: 2,
        is_streamed: false,
        priority: priorities::RequestPriority::High,
        deadline: time::Duration::from_secs(10),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_nobody_else_takes_is_served_until_the_data_centre_has_left() {
    let fleet = fleets::LoadFleet::launch(plan()).await.unwrap();
    fleet.wait_for_shares().await.unwrap();
    fleet.engines().restart("south", AWAY_TIME).unwrap();
    let empty = fleet.wait("no target", || !fleet.has_targets("south").unwrap());
    empty.await.unwrap();
    let sender = fleet.sender().unwrap();
    let out = documents::DataCentreState::OutOfService;
    fleet.set_state("north", out).await.unwrap();
    let shifting = fleet.wait("the shift", || fleet.is_shifting("north"));
    shifting.await.unwrap();
    let mut number = 0;
    while fleet.is_open("north") {
        let record = sender.send(call(number)).await;
        let still_open = fleet.is_open("north");
        assert!(record.is_complete() || !still_open, "{record:?}");
        number += 1;
    }
}
