//! Access to state behind a lock.

use std::sync;

/// Locks a mutex; state left by a thread that panicked is used as it is.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
