//! Paths between the system and its endpoints.

/// On an engine: a chat completion.
pub const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// On an engine: a completion.
pub const COMPLETIONS: &str = "/v1/completions";
/// On an engine: stops the run of one request. The body names it.
pub const CANCEL: &str = "/cancel";
/// On an engine: takes an order.
pub const ORDERS: &str = "/orders";
/// On an entry process: takes an announcement or a report.
pub const REPORT: &str = "/endpoints/report";
