//! Model-checked specifications over the pure crates.
