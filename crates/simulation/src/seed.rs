//! One seed for a whole run, from which each use of randomness gets a stream of its own.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A random number stream for one use. ChaCha yields the same numbers on every machine and in every version of the
/// crate.
pub type Stream = ChaCha8Rng;

/// The seed of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// Returns the stream for the use that `name` and `number` identify.
    pub fn stream(self, name: &str, number: u64) -> Stream {
        // FNV-1a over the inputs, then one round of splitmix64. Streams only have to differ; no stronger hash is needed.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in name.bytes().chain(number.to_le_bytes()).chain(self.0.to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        ChaCha8Rng::seed_from_u64(mix(hash))
    }
}

/// Applies one round of splitmix64 (Steele et al., 2014), which maps neighbouring numbers far apart.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
