//! Counts a request or its answer.

use std::sync::{self, atomic};

/// Keeps one request or answer counted until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    count: sync::Arc<atomic::AtomicUsize>,
}

impl RequestGuard {
    /// Counts one more.
    pub(crate) fn new(count: sync::Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::SeqCst);
        Self { count }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
