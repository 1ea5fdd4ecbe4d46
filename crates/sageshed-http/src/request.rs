//! A request as a caller sent it, with the headers that the system knows already typed.

use std::{fmt, net, time};

use sageshed_types::{body::Body, headers, secret, time as types_time};

use crate::head;

/// One whole request.
#[derive(Debug)]
pub struct Request {
    /// The method, as sent: methods are case-sensitive.
    pub method: String,
    /// The path, still percent-encoded. Begins with `/`, or is `*`.
    pub path: String,
    /// What follows the `?`, still percent-encoded.
    pub query: Option<String>,
    /// What `Authorization` says of who sends it.
    pub credential: secret::Credential,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// `Sageshed-Repeatable`: `yes` or `no`.
    pub repeatable: Option<bool>,
    /// `Sageshed-Deadline-Ms`: time left when the caller sent it, in milliseconds.
    pub deadline: Option<types_time::Millis>,
    /// `Sageshed-Class`.
    pub class: Option<String>,
    /// `Content-Type`, as sent.
    pub content_type: Option<String>,
    /// Every header, in the order sent.
    pub headers: Vec<Header>,
    /// The body, with any chunked coding taken off.
    pub body: Body,
    /// When the first byte was read. Deadlines count from here.
    pub received: time::Instant,
    /// The other end of the connection: the platform's balancer, as a rule.
    pub peer: net::SocketAddr,
}

/// One header.
#[derive(Clone, PartialEq, Eq)]
pub struct Header {
    /// The name, as sent: an ASCII token.
    pub name: String,
    /// The value without surrounding white space. Not always UTF-8.
    pub value: Vec<u8>,
}

impl Header {
    /// Whether it shows who sends the request, and is for this system alone.
    #[must_use]
    pub fn is_credential(&self) -> bool {
        self.name.eq_ignore_ascii_case(headers::AUTHORIZATION)
    }
}

/// Leaves the values of credentials out.
impl fmt::Debug for Header {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_credential() {
            return write!(f, "{}: ..", self.name);
        }
        write!(f, "{}: {}", self.name, self.value.escape_ascii())
    }
}

impl Request {
    /// The first header called `name`, in any case, if its value is UTF-8.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))?;
        str::from_utf8(&found.value).ok()
    }

    /// The value of the header called `name`, in any case.
    #[must_use]
    pub fn value(&self, name: &str) -> headers::Value<'_> {
        headers::Value::of(head::values(&self.headers, name))
    }

    /// The headers to pass on to a plain service.
    ///
    /// Left out are those of the connection, those named by a `Connection` header, those that the
    /// next sender sets anew, and `Authorization`: the caller's token is meant for this system, and
    /// a service that sees it could act as the caller.
    pub fn forwarded(&self) -> impl Iterator<Item = &Header> {
        self.headers
            .iter()
            .filter(|header| !self.stays_here(&header.name))
    }

    fn stays_here(&self, name: &str) -> bool {
        let is = |kept: &&str| name.eq_ignore_ascii_case(kept);
        let fixed = is(&headers::AUTHORIZATION) || headers::HOP_BY_HOP.iter().any(is);
        fixed || self.is_connection_option(name)
    }

    /// Whether a `Connection` header names `name`, so that it is not for the next server.
    #[must_use]
    pub fn is_connection_option(&self, name: &str) -> bool {
        self.headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"))
            .filter_map(|header| str::from_utf8(&header.value).ok())
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case(name))
    }
}
