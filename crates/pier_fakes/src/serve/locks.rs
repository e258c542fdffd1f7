//! Mutex locking that ignores poisoning.

use std::sync;

/// Locks a mutex, even if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
