//! The record of all calls to one fake server.

use std::sync;

use pier_types::times::clocks;
use xxhash_rust::xxh3;

use crate::{record, serve};

/// Maximum number of body characters that an entry keeps.
const BODY_PREFIX_CHARS: usize = 200;

/// Calls in order of arrival; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    entries: sync::Arc<sync::Mutex<Vec<record::RecordEntry>>>,
}

impl RunRecord {
    /// Returns a copy of all entries.
    pub fn entries(&self) -> Vec<record::RecordEntry> {
        serve::lock(&self.entries).clone()
    }

    /// Records the arrival of a call; returns its sequence.
    pub(crate) fn record_arrival(&self, request: &serve::FakeRequest) -> u64 {
        let mut entries = serve::lock(&self.entries);
        let sequence = entries.len() as u64 + 1;
        let prefix = String::from_utf8_lossy(&request.body);
        entries.push(record::RecordEntry {
            sequence,
            arrived_at: clocks::boot_now(),
            ended_at: None,
            method: request.method.clone(),
            path: request.path.clone(),
            attempt: request.header("x-attempt-id").map(str::to_owned),
            key: request.header("idempotency-key").map(str::to_owned),
            body_hash: format!("{:016x}", xxh3::xxh3_64(&request.body)),
            body_prefix: prefix.chars().take(BODY_PREFIX_CHARS).collect(),
            started: false,
            end: record::RunEnd::Active,
            tokens: 0,
            effect: String::new(),
        });
        sequence
    }

    /// Changes one entry; does nothing for sequence 0, which stands for no entry.
    pub(crate) fn update(&self, sequence: u64, change: impl FnOnce(&mut record::RecordEntry)) {
        let index = usize::try_from(sequence).unwrap_or(0).checked_sub(1);
        let mut entries = serve::lock(&self.entries);
        if let Some(entry) = index.and_then(|index| entries.get_mut(index)) {
            change(entry);
        }
    }

    /// Sets the end time, state and effect of one entry.
    pub(crate) fn close(&self, sequence: u64, end: record::RunEnd, effect: &str) {
        self.update(sequence, |entry| {
            entry.end = end;
            entry.ended_at = Some(clocks::boot_now());
            effect.clone_into(&mut entry.effect);
        });
    }
}
