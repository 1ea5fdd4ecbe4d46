//! Bodies of requests, shared without copies.

use std::{fmt, ops, sync::Arc};

use crate::shared_memory;

/// A body. A clone shares its bytes.
#[derive(Clone, Default)]
pub struct Body(Arc<Counted>);

#[derive(Default)]
struct Counted {
    bytes: Vec<u8>,
    _memory: Option<shared_memory::Reservation>,
}

impl Body {
    /// A body whose bytes are counted as `memory` until all clones are dropped.
    #[must_use]
    pub fn counted(bytes: Vec<u8>, memory: shared_memory::Reservation) -> Self {
        Self(Arc::new(Counted {
            bytes,
            _memory: Some(memory),
        }))
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Counted {
            bytes,
            _memory: None,
        }))
    }
}

impl ops::Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.len())
    }
}
