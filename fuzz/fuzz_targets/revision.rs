//! Decodes documents and deltas of the versioned configuration, from bytes and from JSON. Encoding must restore the
//! input.
#![no_main]

use merlinfold_revision::{Delta, Document, Revision};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    if let Ok(document) = Document::decode(bytes) {
        assert_eq!(document.encode(), bytes);
    }
    if let Ok(delta) = Delta::decode(bytes) {
        assert_eq!(delta.encode(), bytes);
        let _ = delta.apply(&Revision::default());
    }
    if let Ok(delta) = serde_json::from_slice::<Delta>(bytes) {
        assert_eq!(Delta::decode(&delta.encode()).as_ref(), Ok(&delta));
    }
});
