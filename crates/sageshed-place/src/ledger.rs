//! The memory ledger.

/// The memory of one endpoint, in MiB.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    /// What its accelerators have.
    pub total: u64,
    /// What the newest report shows as taken, in any phase.
    pub resident: u64,
    /// What orders of unknown fate may take on top, at worst.
    pub reserved: u64,
}

impl Memory {
    /// What may still be promised.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.total
            .saturating_sub(self.resident)
            .saturating_sub(self.reserved)
    }
}

/// Who holds what, and what was promised.
#[derive(Debug, Clone, Default)]
pub struct Ledger {}

impl Ledger {
    /// The memory of `endpoint`, if it has reported.
    #[must_use]
    pub fn memory(&self, _endpoint: &str) -> Option<Memory> {
        None
    }
}
