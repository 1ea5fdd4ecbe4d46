//! Heads of responses that are made up of two: a sender broke off inside a head and then sent a whole response.
//!
//! A break inside a name, or between two lines, leaves a line that is no field. Inside a value or a reason phrase it is
//! valid HTTP, and the status line of the second response is the end of that value.
//!
//! Sound servers send a status line in a value too, such as that of another response. A field that is given twice though it
//! may stand once (RFC 9110, section 5.3) is no sign by itself either: servers that pass on the fields of others add a
//! second `Date` or `Server`.

use derive_more::{Display, Error};

/// A head that is made up of two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("another head begins inside the head of the answer")]
pub struct JoinedHeads;

/// Fields that stand once in a response, and in most responses. In lower case.
const SINGLE: [&str; 9] = [
    "age",
    "content-length",
    "content-location",
    "content-type",
    "date",
    "etag",
    "last-modified",
    "location",
    "server",
];

/// Checks that the head of a response with this reason phrase and these fields does not contain the beginning of another one.
///
/// # Errors
///
/// If it does.
pub fn check<'h>(
    reason: &str,
    fields: &(impl Iterator<Item = (&'h str, &'h [u8])> + Clone),
) -> Result<(), JoinedHeads> {
    let begins_inside = |(at, (name, value)): (usize, (&str, &[u8]))| match status_line(value) {
        None => false,
        // No text of a sound server has a status line behind a letter or digit.
        Some(start) if ends_in_a_word(&value[..start]) => true,
        Some(_) => {
            let earlier = fields.clone().take(at).map(|it| it.0);
            let singles = earlier.filter(|it| is_single(it));
            let later = fields.clone().skip(at + 1).map(|it| it.0);
            let mut names = singles.chain([name]);
            names.any(|it| later.clone().any(|other| other.eq_ignore_ascii_case(it)))
        }
    };
    if status_line(reason.as_bytes()).is_some() || fields.clone().enumerate().any(begins_inside) {
        return Err(JoinedHeads);
    }
    Ok(())
}

fn ends_in_a_word(value: &[u8]) -> bool {
    value.last().is_some_and(u8::is_ascii_alphanumeric)
}

fn is_single(name: &str) -> bool {
    SINGLE.iter().any(|it| name.eq_ignore_ascii_case(it))
}

/// Where a status line begins that ends with `value`, if there is one.
fn status_line(value: &[u8]) -> Option<usize> {
    (0..value.len()).find(|&start| is_status_line(&value[start..]))
}

/// Whether these are a version and a status code, with a reason phrase or none (RFC 9112, section 4).
fn is_status_line(line: &[u8]) -> bool {
    let Some((head, reason)) = line.split_at_checked("HTTP/1.1 200".len()) else {
        return false;
    };
    let is_shaped = |(byte, pattern): (&u8, &u8)| match pattern {
        b'0' => byte.is_ascii_digit(),
        _ => byte == pattern,
    };
    head.iter().zip(b"HTTP/0.0 000").all(is_shaped) && matches!(reason.first(), None | Some(b' '))
}
