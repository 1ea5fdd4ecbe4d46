//! Rules compiled to keys.
