//! Load.
