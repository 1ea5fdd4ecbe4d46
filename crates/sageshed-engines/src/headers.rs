//! Names of the headers between the system and its endpoints.

/// Names the request; an engine repeats it in the answer.
pub const REQUEST_ID: &str = "Sageshed-Request-Id";
/// Names one run of a request on one engine, in the answer.
pub const RUN: &str = "Sageshed-Run";
/// `no` in an answer that refuses: the endpoint has not run the request and will not.
pub const RAN: &str = "Sageshed-Ran";
/// Asks an engine to go on with a run after this many tokens.
pub const RESUME_TOKEN: &str = "Sageshed-Resume-Token";
/// Priority within the engine: 0 is the least urgent, 9 the most.
pub const PRIORITY: &str = "Sageshed-Priority";
/// Time left to answer, in milliseconds.
pub const DEADLINE_MS: &str = "Sageshed-Deadline-Ms";
/// Names the request across retries, where the caller gave a key.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The value of [`RAN`] in a refusal.
pub const RAN_NO: &str = "no";
