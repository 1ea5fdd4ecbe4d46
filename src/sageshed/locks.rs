//! Locks that outlive a panic.
//!
//! A thread that panics while it holds a lock poisons it. Requests are isolated from each other: one
//! that hits a fault must not take down all that come after, so the lock is taken all the same. Data
//! behind these locks is changed by single steps that leave it whole.

use std::sync;

/// Locks, also after a panic elsewhere.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for reading, also after a panic elsewhere.
pub fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for writing, also after a panic elsewhere.
pub fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}
