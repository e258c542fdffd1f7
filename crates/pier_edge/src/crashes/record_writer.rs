//! Keeps the crashes in the store, for nodes that reach no other node and for those that start.

use std::collections;

use pier_types::times;

use crate::{crashes, daemon, links, records, state};

/// Writes marks to the store after this node recorded them, until the record has them.
#[derive(Debug)]
pub(crate) struct RecordWriter<P> {
    state: state::EdgeState<P>,
    backoff: records::StoreBackoff,
}

impl<P: links::FleetPlatform> RecordWriter<P> {
    /// Starts the task; it ends with the runtime.
    pub(crate) fn spawn(state: &state::EdgeState<P>) {
        let parts = state.clone();
        daemon::spawn_loop(state, "crash-record", move || {
            let writer = Self {
                state: parts.clone(),
                backoff: records::StoreBackoff::default(),
            };
            writer.run()
        });
    }

    async fn run(mut self) {
        loop {
            self.state.crashes().wait_for_unstored().await;
            while !self.store(times::clocks::boot_now()).await {
                let delay = self.backoff.next_delay(rand::random());
                tokio::time::sleep(delay).await;
            }
            self.backoff.reset();
        }
    }

    /// Writes the marks that the store lacks; returns whether none are left.
    async fn store(&self, now: times::BootTime) -> bool {
        let ledger = self.state.crashes();
        let unstored = ledger.take_unstored();
        let mut own_marks = ledger.marks(now);
        own_marks.retain(|mark| unstored.contains(&mark.fingerprint));
        let marked: collections::BTreeSet<_> =
            own_marks.iter().map(|mark| mark.fingerprint).collect();
        let wall_now = times::clocks::wall_now();
        let part_marks = ledger.part_marks(now);
        let wanted = crashes::CrashRecord::new(own_marks, part_marks.clone(), wall_now);
        let (version, known) = ledger.record();
        let is_covered = wanted.is_empty() || known.covers(&wanted);
        if is_covered && !known.has_cleared(&part_marks) {
            return true;
        }
        let record = crashes::CrashRecord::new(ledger.marks(now), part_marks, wall_now);
        let text = match serde_json::to_string(&record) {
            Ok(text) => text,
            Err(error) => {
                log::error!(event = "crash-record-not-written", cause:% = error; "");
                return true;
            }
        };
        self.state.metrics().count_store_call("nodes", "write");
        let writing = self
            .state
            .platform()
            .write(records::CRASH_RECORD, Some(version), text);
        match writing.await {
            links::StoreWrite::Written(version) => {
                ledger.set_record(version, record);
                true
            }
            links::StoreWrite::Conflict(Some(found)) => {
                self.adopt(&found, now, wall_now);
                ledger.add_unstored(marked);
                false
            }
            other => {
                log::warn!(event = "crash-record-not-written", outcome:? = other; "");
                ledger.add_unstored(marked);
                false
            }
        }
    }

    /// Applies the record that another node wrote first.
    fn adopt(&self, found: &links::StoreRecord, now: times::BootTime, wall_now: times::WallTime) {
        let links::RecordContent::Node(text) = &found.content else {
            log::warn!(event = "crash-record-unreadable", cause = "not a record of nodes"; "");
            return;
        };
        let record = crashes::CrashRecord::parse(text);
        self.state
            .crashes()
            .adopt_record(found.version, record, now, wall_now, true);
    }
}
