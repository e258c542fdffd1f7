//! Follows one kind of records.

use std::time;

use pier_types::{epochs, times};

use crate::{links, peers, records, state};

/// How long a watch waits; a connection that went silent is found by the time-outs of its socket.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The same for the document, of which the other nodes' beats tell too.
const DOCUMENT_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Least time between two watches, so that changes in quick succession cost few calls.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// The same for the document, which has to be in force within two seconds: a third of that time is
/// left to the call and to the pages of a long document.
const DOCUMENT_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// The same for the registrations at a steward that forms a group, which waits for its orders'
/// effects there.
const FORMING_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// How long a steward's watch of the registrations waits: the age of its last answer tells the
/// nodes of its data centre whether it still reaches the store.
const RELAY_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Time between two looks at a steward's word.
const FOLLOW_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Least time between two readings that a steward's word asked for.
const CATCH_UP_DELAY: time::Duration = time::Duration::from_millis(250);

/// Time between two looks at the versions of the document that other nodes have; a version that is
/// newer at two looks was missed by this node's own watch.
const DOCUMENT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// Failures that lasted this long count as an outage of the store.
const MIN_OUTAGE_TIME: time::Duration = time::Duration::from_secs(1);

/// Failures in a row after which only the document's loop goes on asking, so that an outage costs
/// few calls; the others wait for its success.
const MAX_OWN_RETRIES: u32 = 2;

/// How long they wait at most, since the store may fail for one connection alone.
const MAX_RECOVERY_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// Starts to follow a kind.
pub(crate) fn spawn<P: links::FleetPlatform>(state: state::EdgeState<P>, kind: links::RecordKind) {
    let applier = records::RecordApplier::new(state.clone());
    let follower = RecordLoop {
        state,
        kind,
        applier,
        backoff: records::StoreBackoff::default(),
        failing_since: None,
    };
    tokio::spawn(follower.run());
}

struct RecordLoop<P> {
    state: state::EdgeState<P>,
    kind: links::RecordKind,
    applier: records::RecordApplier<P>,
    backoff: records::StoreBackoff,
    failing_since: Option<times::BootTime>,
}

impl<P: links::FleetPlatform> RecordLoop<P> {
    async fn run(mut self) {
        let mut at: Option<epochs::ObjectVersion> = None;
        loop {
            let now = times::clocks::boot_now();
            let follows = self.kind != links::RecordKind::Document;
            if follows && at.is_some() && self.state.is_following(now) {
                at = self.follow(at).await;
                continue;
            }
            at = match at {
                None => self.list().await,
                Some(version) => self.watch(self.watch_start(version)).await,
            };
        }
    }

    /// Relies on the steward's word, and reads only what it tells to read.
    async fn follow(&mut self, at: Option<epochs::ObjectVersion>) -> Option<epochs::ObjectVersion> {
        let is_due = self.kind == links::RecordKind::Targets
            && self.state.with_follower(|follower| follower.is_behind());
        if is_due {
            let read = self.list().await;
            tokio::time::sleep(CATCH_UP_DELAY).await;
            return read;
        }
        tokio::select! {
            () = self.state.wait_for_relay_gap() => {}
            () = tokio::time::sleep(FOLLOW_INTERVAL) => {}
        }
        at
    }

    /// Returns the version to watch from; a steward's word may have led further than this loop.
    fn watch_start(&self, version: epochs::ObjectVersion) -> epochs::ObjectVersion {
        if self.kind != links::RecordKind::Targets {
            return version;
        }
        let read = self.state.with_follower(|follower| follower.version());
        read.map_or(version, |read| read.max(version))
    }

    async fn list(&mut self) -> Option<epochs::ObjectVersion> {
        self.state
            .metrics()
            .count_store_call(self.kind.label(), "list");
        match self.state.platform().list(self.kind).await {
            Ok(list) => {
                let now = times::clocks::boot_now();
                self.record_success(now);
                let at = list.at;
                self.applier.apply_list(self.kind, list, now);
                if self.kind == links::RecordKind::Targets {
                    self.state
                        .with_follower(|follower| follower.set_version(at));
                    self.state.with_relay_log(|log| log.restart(at));
                }
                Some(at)
            }
            Err(error) => {
                self.record_failure(&error).await;
                None
            }
        }
    }

    async fn watch(&mut self, version: epochs::ObjectVersion) -> Option<epochs::ObjectVersion> {
        let started = times::clocks::boot_now();
        self.state
            .metrics()
            .count_store_call(self.kind.label(), "watch");
        let platform = self.state.platform();
        let watching = platform.watch(self.kind, version, self.watch_timeout());
        let watched = tokio::select! {
            watched = watching => watched,
            () = self.wait_for_missed_document() => return None,
        };
        match watched {
            Ok(changes) => {
                let now = times::clocks::boot_now();
                self.record_success(now);
                let at = changes.at;
                if self.kind == links::RecordKind::Targets {
                    let relayed = relayed_changes(&changes.changes);
                    self.state
                        .with_follower(|follower| follower.set_version(at));
                    self.state
                        .with_relay_log(|log| log.record(version, at, relayed, now));
                }
                self.applier.apply_changes(self.kind, changes, now);
                let taken = times::clocks::boot_now().since(started);
                tokio::time::sleep(self.min_watch_interval().saturating_sub(taken)).await;
                Some(at)
            }
            Err(links::StoreError::HistoryGone) => {
                log::info!(event = "watch-restarted", kind = self.kind.label(); "");
                None
            }
            Err(error) => {
                self.record_failure(&error).await;
                // What changed meanwhile may lie before what the next watch can see, and a list
                // answers at once.
                None
            }
        }
    }

    /// Waits until other nodes have had a newer document for a while; for ever with other kinds.
    async fn wait_for_missed_document(&self) {
        if self.kind != links::RecordKind::Document {
            std::future::pending::<()>().await;
        }
        let mut was_newer = false;
        loop {
            tokio::time::sleep(DOCUMENT_CHECK_INTERVAL).await;
            let now = times::clocks::boot_now();
            let own = self.state.document().map(|document| document.version());
            let newest = self.state.with_peers(|peers| peers.newest_document(now));
            let is_newer = Some(newest) > own;
            if is_newer && was_newer {
                log::info!(event = "document-missed", newest:% = newest; "");
                return;
            }
            was_newer = is_newer;
        }
    }

    fn min_watch_interval(&self) -> time::Duration {
        if self.is_relayed() && self.state.is_forming() {
            FORMING_WATCH_INTERVAL
        } else if self.kind == links::RecordKind::Document {
            DOCUMENT_WATCH_INTERVAL
        } else {
            WATCH_INTERVAL
        }
    }

    fn watch_timeout(&self) -> time::Duration {
        if self.is_relayed() {
            RELAY_WATCH_TIMEOUT
        } else if self.kind == links::RecordKind::Document {
            DOCUMENT_WATCH_TIMEOUT
        } else {
            WATCH_TIMEOUT
        }
    }

    /// Tells whether others rely on this loop's reading.
    fn is_relayed(&self) -> bool {
        self.kind == links::RecordKind::Targets && self.state.with_peers(|peers| peers.is_steward())
    }

    fn record_success(&mut self, now: times::BootTime) {
        self.state.record_store_answer(now);
        if !self.backoff.reset() {
            return;
        }
        self.state.notify_store_return();
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let away = now.since(since);
        log::info!(
            event = "store-back",
            kind = self.kind.label(),
            away_ms = u64::try_from(away.as_millis()).unwrap_or(u64::MAX);
            ""
        );
        if away >= MIN_OUTAGE_TIME {
            self.applier.record_store_return(self.kind, now);
        }
    }

    async fn record_failure(&mut self, error: &links::StoreError) {
        let now = times::clocks::boot_now();
        self.state.metrics().count_store_failure(self.kind.label());
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            log::warn!(event = "store-away", kind = self.kind.label(), cause:% = error; "");
        }
        let is_steward = self.state.with_peers(|peers| peers.is_steward());
        let backoff = self.backoff.next_delay(is_steward, rand::random());
        let is_asker = self.kind == links::RecordKind::Document;
        if is_asker || self.backoff.failures() <= MAX_OWN_RETRIES {
            tokio::time::sleep(backoff).await;
            return;
        }
        tokio::select! {
            () = self.state.wait_for_store() => {}
            () = tokio::time::sleep(MAX_RECOVERY_WAIT) => {}
        }
    }
}

/// Returns the changes of registrations that are passed on; what is not understood is gone.
fn relayed_changes(changes: &[links::RecordChange]) -> Vec<peers::TargetChange> {
    let relayed = changes.iter().filter_map(|change| match change {
        links::RecordChange::Put(record) => match &record.content {
            links::RecordContent::Target(entry) => Some(peers::TargetChange::Put(entry.clone())),
            _ => record.name.parse().ok().map(peers::TargetChange::Gone),
        },
        links::RecordChange::Gone(name) => name.parse().ok().map(peers::TargetChange::Gone),
    });
    relayed.collect()
}
