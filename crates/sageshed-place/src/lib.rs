//! Pure placement: memory ledger, loads and moves.
