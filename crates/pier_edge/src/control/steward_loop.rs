//! Runs the stewards of all data centres.

use std::{collections, time};

use tokio::sync::mpsc;

use super::member_client;
use crate::{control, daemon, links, state};

/// Interval between two steps while nothing changes.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Starts the loop; a node plans only the data centres whose steward it is.
pub(crate) fn spawn<P: links::FleetPlatform>(state: &state::EdgeState<P>) {
    let parts = state.clone();
    daemon::spawn_loop(state, "stewards", move || run(parts.clone()));
}

async fn run<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    let (sender, mut events) = mpsc::unbounded_channel();
    let client = control::MemberClient::new(state.clone(), sender);
    let centres = state.settings().data_centres.iter().cloned();
    let mut stewards: collections::BTreeMap<_, _> = centres
        .map(|centre| {
            let steward =
                control::DataCentreSteward::new(state.clone(), client.clone(), centre.clone());
            (centre, steward)
        })
        .collect();
    loop {
        let now = member_client::now();
        let mut retiring = collections::BTreeSet::new();
        for steward in stewards.values_mut() {
            retiring.extend(steward.step(now).await);
        }
        let is_forming = stewards.values().any(|steward| steward.is_forming(now));
        state.set_forming(is_forming);
        if state.local_retiring() != retiring {
            state.set_local_retiring(retiring);
            state.rebuild(now);
        }
        tokio::select! {
            first = events.recv() => {
                let now = member_client::now();
                let more = std::iter::from_fn(|| events.try_recv().ok());
                for event in first.into_iter().chain(more) {
                    let data_centre = data_centre_of(&state, &event);
                    if let Some(steward) = data_centre.and_then(|name| stewards.get_mut(&name)) {
                        steward.handle_event(&event, now);
                    }
                }
            }
            () = state.wait_for_registry_change() => {}
            () = tokio::time::sleep(STEP_INTERVAL) => {}
        }
    }
}

fn data_centre_of<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    event: &member_client::MemberEvent,
) -> Option<pier_types::ids::DataCentreName> {
    let vm = match event {
        member_client::MemberEvent::OrderEnded { order, .. } => &order.vm,
        member_client::MemberEvent::QueryEnded { vm, .. } => vm,
    };
    state.with_registry(|registry| {
        let record = registry.records().get(vm)?;
        Some(record.entry.data_centre.clone())
    })
}
