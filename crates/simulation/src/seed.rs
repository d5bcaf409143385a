//! One seed for a whole day, and a stream of its own for each use of chance.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The random numbers of one use. ChaCha: the same on every machine and in every version of the crate.
pub type Stream = ChaCha8Rng;

/// The seed of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// The stream for one use, told apart by name and number.
    pub fn stream(self, name: &str, number: u64) -> Stream {
        // FNV-1a over the name, then one round of splitmix64: streams must differ, no more.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in name.bytes().chain(number.to_le_bytes()).chain(self.0.to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        ChaCha8Rng::seed_from_u64(mix(hash))
    }
}

/// One round of splitmix64 (Steele et al., 2014): neighbouring numbers come out far apart.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
