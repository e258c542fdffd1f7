//! Follows one kind of records.

use std::time;

use pier_types::{epochs, times};

use crate::{links, records, state};

/// How long a watch waits; a connection that went silent is found by the time-outs of its socket.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);

/// Least time between two watches, so that changes in quick succession cost few calls.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(150);

/// The same for the registrations at a steward, which waits for its orders' effects there.
const STEWARD_PAUSE: time::Duration = time::Duration::from_millis(30);

/// Failures that lasted this long count as an outage of the store.
const OUTAGE_TIME: time::Duration = time::Duration::from_secs(1);

/// Failures in a row after which only the document's loop goes on asking, so that an outage costs
/// few calls; the others wait for its success.
const OWN_TRIES: u32 = 2;

/// How long they wait at most, since the store may fail for one connection alone.
const GATE_WAIT: time::Duration = time::Duration::from_millis(1_200);

/// Starts to follow a kind.
pub(crate) fn spawn<P: links::FleetPlatform>(state: state::EdgeState<P>, kind: links::RecordKind) {
    let keeper = records::RecordKeeper::new(state.clone());
    let follower = RecordLoop {
        state,
        kind,
        keeper,
        pause: records::WatchPause::default(),
        failing_since: None,
    };
    tokio::spawn(follower.run());
}

struct RecordLoop<P> {
    state: state::EdgeState<P>,
    kind: links::RecordKind,
    keeper: records::RecordKeeper<P>,
    pause: records::WatchPause,
    failing_since: Option<times::BootTime>,
}

impl<P: links::FleetPlatform> RecordLoop<P> {
    async fn run(mut self) {
        let mut at: Option<epochs::ObjectVersion> = None;
        loop {
            at = match at {
                None => self.list().await,
                Some(version) => self.watch(version).await,
            };
        }
    }

    async fn list(&mut self) -> Option<epochs::ObjectVersion> {
        self.state
            .metrics()
            .count_store_call(self.kind.label(), "list");
        match self.state.platform().list(self.kind).await {
            Ok(list) => {
                let now = times::clocks::boot_now();
                self.note_success(now);
                let at = list.at;
                self.keeper.apply_list(self.kind, list, now);
                Some(at)
            }
            Err(error) => {
                self.note_failure(&error).await;
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
        match platform.watch(self.kind, version, WATCH_WAIT).await {
            Ok(changes) => {
                let now = times::clocks::boot_now();
                self.note_success(now);
                let at = changes.at;
                self.keeper.apply_changes(self.kind, changes, now);
                let taken = times::clocks::boot_now().since(started);
                tokio::time::sleep(self.least_pause().saturating_sub(taken)).await;
                Some(at)
            }
            Err(links::StoreError::HistoryGone) => {
                log::info!(event = "watch-restarted", kind = self.kind.label(); "");
                None
            }
            Err(error) => {
                self.note_failure(&error).await;
                // What changed meanwhile may lie before what the next watch can see, and a list
                // answers at once.
                None
            }
        }
    }

    fn least_pause(&self) -> time::Duration {
        let is_steward = self.kind == links::RecordKind::Targets
            && self.state.with_peers(|peers| peers.is_steward());
        if is_steward {
            STEWARD_PAUSE
        } else {
            CHANGE_PAUSE
        }
    }

    fn note_success(&mut self, now: times::BootTime) {
        if !self.pause.reset() {
            return;
        }
        self.state.notify_store();
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
        if away >= OUTAGE_TIME {
            self.keeper.note_return(self.kind, now);
        }
    }

    async fn note_failure(&mut self, error: &links::StoreError) {
        let now = times::clocks::boot_now();
        self.state.metrics().count_store_failure(self.kind.label());
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            log::warn!(event = "store-away", kind = self.kind.label(), cause:% = error; "");
        }
        let pause = self.pause.next(rand::random());
        let is_asker = self.kind == links::RecordKind::Document;
        if is_asker || self.pause.failures() <= OWN_TRIES {
            tokio::time::sleep(pause).await;
            return;
        }
        tokio::select! {
            () = self.state.store_back() => {}
            () = tokio::time::sleep(GATE_WAIT) => {}
        }
    }
}
