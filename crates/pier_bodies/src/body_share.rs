//! What one body takes of the budget.

use pier_fleet::budgets;
use pier_types::times;

use super::BodyRoom;

/// What one body takes of the budget until dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    room: BodyRoom,
    id: budgets::BodyId,
}

impl BodyShare {
    pub(super) const fn new(room: BodyRoom, id: budgets::BodyId) -> Self {
        Self { room, id }
    }

    pub(super) fn record_progress(&self, now: times::BootTime) {
        self.room.record_progress(self.id, now);
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Fails when the body is the one to be given up.
    pub(super) async fn reserve(&self, bytes: usize) -> Result<(), budgets::BodyEnd> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.room.reserve(self.id, bytes).await
    }

    /// Joins the bytes of a whole body with this share, which lasts as long as they do.
    pub(super) fn attach(self, bytes: bytes::Bytes) -> bytes::Bytes {
        self.room.complete(self.id);
        if bytes.is_empty() {
            return bytes;
        }
        bytes::Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.room.release(self.id);
    }
}

/// The bytes of a body with its share of the budget, which is released after them.
#[derive(Debug)]
struct HeldBytes {
    bytes: bytes::Bytes,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
