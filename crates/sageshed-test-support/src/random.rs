//! A small seeded generator, so that a run can be repeated.

/// `SplitMix64`: good enough for arrivals and choices, and four lines long.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// A generator that gives the same numbers for the same seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0)
    }

    /// A number from 0 up to but without 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A number from `least` to `most`, both included.
    pub fn between(&mut self, least: u32, most: u32) -> u32 {
        let width = u64::from(most.saturating_sub(least)) + 1;
        let offset = u32::try_from(self.bits() % width).unwrap_or(0);
        least + offset
    }

    /// The position of one of `weights`, each as likely as its weight; 0 if all are 0.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let sum: f64 = weights.clone().sum();
        let mut left = self.unit() * sum;
        for (i, weight) in weights.enumerate() {
            if left < weight {
                return i;
            }
            left -= weight;
        }
        0
    }
}

/// Scrambles 64 bits.
#[must_use]
pub fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
