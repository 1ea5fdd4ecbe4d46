//! What the commands and daemons do.
