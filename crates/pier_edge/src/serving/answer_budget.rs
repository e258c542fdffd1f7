//! Limits the memory that incomplete answers take.

use std::sync::{self, atomic};

/// Bytes of each answer that need no share of the budget, so that short answers always pass.
const FREE_BYTES: usize = 64 << 10;

/// Least number of bytes that a share grows by.
const GROWTH_BYTES: usize = 64 << 10;

/// Part of the node's memory that long answers may take together.
const MEMORY_DIVISOR: u64 = 4;

/// The memory that the answers of all requests may take together, beyond [`FREE_BYTES`] each.
#[derive(Debug, Clone)]
pub(crate) struct AnswerBudget {
    left: sync::Arc<atomic::AtomicUsize>,
}

impl AnswerBudget {
    /// Creates the budget of a node that may use this much memory.
    pub(crate) fn new(memory: pier_types::sizes::ByteSize) -> Self {
        let bytes = usize::try_from(memory.get() / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self {
            left: sync::Arc::new(atomic::AtomicUsize::new(bytes)),
        }
    }

    /// Returns the empty share of one answer.
    pub(super) fn share(&self) -> BudgetShare {
        BudgetShare {
            budget: self.clone(),
            taken: 0,
        }
    }

    fn take(&self, bytes: usize) -> bool {
        let rest = |left: usize| left.checked_sub(bytes);
        let (set, get) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        self.left.fetch_update(set, get, rest).is_ok()
    }
}

/// What one answer takes of the budget until dropped.
#[derive(Debug)]
pub(super) struct BudgetShare {
    budget: AnswerBudget,
    taken: usize,
}

impl BudgetShare {
    /// Grows the share for an answer of this length; returns whether the budget allows it.
    pub(super) fn grow_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(FREE_BYTES + self.taken);
        if needed == 0 {
            return true;
        }
        let bytes = needed.max(GROWTH_BYTES);
        let is_taken = self.budget.take(bytes);
        if is_taken {
            self.taken += bytes;
        }
        is_taken
    }

    /// Joins the bytes of an answer with this share, which lasts as long as they do.
    pub(super) fn attach(self, bytes: bytes::Bytes) -> bytes::Bytes {
        if self.taken == 0 {
            return bytes;
        }
        bytes::Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget
            .left
            .fetch_add(self.taken, atomic::Ordering::Relaxed);
    }
}

/// The bytes of an answer with its share of the budget.
#[derive(Debug)]
struct HeldBytes {
    bytes: bytes::Bytes,
    _share: BudgetShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
