//! The limits on callers by those of a configuration.

use std::time;

use sageshed::gateway::caller_limits;
use sageshed_fleet::config;
use sageshed_types::time::Millis;

const TEMPLATE: config::CallerLimits = config::CallerLimits {
    head_bytes: 16_384,
    body_bytes: 4_194_304,
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
    reuse_timeout: Millis(12_000),
};

/// Guards against a process that refuses what the configuration allows, or closes a connection that callers may use.
#[test]
fn a_process_allows_at_least_what_the_configuration_allows() {
    let longer = config::CallerLimits {
        idle_timeout: Millis(40_000),
        reuse_timeout: Millis(32_000),
        ..TEMPLATE
    };
    for configured in [TEMPLATE, longer, caller_limits::MAX] {
        let limits = caller_limits::in_force(&configured);
        assert!(limits.head_bytes > configured.head_bytes);
        assert_eq!(limits.body_bytes, configured.body_bytes);
        assert!(limits.head_timeout > configured.head_timeout.into());
        assert!(limits.idle_timeout > configured.idle_timeout.into());
        assert_eq!(limits.reuse_timeout, configured.reuse_timeout.into());
        assert_eq!(caller_limits::bounded(&configured), configured);
    }
}

/// Guards against values that overflow, or let callers fill the memory.
#[test]
fn a_process_allows_no_more_than_it_can_hold() {
    let all = config::CallerLimits {
        head_bytes: usize::MAX,
        body_bytes: usize::MAX,
        head_timeout: Millis(u64::MAX),
        idle_timeout: Millis(u64::MAX),
        reuse_timeout: Millis(u64::MAX),
    };
    let most = caller_limits::in_force(&caller_limits::MAX);
    assert_eq!(caller_limits::in_force(&all), most);
    assert_eq!(caller_limits::bounded(&all), caller_limits::MAX);
    let none = config::CallerLimits {
        head_bytes: 0,
        body_bytes: 0,
        head_timeout: Millis(0),
        idle_timeout: Millis(0),
        reuse_timeout: Millis(0),
    };
    let least = caller_limits::in_force(&none);
    assert!(least.idle_timeout > time::Duration::ZERO);
    assert!(least.head_timeout > time::Duration::ZERO);
}
