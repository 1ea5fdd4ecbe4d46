//! Soon.
