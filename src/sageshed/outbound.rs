//! Requests that processes of this system make of endpoints, as they are sent.

use sageshed_fleet::dialect;
use sageshed_upstream::exchange;

/// The request that is sent for `call` to the endpoint at `host`.
pub(crate) fn request<'a>(
    call: &'a dialect::OutboundRequest,
    host: &'a str,
) -> exchange::Request<'a> {
    let mut headers = vec![("Host", host.as_bytes())];
    let own = call.headers.iter();
    headers.extend(own.map(|(name, value)| (*name, value.as_bytes())));
    exchange::Request {
        method: call.method,
        target: &call.path,
        headers,
        body: call.body.clone().into(),
    }
}
