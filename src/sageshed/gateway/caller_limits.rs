//! The limits on callers: those of the configuration in force, and others until there is one.
//!
//! Callers measure from their own end. What they send within the limits of the configuration may take longer to arrive,
//! and they know of a change some seconds earlier or later than this process. So this process is more generous by the
//! margins below; nothing is closed or refused before a limit is reached.

use std::time;

use sageshed_fleet::config;
use sageshed_http::limits;
use sageshed_types::time::Millis;

/// What a request line may add to the headers, in bytes. RFC 9112, section 3, asks for 8,000 at least.
const REQUEST_LINE_BYTES: usize = 8 * 1024;

/// What is added to the time for a head, for its way and for the process to read it.
const HEAD_MARGIN: time::Duration = time::Duration::from_secs(2);

/// What is added to the time that a connection may be idle, for a change that callers know of before this process does.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(5);

/// The most that this process can hold or wait for, whatever the configuration allows. A body of this size fits beside
/// everything else into the memory of the smallest VMs.
pub const MAX: config::CallerLimits = config::CallerLimits {
    head_bytes: 256 * 1024,
    body_bytes: 32 * 1024 * 1024,
    head_timeout: Millis(60_000),
    idle_timeout: Millis(3_600_000),
    reuse_timeout: Millis(3_600_000),
};

/// The limits until a configuration is in force.
pub const INITIAL: limits::CallerLimits = limits::CallerLimits {
    head_bytes: 32 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: time::Duration::from_secs(5),
    idle_timeout: time::Duration::from_secs(20),
    reuse_timeout: time::Duration::ZERO,
};

/// The limits of a configuration, with none above [`MAX`].
#[must_use]
pub fn bounded(configured: &config::CallerLimits) -> config::CallerLimits {
    config::CallerLimits {
        head_bytes: configured.head_bytes.min(MAX.head_bytes),
        body_bytes: configured.body_bytes.min(MAX.body_bytes),
        head_timeout: configured.head_timeout.min(MAX.head_timeout),
        idle_timeout: configured.idle_timeout.min(MAX.idle_timeout),
        reuse_timeout: configured.reuse_timeout.min(MAX.reuse_timeout),
    }
}

/// The limits that a port for callers goes by while a configuration with these limits is in force.
#[must_use]
pub fn in_force(configured: &config::CallerLimits) -> limits::CallerLimits {
    let bounded = bounded(configured);
    limits::CallerLimits {
        head_bytes: bounded.head_bytes + REQUEST_LINE_BYTES,
        body_bytes: bounded.body_bytes,
        head_timeout: time::Duration::from(bounded.head_timeout) + HEAD_MARGIN,
        idle_timeout: time::Duration::from(bounded.idle_timeout) + IDLE_MARGIN,
        reuse_timeout: bounded.reuse_timeout.into(),
    }
}
