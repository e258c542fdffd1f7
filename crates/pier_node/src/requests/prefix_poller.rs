//! The task that polls the targets' prefix caches.

use std::{sync, time};

use pier_request::routing;
use pier_types::{epochs, ids, routes};
use serde::Deserialize;

use crate::handle;

/// Time between two polls, whatever the number of targets.
///
/// This bounds the traffic of a node; with many targets the events of each one arrive later.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(125);

/// Time-out for the answer of a target.
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Polls the prefix caches of this data centre's targets in turn.
#[derive(Debug)]
pub(super) struct PrefixPoller {
    handle: handle::NodeHandle,
    index: routing::PrefixIndex,
    target_index: usize,
}

/// The cache events of a target since the last poll.
#[derive(Debug, Deserialize)]
struct CacheReport {
    events: Vec<CacheRecord>,
    latest: epochs::EventSequence,
}

/// One cache event in a target's answer.
#[derive(Debug, Deserialize)]
struct CacheRecord {
    sequence: epochs::EventSequence,
    kind: CacheKind,
    prefix: String,
}

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum CacheKind {
    Stored,
    Evicted,
}

impl PrefixPoller {
    /// Starts the task; it ends with the runtime.
    pub(super) fn spawn(handle: handle::NodeHandle) {
        let mut poller = Self {
            handle,
            index: routing::PrefixIndex::default(),
            target_index: 0,
        };
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(POLL_PERIOD);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                poller.poll_next().await;
            }
        });
    }

    async fn poll_next(&mut self) {
        let targets = self.targets();
        self.index
            .retain(|known| targets.iter().any(|target| target.target == *known));
        if targets.is_empty() {
            return;
        }
        self.target_index = (self.target_index + 1) % targets.len();
        let Some(target) = targets.get(self.target_index) else {
            return;
        };
        if let Some(report) = self.fetch_events(target).await {
            self.apply(target, &report);
            self.handle
                .requests()
                .publish_prefixes(self.index.snapshot());
        }
    }

    /// Returns the targets of this data centre whose models are routed by prefix.
    fn targets(&self) -> Vec<sync::Arc<routes::RouteTarget>> {
        let Some(config) = self.handle.config() else {
            return Vec::new();
        };
        let has_affinity = |pool: &routes::PoolKey| match pool {
            routes::PoolKey::Model(model) => {
                let section = config.document.models.get(model);
                section.is_some_and(|section| section.prefix_affinity)
            }
            routes::PoolKey::Service(_service) => false,
        };
        let local = &self.handle.settings().data_centre;
        let targets = self.handle.requests().targets();
        let pools = targets.view.pools();
        let entries = pools
            .filter(|(pool, _view)| has_affinity(pool))
            .flat_map(|(_pool, view)| view.entries());
        entries
            .map(|entry| sync::Arc::clone(&entry.target))
            .filter(|target| target.data_centre == *local)
            .collect()
    }

    async fn fetch_events(&self, target: &routes::RouteTarget) -> Option<CacheReport> {
        let after = self.index.latest(&target.target);
        let url = format!("http://{}/cache-events?after={after}", target.address);
        let asking = self.handle.client().get(url).timeout(POLL_TIMEOUT).send();
        // The index of a target that does not answer stays as it is; its events come with a later
        // poll.
        asking.await.ok()?.json().await.ok()
    }

    fn apply(&mut self, target: &routes::RouteTarget, report: &CacheReport) {
        let (id, generation): (&ids::TargetId, _) = (&target.target, target.generation);
        if report.latest < self.index.latest(id) {
            // The sequence numbers started again, as after a restart of the target.
            self.index.reset(id, generation);
            return;
        }
        let events = report.events.iter().filter_map(to_event);
        self.index
            .apply(id, generation, &events.collect::<Vec<_>>());
    }
}

/// Converts an event; one whose prefix does not parse is left out, and the index handles the gap.
fn to_event(fields: &CacheRecord) -> Option<routing::CacheEvent> {
    Some(routing::CacheEvent {
        sequence: fields.sequence,
        change: match fields.kind {
            CacheKind::Stored => routing::CacheChange::Stored,
            CacheKind::Evicted => routing::CacheChange::Evicted,
        },
        prefix: fields.prefix.parse().ok()?,
    })
}
