//! A model of content: a document is bytes, a delta is bytes that are written over some of them.

use merlinfold_distribution::{Delta, Rejection};
use merlinfold_simulation::seed::Stream;
use rand::{Rng, RngCore};

/// A delta: from where on, and what stands there afterwards.
type Patch = (u64, u32, Vec<u8>);

/// A document of so many bytes.
pub fn document(stream: &mut Stream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.fill_bytes(&mut bytes);
    bytes
}

/// A delta of so many bytes on top of a document of that length.
pub fn patch(stream: &mut Stream, base: u64, length: usize, changed: usize) -> Vec<u8> {
    let start = stream.random_range(0..=length.saturating_sub(changed));
    let patch: Patch = (base, start as u32, document(stream, changed));
    postcard::to_stdvec(&patch).unwrap_or_default()
}

/// What deltas make of a document.
pub fn compose(document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection> {
    let mut whole = document.to_vec();
    for delta in deltas {
        let wrong = |why: &str| Rejection(format!("delta to {}: {why}", delta.number));
        let patch: Patch = postcard::from_bytes(&delta.bytes).map_err(|_| wrong("not readable"))?;
        let (base, start, bytes) = patch;
        if base != delta.base {
            return Err(wrong("of another base"));
        }
        let start = start as usize;
        let end = start + bytes.len();
        if end > whole.len().max(bytes.len()) + whole.len() {
            return Err(wrong("beyond the document"));
        }
        whole.resize(whole.len().max(end), 0);
        whole[start..end].copy_from_slice(&bytes);
    }
    Ok(whole)
}
