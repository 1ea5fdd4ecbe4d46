//! Requests to plain services.

use sageshed_engines::{answer, classify, connection, transport};

use crate::filter;

/// A request to a service.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// `IP:port` of the instance.
    pub address: &'a str,
    /// Any method.
    pub method: &'a str,
    /// Path and query as the service knows them, from the `/` on.
    pub path: &'a str,
    /// The caller's headers, of which [`filter::to_service`] is passed on.
    pub headers: &'a [(String, String)],
    /// The caller's body, if the request has one.
    pub body: Option<&'a [u8]>,
    /// The request id.
    pub request_id: &'a str,
    /// Takes a connection of its own: for what may not be repeated, and for retries.
    pub fresh: bool,
    /// Its limits in time.
    pub limits: connection::Limits,
}

/// Talks to plain services.
#[derive(Debug, Clone)]
pub struct Client {
    transport: transport::Transport,
}

impl Client {
    /// A client that uses and keeps the connections of `transport`.
    #[must_use]
    pub fn new(transport: transport::Transport) -> Self {
        Self { transport }
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// A service's answer is for the caller whatever its status, but for one that says
    /// `Sageshed-Ran: no` to this very request: that one may go to another instance. A service need
    /// not repeat the request id; if it does, it must be the right one.
    ///
    /// # Errors
    ///
    /// A [`classify::CallError`], with the verdict on whether the request may have run.
    pub fn send(&self, call: &Call<'_>) -> Result<answer::Answer, classify::CallError> {
        let passed = filter::to_service(call.headers);
        let answer = self.transport.exchange(&transport::Request {
            method: call.method,
            address: call.address,
            path: call.path,
            headers: &passed,
            body: call.body,
            request_id: call.request_id,
            id_optional: true,
            fresh: call.fresh,
            limits: call.limits,
        })?;
        if answer.says_not_run {
            return Err(answer.into_error());
        }
        Ok(answer)
    }
}
