//! Writes the record that names a data centre's steward.

use pier_fleet::stewards;

use super::member_client;
use crate::{control, links, peers, records};

impl<P: links::FleetPlatform> control::DataCentreSteward<P> {
    /// Writes this node into the steward's record, on condition that the record has the version in
    /// the view. On a conflict the record of the node that was faster is applied.
    pub(super) async fn claim(&self, view: &stewards::StewardView) {
        let term = view
            .recorded
            .as_ref()
            .map(|recorded| recorded.term)
            .unwrap_or_default()
            .next();
        let version = view
            .recorded
            .as_ref()
            .map(|recorded| recorded.version)
            .unwrap_or_default();
        let record = peers::StewardRecord {
            holder: self.state.node().clone(),
            term,
        };
        let Ok(text) = serde_json::to_string(&record) else {
            log::error!(event = "steward-not-written", data_centre:% = self.data_centre; "");
            return;
        };
        let name = format!("{}{}", records::STEWARD_PREFIX, self.data_centre);
        self.state.metrics().count_store_call("nodes", "write");
        let written = self
            .state
            .platform()
            .write(&name, Some(version), text)
            .await;
        match written {
            links::StoreWrite::Written(version) => {
                log::info!(
                    event = "steward-taken",
                    data_centre:% = self.data_centre,
                    term:% = term,
                    former:? = view.recorded.as_ref().map(|recorded| recorded.holder.to_string());
                    ""
                );
                let data_centre = self.data_centre.clone();
                self.state
                    .with_peers(|peers| peers.set_steward(data_centre, record, version));
            }
            links::StoreWrite::Conflict(Some(found)) => {
                let applier = records::RecordApplier::new(self.state.clone());
                let at = found.version;
                let changes = vec![links::RecordChange::Put(found)];
                let changes = links::RecordChanges { changes, at };
                applier.apply_changes(links::RecordKind::Nodes, changes, member_client::now());
            }
            other => {
                log::warn!(
                    event = "steward-not-written",
                    data_centre:% = self.data_centre,
                    outcome:? = other;
                    ""
                );
            }
        }
    }
}
