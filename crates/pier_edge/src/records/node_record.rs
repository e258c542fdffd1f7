//! Writes this node's own record.

use std::time;

use pier_fleet::stewards;

use crate::{daemon, links, peers, records, state};

/// Greatest delay before the record is written again after the store came back from a copy, so that
/// not all nodes write at once.
const MAX_REWRITE_DELAY: time::Duration = time::Duration::from_secs(1);

/// Starts a task that retries until the record is written, and writes it again when the store has
/// come back from a copy that may lack it.
pub(crate) fn spawn<P: links::FleetPlatform>(state: &state::EdgeState<P>) {
    let parts = state.clone();
    daemon::spawn_loop(state, "node-record", move || run(parts.clone()));
}

async fn run<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    let record = peers::NodeRecord {
        node: state.node().clone(),
        data_centre: state.settings().data_centre.clone(),
        peers: state.settings().peers,
        format: peers::PeerFormat::CURRENT,
    };
    let text = match serde_json::to_string(&record) {
        Ok(text) => text,
        Err(error) => {
            log::error!(event = "node-record-not-written", cause:% = error; "");
            return;
        }
    };
    let name = format!("{}{}", records::NODE_PREFIX, state.settings().name);
    let mut backoff = records::StoreBackoff::default();
    let mut era = state.watch_era();
    loop {
        let mut returns = state.store_outages().watch_returns();
        state.metrics().count_store_call("nodes", "write");
        match state.platform().write(&name, None, text.clone()).await {
            links::StoreWrite::Written(version) => {
                log::info!(event = "node-record-written", version:% = version; "");
                backoff.reset();
                if era.changed().await.is_err() {
                    return;
                }
                let delay = MAX_REWRITE_DELAY.mul_f64(rand::random());
                tokio::time::sleep(delay).await;
            }
            other => {
                log::warn!(event = "node-record-not-written", outcome:? = other; "");
                let delay = if state.store_outages().is_probe_failing() {
                    stewards::MAX_OUTAGE_WAIT
                } else {
                    backoff.next_delay(rand::random())
                };
                tokio::select! {
                    _returned = returns.changed() => {}
                    () = tokio::time::sleep(delay) => {}
                }
            }
        }
    }
}
