//! Where the body of an answer ends.

use sageshed_types::framing;

use crate::{
    failure::{Cause, Failure},
    socket::{Filled, Patience, Socket},
};

/// How much of the body is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Nothing.
    Ended,
    /// This many bytes.
    Length(u64),
    /// Chunks; of the one under way this many bytes are left.
    Chunk(u64),
    /// A chunk's line end, then the size of the next.
    ChunkEnd,
    /// The size of the next chunk.
    ChunkSize,
    /// The fields behind the last chunk.
    Trailer,
    /// Everything up to the orderly end of the connection.
    UntilClose,
}

/// What came of the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Some of it.
    Bytes(Vec<u8>),
    /// It is whole.
    End,
}

/// Reads on until there is a piece.
pub(crate) fn read<S: Fn() -> bool>(
    socket: &mut Socket,
    framing: &mut Framing,
    patience: &Patience<'_, S>,
) -> Result<Piece, Failure> {
    loop {
        if *framing == Framing::Ended {
            return Ok(Piece::End);
        }
        if let Some(piece) = step(socket, framing)? {
            return Ok(piece);
        }
        match socket.fill(patience).map_err(in_answer)? {
            Filled::More => {}
            Filled::End if *framing == Framing::UntilClose => *framing = Framing::Ended,
            Filled::End => {
                let detail = "the connection ended inside the body";
                return Err(Failure::sent(Cause::ClosedInAnswer, &detail));
            }
        }
    }
}

fn in_answer(failure: Failure) -> Failure {
    let cause = match failure.cause {
        Cause::ClosedBeforeAnswer => Cause::ClosedInAnswer,
        other => other,
    };
    Failure { cause, ..failure }
}

/// Takes what the buffer holds. None where more is needed.
fn step(socket: &mut Socket, framing: &mut Framing) -> Result<Option<Piece>, Failure> {
    loop {
        match *framing {
            Framing::Ended | Framing::Length(0) => {
                *framing = Framing::Ended;
                return Ok(Some(Piece::End));
            }
            Framing::Length(left) => {
                return Ok(take(socket, left).map(|bytes| {
                    *framing = Framing::Length(left - bytes.len() as u64);
                    Piece::Bytes(bytes)
                }));
            }
            Framing::UntilClose => return Ok(take(socket, u64::MAX).map(Piece::Bytes)),
            Framing::Chunk(0) => *framing = Framing::ChunkEnd,
            Framing::Chunk(left) => {
                return Ok(take(socket, left).map(|bytes| {
                    *framing = Framing::Chunk(left - bytes.len() as u64);
                    Piece::Bytes(bytes)
                }));
            }
            Framing::ChunkEnd => {
                if socket.buf.len() < 2 {
                    return Ok(None);
                }
                if socket.take(2) != b"\r\n" {
                    return Err(Failure::malformed(&"a chunk is longer than its size"));
                }
                *framing = Framing::ChunkSize;
            }
            Framing::ChunkSize => {
                let line = framing::chunk_size(&socket.buf).map_err(|e| Failure::malformed(&e))?;
                let Some((len, size)) = line else {
                    return Ok(None);
                };
                socket.take(len);
                *framing = match size {
                    0 => Framing::Trailer,
                    size => Framing::Chunk(size),
                };
            }
            Framing::Trailer => {
                let trailer = framing::trailer(&socket.buf).map_err(|e| Failure::malformed(&e))?;
                let Some(len) = trailer else {
                    return Ok(None);
                };
                socket.take(len);
                *framing = Framing::Ended;
                return Ok(Some(Piece::End));
            }
        }
    }
}

fn take(socket: &mut Socket, most: u64) -> Option<Vec<u8>> {
    if socket.buf.is_empty() {
        return None;
    }
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    Some(socket.take(socket.buf.len().min(most)))
}
