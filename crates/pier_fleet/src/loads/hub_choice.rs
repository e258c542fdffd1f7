//! Chooses the hub of a data centre.

use std::{collections, time};

use pier_types::{ids, times};

/// Silence of a hub after which the next node in line replaces it: several digest intervals.
const HUB_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long a hub that fell silent is not chosen again.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(2);

/// Chooses the hub of one node's data centre from the heartbeats and digests that the node
/// receives.
///
/// The nodes need not agree: two hubs at once cost only a few extra datagrams, and each node uses
/// the sums of the hub that it has chosen. A hub is therefore available also while the platform is
/// down and no steward can be recorded.
#[derive(Debug, Default)]
pub struct HubChoice {
    chosen: Option<(ids::NodeName, times::BootTime)>,
    digest_at: Option<times::BootTime>,
    suspects: collections::BTreeMap<ids::NodeName, times::BootTime>,
}

impl HubChoice {
    /// Records that a digest arrived; ignored unless it is from the chosen hub.
    pub fn note_digest(&mut self, hub: &ids::NodeName, now: times::BootTime) {
        if self.is_chosen(hub) {
            self.digest_at = Some(now);
        }
    }

    /// Returns whether a node is the chosen hub.
    pub fn is_chosen(&self, node: &ids::NodeName) -> bool {
        self.chosen
            .as_ref()
            .is_some_and(|(chosen, _since)| chosen == node)
    }

    /// Returns the node to which `own` passes on a digest from another data centre: the chosen hub,
    /// unless it is `own`. Hubs that do not know each other send their digests to other nodes.
    pub fn passes_to(&self, own: &ids::NodeName) -> Option<&ids::NodeName> {
        let chosen = self.chosen.as_ref().map(|(chosen, _since)| chosen);
        chosen.filter(|chosen| *chosen != own)
    }

    /// Chooses the hub: the steward while it is alive, otherwise the first live node by name.
    /// Nodes that recently fell silent as hub are skipped. `live_nodes` holds the nodes of the data
    /// centre that send heartbeats and are not leaving, `own` included.
    pub fn choose(
        &mut self,
        own: &ids::NodeName,
        steward: Option<&ids::NodeName>,
        live_nodes: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> Option<ids::NodeName> {
        self.suspect_silent(own, now);
        self.suspects.retain(|_node, until| *until > now);
        let steward = steward.filter(|steward| live_nodes.contains(*steward));
        let mut order = steward.into_iter().chain(live_nodes);
        let chosen = order.find(|node| !self.suspects.contains_key(*node));
        if let Some(chosen) = chosen
            && !self.is_chosen(chosen)
        {
            self.chosen = Some((chosen.clone(), now));
            self.digest_at = None;
        }
        chosen.cloned()
    }

    fn suspect_silent(&mut self, own: &ids::NodeName, now: times::BootTime) {
        let Some((chosen, since)) = &self.chosen else {
            return;
        };
        let digest_at = self.digest_at.map_or(*since, |at| at.max(*since));
        if chosen != own && now.since(digest_at) >= HUB_TIMEOUT {
            self.suspects
                .insert(chosen.clone(), now.after(SUSPECT_TIME));
        }
    }
}
