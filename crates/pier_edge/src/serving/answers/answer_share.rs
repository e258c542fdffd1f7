//! What one answer takes of the budget.

use std::sync;

use pier_fleet::budgets;

use super::AnswerRoom;

/// What one answer takes of the budget, until it and all bytes that were handed over are dropped.
#[derive(Debug)]
pub(in crate::serving) struct AnswerShare {
    held: sync::Arc<HeldAnswer>,
}

impl AnswerShare {
    pub(super) fn new(room: AnswerRoom, id: budgets::AnswerId) -> Self {
        Self {
            held: sync::Arc::new(HeldAnswer { room, id }),
        }
    }

    /// Reserves memory for a part of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer is the one to be given up.
    pub(in crate::serving) async fn reserve(&self, bytes: usize) -> Result<(), budgets::AnswerEnd> {
        self.held.room.reserve(self.held.id, count(bytes)).await
    }

    /// Reserves memory at once; `None` if it becomes free later.
    ///
    /// # Errors
    ///
    /// Fails when the answer is the one to be given up.
    pub(in crate::serving) fn try_reserve(
        &self,
        bytes: usize,
    ) -> Option<Result<(), budgets::AnswerEnd>> {
        self.held.room.try_reserve(self.held.id, count(bytes))
    }

    /// Returns whether the answer was given up for others.
    pub(in crate::serving) fn is_ended(&self) -> bool {
        self.held.room.is_ended(self.held.id)
    }

    /// Records that the caller gets the answer from now on, so that it can only be cut.
    pub(super) fn begin_delivery(&self) {
        self.held.room.begin_delivery(self.held.id);
    }

    /// Joins reserved bytes with the budget, to which they return once the caller's connection has
    /// taken them.
    pub(in crate::serving) fn hand_over(&self, bytes: bytes::Bytes) -> bytes::Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        self.held.room.hand_over(self.held.id, count(bytes.len()));
        bytes::Bytes::from_owner(HeldBytes {
            bytes,
            held: sync::Arc::clone(&self.held),
        })
    }

    /// Releases bytes that are not handed over.
    pub(in crate::serving) fn discard(&self, bytes: usize) {
        self.held.room.discard(self.held.id, count(bytes));
    }
}

/// The place of one answer in the room.
#[derive(Debug)]
struct HeldAnswer {
    room: AnswerRoom,
    id: budgets::AnswerId,
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.room.release(self.id);
    }
}

/// Bytes that wait for the caller.
#[derive(Debug)]
struct HeldBytes {
    bytes: bytes::Bytes,
    held: sync::Arc<HeldAnswer>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.room.take(self.held.id, count(self.bytes.len()));
    }
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
