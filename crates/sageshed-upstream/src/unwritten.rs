//! What is left to write of a request.

use sageshed_types::body::Body;

use crate::{
    exchange::{Patience, Request},
    failure::Failure,
    socket::Socket,
};

/// A body this large, in bytes, is written after its head, and a smaller one with it.
const COPIED_BYTES: usize = 16 * 1024;

/// The part of a request that is not written.
#[derive(Debug, Default)]
pub(crate) struct Unwritten {
    /// The head, with the body behind it if that is small.
    head: Vec<u8>,
    /// The body, if it is not behind the head.
    body: Body,
    /// The bytes of both that are written.
    written: usize,
}

impl Unwritten {
    pub(crate) fn new(req: &Request<'_>) -> Self {
        let mut head = req.head();
        let mut body = req.body.clone();
        if body.len() <= COPIED_BYTES {
            head.extend_from_slice(&body);
            body = Body::default();
        }
        Self {
            head,
            body,
            written: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.head.is_empty()
    }

    /// Writes the rest. Returns whether the endpoint has read all of it.
    pub(crate) fn write<S: Fn() -> bool>(
        &mut self,
        socket: &mut Socket,
        patience: &Patience<'_, S>,
    ) -> Result<bool, Failure> {
        socket.write([&self.head, &self.body], &mut self.written, patience)
    }
}
