//! Calls that are made side by side, with or without threads.

use std::thread;

/// Applies `call` to each item in a thread of its own, and returns the results in order, without those of calls that
/// panicked.
///
/// Where no thread can be started, the call is made in the thread of the caller, after the others have begun. Guards
/// against a control process that never becomes a voter: a panic of [`thread::Scope::spawn`] ended the thread that
/// announces the process, and the group waits for its vote before it acknowledges the first configuration.
pub fn map<T: Copy + Send, R: Send>(
    items: impl IntoIterator<Item = T>,
    stack_bytes: usize,
    call: impl Fn(T) -> R + Sync,
) -> Vec<R> {
    let call = &call;
    thread::scope(|scope| {
        let start = |item| {
            let thread = thread::Builder::new().stack_size(stack_bytes);
            let started = thread.spawn_scoped(scope, move || call(item));
            started.map_err(|_not_started| item)
        };
        let started: Vec<_> = items.into_iter().map(start).collect();
        let results = started.into_iter().map(|it| match it {
            Ok(thread) => thread.join().ok(),
            Err(item) => Some(call(item)),
        });
        results.flatten().collect()
    })
}
