//! The replicated control state and the commands that change it.
