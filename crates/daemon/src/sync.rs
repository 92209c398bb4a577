//! Locking of mutexes whose state stays valid if a thread panics while it holds the lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
