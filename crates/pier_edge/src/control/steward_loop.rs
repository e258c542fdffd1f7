//! Runs the planning of all data centres.

use std::{collections, time};

use tokio::sync::mpsc;

use super::order_desk;
use crate::{control, links, state};

/// Time between two looks while nothing changes.
const STEP_TIME: time::Duration = time::Duration::from_millis(100);

/// Starts the planning; a node plans only the data centres that it is the steward of.
pub(crate) fn spawn<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    tokio::spawn(run(state));
}

async fn run<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    let (sender, mut news) = mpsc::unbounded_channel();
    let desk = control::OrderDesk::new(state.clone(), sender);
    let centres = state.settings().data_centres.iter().cloned();
    let mut stewards: collections::BTreeMap<_, _> = centres
        .map(|centre| {
            let steward = control::CentreSteward::new(state.clone(), desk.clone(), centre.clone());
            (centre, steward)
        })
        .collect();
    loop {
        let now = order_desk::now();
        let mut retiring = collections::BTreeSet::new();
        for steward in stewards.values_mut() {
            retiring.extend(steward.step(now).await);
        }
        let is_forming = stewards.values().any(|steward| steward.is_forming(now));
        state.set_forming(is_forming);
        if state.own_retiring() != retiring {
            state.set_own_retiring(retiring);
            state.rebuild(now);
        }
        tokio::select! {
            first = news.recv() => {
                let now = order_desk::now();
                let more = std::iter::from_fn(|| news.try_recv().ok());
                for event in first.into_iter().chain(more) {
                    let place = centre_of(&state, &event);
                    if let Some(steward) = place.and_then(|place| stewards.get_mut(&place)) {
                        steward.take_news(&event, now);
                    }
                }
            }
            () = state.book_change() => {}
            () = tokio::time::sleep(STEP_TIME) => {}
        }
    }
}

fn centre_of<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    event: &order_desk::DeskNews,
) -> Option<pier_types::ids::DataCentreName> {
    let vm = match event {
        order_desk::DeskNews::Ordered { order, .. } => &order.vm,
        order_desk::DeskNews::Asked { vm, .. } => vm,
    };
    state.with_book(|book| {
        let record = book.records().get(vm)?;
        Some(record.entry.data_centre.clone())
    })
}
