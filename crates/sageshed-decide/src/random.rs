//! A small seeded random generator (`SplitMix64`), so that the same seed and events give the same
//! actions.
//!
//! It is used to spread load and for jitter, and is not cryptographically secure.

/// A deterministic random generator.
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator. The same seed gives the same numbers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// A random number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 {
            return 0;
        }
        usize::try_from(self.bits() % n as u64).unwrap_or(0)
    }

    /// A random number from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        const STEPS: u32 = 1 << 24;
        f64::from(u32::try_from(self.bits() >> 40).unwrap_or(0)) / f64::from(STEPS)
    }
}

/// Mixes the bits of `value`, so that similar values give very different results.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut z = value;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A hash of a name (FNV-1a), which is the same in every process and version.
#[must_use]
pub fn hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
