//! Follows the records of one kind.

use std::time;

use pier_types::{epochs, times};

use crate::{links, peers, records, state};

/// How long a watch waits for changes; socket time-outs detect a silent connection.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long a watch of the document waits: longer, as the heartbeats of other nodes carry its
/// version too.
const DOCUMENT_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Smallest interval between two watches, so that changes in quick succession cost few calls.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Smallest interval between two watches of the document, which has to be in force within two
/// seconds. A third of that time is left for the call and the pages of a long document.
const DOCUMENT_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Smallest interval between two watches of the registrations at a steward that is forming a group:
/// shorter, as the steward waits for the effects of its orders to show there.
const FORMING_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// How long a steward's watch of the registrations waits. It is short because the age of the last
/// answer shows the nodes of its data centre whether the steward still reaches the store.
const RELAY_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Interval between two checks of whether the steward's relay messages can still be followed.
const FOLLOW_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Delay after a list that was read because relayed changes were missed.
const CATCH_UP_DELAY: time::Duration = time::Duration::from_millis(250);

/// Interval between two checks of the versions of the document at other nodes. If one is newer at
/// two checks in a row, this node's own watch has missed it.
const DOCUMENT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// Interval between two lists of the data centres out of service while the operator may not have
/// written the marks again that a copy of the store lacks.
const COPY_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Failures that last at least this long count as an outage of the store.
const MIN_OUTAGE_TIME: time::Duration = time::Duration::from_secs(1);

/// Failures in a row after which only the loop for the document keeps calling the store, so that
/// an outage costs few calls. The other loops wait until it succeeds.
const MAX_OWN_RETRIES: u32 = 2;

/// Longest time that the other loops wait for that success, since the store may fail for one
/// connection only.
const MAX_RECOVERY_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// Starts to follow a kind of records.
pub(crate) fn spawn<P: links::FleetPlatform>(state: state::EdgeState<P>, kind: links::RecordKind) {
    let applier = records::RecordApplier::new(state.clone());
    let record_loop = RecordLoop {
        state,
        kind,
        applier,
        backoff: records::StoreBackoff::default(),
        failing_since: None,
    };
    tokio::spawn(record_loop.run());
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

    /// Follows the steward's relay messages, and reads the list only if changes were missed.
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

    /// Returns the version to watch from; relay messages may have brought a later one than this
    /// loop's last call.
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
                self.state.observe_era(at, now);
                self.applier.apply_list(self.kind, list, now);
                if self.kind == links::RecordKind::Targets {
                    self.state
                        .with_follower(|follower| follower.set_version(at));
                    self.state.with_relay_log(|log| log.restart(at));
                }
                if self.kind == links::RecordKind::OutOfService && self.state.is_catching_up(now) {
                    tokio::time::sleep(COPY_LIST_INTERVAL).await;
                    return None;
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
                // The next watch may not cover all changes since the last one, while a list is
                // answered at once and complete.
                None
            }
        }
    }

    /// Waits until another node has had a newer document at two checks in a row; for kinds other
    /// than the document, waits forever.
    async fn wait_for_missed_document(&self) {
        if self.kind != links::RecordKind::Document {
            std::future::pending::<()>().await;
        }
        let mut was_newer = false;
        loop {
            tokio::time::sleep(DOCUMENT_CHECK_INTERVAL).await;
            let now = times::clocks::boot_now();
            let local = self.state.document().map(|document| document.version());
            let newest = self.state.with_peers(|peers| peers.newest_document(now));
            let is_newer = Some(newest) > local;
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

    /// Returns whether this loop's changes are relayed to the nodes of this data centre.
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
        let probes_store = self.kind == links::RecordKind::Document;
        if probes_store || self.backoff.failures() <= MAX_OWN_RETRIES {
            tokio::time::sleep(backoff).await;
            return;
        }
        tokio::select! {
            () = self.state.wait_for_store() => {}
            () = tokio::time::sleep(MAX_RECOVERY_WAIT) => {}
        }
    }
}

/// Returns the changes of registrations to relay; an unreadable record counts as removed.
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
