//! Model content: a document is a sequence of bytes, a delta overwrites a part of it.

use merlinfold_distribution::{Delta, Rejection};
use merlinfold_simulation::seed::Stream;
use rand::{Rng, RngCore};

/// A delta: the number of its base, the offset, and the bytes written there.
type Patch = (u64, u32, Vec<u8>);

/// Returns a random document of `length` bytes.
pub fn document(stream: &mut Stream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.fill_bytes(&mut bytes);
    bytes
}

/// Returns a delta with `changed` random bytes for the document of `length` bytes with the number `base`.
pub fn patch(stream: &mut Stream, base: u64, length: usize, changed: usize) -> Vec<u8> {
    let start = stream.random_range(0..=length.saturating_sub(changed));
    let patch: Patch = (base, start as u32, document(stream, changed));
    postcard::to_stdvec(&patch).unwrap_or_default()
}

/// Applies deltas to a document. Fails if a delta is unreadable, has another base or goes far beyond the document's
/// end.
pub fn compose(document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection> {
    let mut composed = document.to_vec();
    for delta in deltas {
        let rejection = |reason: &str| Rejection(format!("delta to {}: {reason}", delta.number));
        let patch: Patch = postcard::from_bytes(&delta.bytes).map_err(|_| rejection("is not readable"))?;
        let (base, start, bytes) = patch;
        if base != delta.base {
            return Err(rejection("has another base"));
        }
        let start = start as usize;
        let end = start + bytes.len();
        if end > composed.len().max(bytes.len()) + composed.len() {
            return Err(rejection("goes beyond the document"));
        }
        composed.resize(composed.len().max(end), 0);
        composed[start..end].copy_from_slice(&bytes);
    }
    Ok(composed)
}
