//! The text of a stand-in engine's answers: made of the request, and checkable by its caller.
//!
//! The first token names the request id and the caller's mark, the last one carries a checksum over
//! all before it. So a caller can tell that an answer is its own, whole, and not spliced from two
//! runs: the tokens in between depend on the run.

use crate::random;

/// How the first token begins.
const HEAD: &str = "answer";
/// How the last token begins.
const TAIL: &str = " sum=";

/// The caller's mark: the last word of its prompt.
#[must_use]
pub fn mark_of(prompt: &str) -> &str {
    prompt.split_whitespace().next_back().unwrap_or("none")
}

/// The tokens of one answer, each with the space before it. At least two.
#[must_use]
pub fn tokens(request_id: &str, mark: &str, run: &str, count: u32) -> Vec<String> {
    let mut tokens = vec![format!("{HEAD} {request_id} {mark}")];
    let mut state = checksum(run.as_bytes());
    for _ in 2..count {
        state = random::mix(state.wrapping_add(1));
        tokens.push(format!(" w{:04x}", state & 0xFFFF));
    }
    let sum = checksum(tokens.concat().as_bytes());
    tokens.push(format!("{TAIL}{sum:016x}"));
    tokens
}

/// Checks that `text` is whole and answers the request with this mark.
///
/// # Errors
///
/// What is wrong with it, in a few words.
pub fn check(text: &str, request_id: Option<&str>, mark: &str) -> Result<(), String> {
    let Some((before, sum)) = text.rsplit_once(TAIL) else {
        return Err("the answer has no checksum".to_owned());
    };
    let expected = format!("{:016x}", checksum(before.as_bytes()));
    if sum != expected {
        return Err("the checksum of the answer is wrong".to_owned());
    }
    let mut words = before.split(' ').skip(1);
    let id = words.next().unwrap_or_default();
    if request_id.is_some_and(|wanted| wanted != id) {
        return Err(format!("the answer is of request {id}"));
    }
    let found = words.next().unwrap_or_default();
    if found != mark {
        return Err(format!("the answer has mark {found}, not {mark}"));
    }
    Ok(())
}

/// FNV-1a over 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xCBF2_9CE4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3)
    })
}
