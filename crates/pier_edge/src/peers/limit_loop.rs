//! Divides the rates of targets among the nodes again as nodes come and go.

use std::time;

use pier_types::times;

use crate::{links, state};

/// Interval between two divisions, well below the time in which a silent node counts as lost.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(200);

pub(super) async fn run<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    loop {
        state.update_limit_shares(times::clocks::boot_now());
        tokio::time::sleep(SHARE_INTERVAL).await;
    }
}
