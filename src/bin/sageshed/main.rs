//! The command line.
fn main() {}
