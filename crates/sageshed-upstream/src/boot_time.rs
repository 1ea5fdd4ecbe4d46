//! The time since the system was started.

use std::time;

use rustix::time as sys;

/// The time since the system was started. It advances while the VM is suspended, which the standard
/// library's clock does not.
#[must_use]
pub fn since_boot() -> time::Duration {
    let now = sys::clock_gettime(sys::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(secs, nanos)
}
