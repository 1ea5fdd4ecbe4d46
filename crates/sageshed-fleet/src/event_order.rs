//! Checks that the ids of the events that reach a caller increase.
//!
//! Ids are compared as decimal numbers, and gaps between them are allowed. An id that is not a number has no order: only
//! the same one twice in a row is a repeated event. An event without an id can't be told from others.

use derive_more::{Display, Error};

/// The most characters of an id that is not a number in an error.
const MAX_SHOWN_CHARS: usize = 40;

/// An event whose id is not above that of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("event {id:?} after event {last:?}")]
pub struct OutOfOrder {
    /// The id of the earlier event.
    pub last: String,
    /// The id of this event.
    pub id: String,
}

/// The ids of the events that have reached a caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EventOrder {
    /// The highest number.
    highest: Option<u64>,
    /// The last id, unless it is a number.
    opaque: Option<String>,
}

impl EventOrder {
    /// The order of a stream whose caller has received its events up to that of `id`.
    #[must_use]
    pub fn after(id: &str) -> Self {
        let mut order = Self::default();
        order.insert(id);
        order
    }

    /// Checks that the event of `id` may be the next one.
    ///
    /// # Errors
    ///
    /// If it is a repeated or an earlier one.
    pub fn check(&self, id: &str) -> Result<(), OutOfOrder> {
        match (number(id), self.highest, &self.opaque) {
            (Some(number), Some(highest), _) if number <= highest => Err(OutOfOrder {
                last: highest.to_string(),
                id: number.to_string(),
            }),
            (None, _, Some(last)) if id == last => Err(OutOfOrder {
                last: shown(last),
                id: shown(id),
            }),
            _ => Ok(()),
        }
    }

    /// Adds the id of the next event.
    ///
    /// # Errors
    ///
    /// As [`Self::check`]. The id is not added.
    pub fn push(&mut self, id: &str) -> Result<(), OutOfOrder> {
        self.check(id)?;
        self.insert(id);
        Ok(())
    }

    fn insert(&mut self, id: &str) {
        // An empty id is none.
        if id.is_empty() {
            return;
        }
        match number(id) {
            Some(number) => {
                self.highest = Some(number);
                self.opaque = None;
            }
            None => self.opaque = Some(id.to_owned()),
        }
    }
}

/// The number that `id` is in decimal digits, if it fits.
fn number(id: &str) -> Option<u64> {
    // A sign would be parsed too.
    let is_decimal = id.bytes().all(|it| it.is_ascii_digit());
    is_decimal.then(|| id.parse().ok()).flatten()
}

fn shown(id: &str) -> String {
    id.chars().take(MAX_SHOWN_CHARS).collect()
}
