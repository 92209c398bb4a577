//! Locks whose state stays usable when a holder has panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
