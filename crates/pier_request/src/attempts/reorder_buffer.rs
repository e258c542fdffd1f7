//! Reorders the parts of one answer across all attempts.

use std::collections;

use pier_types::{ids, sizes};

use crate::attempts;

/// Number of positions, from the next one on, at which parts are accepted; bounds the parts held.
const MAX_LOOKAHEAD: usize = 64;

/// Restores the order of the parts of one answer; drops duplicates and parts of earlier attempts.
///
/// `P` is the type of a part. Positions count tokens from 0 over the complete answer, also in an
/// attempt that resumes it.
///
/// ```
/// use pier_request::attempts;
/// use pier_types::ids;
///
/// let mut buffer = attempts::ReorderBuffer::default();
/// let attempt = ids::AttemptId::new(1);
/// buffer.begin(attempt);
/// assert_eq!(buffer.accept(attempt, 1, "b", true), attempts::PartStatus::Held);
/// assert_eq!(buffer.accept(attempt, 0, "a", false), attempts::PartStatus::Ready);
/// assert_eq!(buffer.take_ready(), Some("a"));
/// assert_eq!(buffer.take_ready(), Some("b"));
/// assert_eq!(buffer.close(attempt), attempts::StreamEnd::Complete);
/// ```
#[derive(Debug)]
pub struct ReorderBuffer<P> {
    attempt: Option<ids::AttemptId>,
    next: u64,
    end: Option<u64>,
    held: collections::BTreeMap<u64, P>,
}

impl<P> Default for ReorderBuffer<P> {
    fn default() -> Self {
        Self {
            attempt: None,
            next: 0,
            end: None,
            held: collections::BTreeMap::new(),
        }
    }
}

impl<P> ReorderBuffer<P> {
    /// Switches to a new attempt and returns how many tokens it may skip because they were already
    /// delivered.
    pub fn begin(&mut self, attempt: ids::AttemptId) -> sizes::TokenCount {
        self.attempt = Some(attempt);
        // Another engine may generate a different continuation, so parts held from the previous
        // attempt are discarded.
        self.held.clear();
        self.end = None;
        self.delivered()
    }

    /// Ends the current attempt; its further parts are stale.
    pub fn abandon(&mut self) {
        self.attempt = None;
        self.held.clear();
    }

    /// Accepts a part at a position; `last` marks the explicit end of the answer.
    pub fn accept(
        &mut self,
        attempt: ids::AttemptId,
        position: u64,
        part: P,
        last: bool,
    ) -> attempts::PartStatus {
        if self.attempt != Some(attempt) {
            return attempts::PartStatus::Stale;
        }
        if position < self.next || self.held.contains_key(&position) {
            return attempts::PartStatus::Duplicate;
        }
        if self.is_refused(position, last) {
            return attempts::PartStatus::Refused;
        }
        if last {
            self.end = Some(position + 1);
        }
        self.held.insert(position, part);
        if position == self.next {
            return attempts::PartStatus::Ready;
        }
        attempts::PartStatus::Held
    }

    /// Removes and returns the next part in order, if it has arrived.
    pub fn take_ready(&mut self) -> Option<P> {
        let part = self.held.remove(&self.next)?;
        self.next += 1;
        Some(part)
    }

    /// Ends the attempt when its stream closes and returns whether the answer is complete.
    pub fn close(&mut self, attempt: ids::AttemptId) -> attempts::StreamEnd {
        if self.attempt != Some(attempt) {
            return attempts::StreamEnd::Stale;
        }
        self.abandon();
        if self.end == Some(self.next) {
            return attempts::StreamEnd::Complete;
        }
        attempts::StreamEnd::Broken
    }

    /// Returns how many tokens were handed out for the caller; a new attempt resumes there.
    pub const fn delivered(&self) -> sizes::TokenCount {
        sizes::TokenCount::new(self.next)
    }

    fn is_refused(&self, position: u64, last: bool) -> bool {
        let past_end = self.end.is_some_and(|end| position >= end);
        let ends_before_held = last
            && self
                .held
                .last_key_value()
                .is_some_and(|(held, _part)| *held > position);
        let ahead = position - self.next >= MAX_LOOKAHEAD as u64;
        past_end || ends_before_held || ahead
    }
}
