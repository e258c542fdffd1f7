//! Follows the records of one kind.

use std::time;

use anyhow::Context as _;
use pier_types::{epochs, times};

use super::{record_outage, record_source};
use crate::{daemon, links, peers, records, state};

/// Smallest interval between two such watches.
const RELAYED_DOCUMENT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Interval between two looks for a steward.
const STEWARD_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Delay after a failed read from a steward.
const SNAPSHOT_RETRY_DELAY: time::Duration = time::Duration::from_millis(120);

/// How long a node that is behind its steward, or whose steward is behind other nodes, tries to read
/// from it before it reads the store itself. Together with a read of the store it is well under the
/// time in which a document has to be in force.
const MAX_BEHIND_TIME: time::Duration = time::Duration::from_secs(1);

/// Smallest interval between two watches, so that changes in quick succession cost few calls.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Smallest interval between two watches of the nodes' records. Heartbeats and relay messages bring
/// what they tell, so that they matter only to nodes that hear nothing.
const NODES_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Smallest interval between two watches of the document, which has to be in force within two
/// seconds. A third of that time is left for the call and the pages of a long document.
const DOCUMENT_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Smallest interval between two watches of the registrations at a steward that is forming a group:
/// shorter, as the steward waits for the effects of its orders to show there.
const FORMING_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Delay after a list that was read because relayed changes were missed.
const CATCH_UP_DELAY: time::Duration = time::Duration::from_millis(250);

/// Interval between two checks of the versions of the document at other nodes. If one is newer at
/// two checks in a row, this node's own watch has missed it.
const DOCUMENT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// Interval between two lists of the data centres out of service while the operator may not have
/// written the marks again that a copy of the store lacks.
const COPY_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Starts to follow a kind of records.
pub(crate) fn spawn<P: links::FleetPlatform>(state: &state::EdgeState<P>, kind: links::RecordKind) {
    let parts = state.clone();
    daemon::spawn_loop(state, kind.label(), move || {
        let record_loop = RecordLoop {
            state: parts.clone(),
            kind,
            applier: records::RecordApplier::new(parts.clone()),
            backoff: records::StoreBackoff::default(),
            failing_since: None,
            started_at: times::clocks::boot_now(),
            is_follower: false,
            behind_since: None,
            listed_at: None,
        };
        record_loop.run()
    });
}

pub(super) struct RecordLoop<P> {
    pub(super) state: state::EdgeState<P>,
    pub(super) kind: links::RecordKind,
    pub(super) applier: records::RecordApplier<P>,
    pub(super) backoff: records::StoreBackoff,
    pub(super) failing_since: Option<times::BootTime>,
    started_at: times::BootTime,
    /// Whether the last step relied on the steward.
    is_follower: bool,
    /// Since when this node has known less than its steward or than other nodes.
    behind_since: Option<times::BootTime>,
    /// Version of the last list.
    listed_at: Option<epochs::ObjectVersion>,
}

impl<P: links::FleetPlatform> RecordLoop<P> {
    async fn run(mut self) {
        let mut at: Option<epochs::ObjectVersion> = None;
        loop {
            let now = times::clocks::boot_now();
            let source = self.snapshot_source(now);
            let was_follower = self.is_follower;
            self.log_change(source.is_some() || self.follows_relay(now), now);
            if let Some(source) = source {
                self.end_failures();
                at = self.follow_snapshots(source, at).await;
                continue;
            }
            let followed = self.followed_version(at);
            if followed.is_some() && self.follows_relay(now) {
                self.end_failures();
                at = self.follow(followed).await;
                continue;
            }
            if self.waits_for_steward(at.is_some(), now) {
                tokio::time::sleep(STEWARD_POLL_INTERVAL).await;
                continue;
            }
            if was_follower && self.leaves_call_to_probe(now).await {
                continue;
            }
            let (state, kind, timeout) = (self.state.clone(), self.kind, self.watch_timeout());
            let returns = state.store_outages().watch_returns();
            at = tokio::select! {
                read = self.read_store(at) => read,
                () = record_source::wait_for_source(&state, kind, at.is_some(), timeout) => at,
                () = record_outage::wait_for_end(returns) => None,
            };
        }
    }

    /// Returns the version from which this loop may rely on relay messages; without one it reads the
    /// list first.
    ///
    /// After a failed call, the nodes' records need no further list: heartbeats and relay messages
    /// carry the same information.
    pub(super) fn followed_version(
        &self,
        at: Option<epochs::ObjectVersion>,
    ) -> Option<epochs::ObjectVersion> {
        let listed_at = self.listed_at;
        at.or(listed_at.filter(|_at| self.kind == links::RecordKind::Nodes))
    }

    /// Reads the list, or the changes after a version.
    async fn read_store(
        &mut self,
        at: Option<epochs::ObjectVersion>,
    ) -> Option<epochs::ObjectVersion> {
        match at {
            None => self.list().await,
            Some(version) => self.watch(self.watch_start(version)).await,
        }
    }

    /// Returns the steward that this loop reads from instead of the store, if there is one.
    fn snapshot_source(&self, now: times::BootTime) -> Option<state::SnapshotSource> {
        record_source::snapshot_source(&self.state, self.kind, now)
    }

    /// Returns whether this loop relies on the steward's relay messages, which bring no document.
    fn follows_relay(&self, now: times::BootTime) -> bool {
        record_source::follows_relay(&self.state, self.kind, now)
    }

    /// Logs when this loop begins or ends to rely on the steward.
    fn log_change(&mut self, is_follower: bool, now: times::BootTime) {
        if is_follower == self.is_follower {
            return;
        }
        self.is_follower = is_follower;
        let (silence, store_age) = self.state.with_follower(|follower| follower.ages(now));
        log::info!(
            event = "store-source-changed",
            kind = self.kind.label(),
            follows_steward = is_follower,
            is_steward = self.is_own_steward(),
            is_first_reader = self.state.is_first_reader(now),
            relay_silence_ms:? = silence.map(millis),
            store_age_ms:? = store_age.map(millis);
            ""
        );
    }

    fn is_own_steward(&self) -> bool {
        record_source::is_own_steward(&self.state)
    }

    /// Returns whether this node, which has just started, waits for a steward to read from.
    fn waits_for_steward(&self, is_read: bool, now: times::BootTime) -> bool {
        let running_for = now.since(self.started_at);
        record_source::waits_for_steward(&self.state, self.kind, running_for, is_read, now)
    }

    /// Follows the steward, and reads from it what its relay messages do not bring.
    ///
    /// Returns the version to watch from once the steward can no longer be followed; without one the
    /// list is read.
    async fn follow_snapshots(
        &mut self,
        source: state::SnapshotSource,
        at: Option<epochs::ObjectVersion>,
    ) -> Option<epochs::ObjectVersion> {
        let now = times::clocks::boot_now();
        let local = self.state.document().map(|document| document.version());
        let newest = self.state.with_peers(|peers| peers.newest_document(now));
        let (is_offered, is_behind) = match self.kind {
            links::RecordKind::Targets => {
                let is_behind = self.state.with_follower(|follower| follower.is_behind());
                (is_behind, is_behind)
            }
            links::RecordKind::Document => {
                let is_offered = Some(source.document) > local;
                (is_offered, is_offered || Some(newest) > local)
            }
            links::RecordKind::OutOfService | links::RecordKind::Nodes => (false, false),
        };
        if !is_behind {
            self.behind_since = None;
        } else if now.since(*self.behind_since.get_or_insert(now)) >= MAX_BEHIND_TIME {
            log::info!(
                event = "steward-too-slow",
                kind = self.kind.label(),
                list_version:? = self.state.with_follower(|follower| follower.version()),
                local_document:? = local,
                steward_document:% = source.document,
                newest_document:% = newest;
                ""
            );
            self.behind_since = None;
            return self.list().await;
        }
        if !is_offered {
            tokio::select! {
                () = self.state.wait_for_relay_gap() => {}
                () = tokio::time::sleep(record_source::FOLLOW_INTERVAL) => {}
            }
            // A watch from a version that is long past may hang; see docs/questions.md.
            return at.filter(|_at| self.kind == links::RecordKind::Targets);
        }
        match self.read_snapshot(source).await {
            Ok(()) if self.kind == links::RecordKind::Targets => {
                tokio::time::sleep(CATCH_UP_DELAY).await;
                self.state.with_follower(|follower| follower.version())
            }
            Ok(()) => None,
            Err(error) => {
                log::debug!(
                    event = "snapshot-not-read",
                    kind = self.kind.label(),
                    cause:% = error;
                    ""
                );
                tokio::time::sleep(SNAPSHOT_RETRY_DELAY).await;
                at
            }
        }
    }

    /// Reads the registrations or the document from the steward.
    ///
    /// # Errors
    ///
    /// Fails when the steward does not answer, or knows less than this node.
    async fn read_snapshot(&self, source: state::SnapshotSource) -> anyhow::Result<()> {
        let client = source.client.context("the steward's address is unknown")?;
        if self.kind == links::RecordKind::Document {
            let document = client.read_document().await?;
            let now = times::clocks::boot_now();
            self.applier.apply_document(document.into(), now);
            return Ok(());
        }
        let snapshot = client.read_targets().await?;
        let now = times::clocks::boot_now();
        let known = self.state.with_follower(|follower| follower.version());
        anyhow::ensure!(
            known <= Some(snapshot.at),
            "the steward's list is of version {}, before this node's",
            snapshot.at
        );
        log::info!(
            event = "snapshot-read",
            version:% = snapshot.at,
            known:? = known,
            targets = snapshot.targets.len();
            ""
        );
        self.state.observe_era(snapshot.at, now);
        self.applier.apply_snapshot(snapshot, now);
        Ok(())
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
            () = tokio::time::sleep(record_source::FOLLOW_INTERVAL) => {}
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
        let started = times::clocks::boot_now();
        self.state
            .metrics()
            .count_store_call(self.kind.label(), "list");
        match self.state.platform().list(self.kind).await {
            Ok(list) => {
                let now = times::clocks::boot_now();
                self.record_success(now);
                let at = list.at;
                self.listed_at = Some(at);
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
                self.record_failure(&error, started).await;
                None
            }
        }
    }

    async fn watch(&mut self, version: epochs::ObjectVersion) -> Option<epochs::ObjectVersion> {
        let started = times::clocks::boot_now();
        self.state
            .metrics()
            .count_store_call(self.kind.label(), "watch");
        let wait = self.watch_timeout();
        let platform = self.state.platform();
        let watching = platform.watch(self.kind, version, wait);
        let watched = tokio::select! {
            watched = watching => watched,
            () = self.wait_for_missed_document() => return None,
        };
        match watched {
            Ok(changes) => {
                let now = times::clocks::boot_now();
                self.record_success(now);
                let at = changes.at;
                let relayed = relayed_changes(&changes.changes);
                self.applier.apply_changes(self.kind, changes, now);
                // Only after the changes are applied, as a snapshot states this version.
                if self.kind == links::RecordKind::Targets {
                    self.state
                        .with_follower(|follower| follower.set_version(at));
                    self.state
                        .with_relay_log(|log| log.record(version, at, relayed, now));
                }
                if self.kind == links::RecordKind::Document {
                    self.state.notify_relay_change();
                }
                let taken = times::clocks::boot_now().since(started);
                tokio::time::sleep(self.min_watch_interval().saturating_sub(taken)).await;
                Some(at)
            }
            Err(links::StoreError::HistoryGone) => {
                log::info!(event = "watch-restarted", kind = self.kind.label(); "");
                // The list may be stale too, so that the next watch fails likewise.
                tokio::time::sleep(self.min_watch_interval()).await;
                None
            }
            Err(error) => {
                self.record_failure(&error, started.after(wait)).await;
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
        } else if self.serves_document() {
            RELAYED_DOCUMENT_INTERVAL
        } else if self.kind == links::RecordKind::Document {
            DOCUMENT_WATCH_INTERVAL
        } else if self.kind == links::RecordKind::Nodes {
            NODES_WATCH_INTERVAL
        } else {
            WATCH_INTERVAL
        }
    }

    fn watch_timeout(&self) -> time::Duration {
        record_source::watch_timeout(&self.state, self.kind)
    }

    /// Returns whether this loop's document is served to the nodes of this data centre.
    fn serves_document(&self) -> bool {
        record_source::serves_document(&self.state, self.kind)
    }

    /// Returns whether this loop's changes are relayed to the nodes of this data centre.
    fn is_relayed(&self) -> bool {
        record_source::is_relayed(&self.state, self.kind)
    }
}

pub(super) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
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
