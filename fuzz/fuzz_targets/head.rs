//! Reads the head of a client request.
#![no_main]

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Uri;

libfuzzer_sys::fuzz_target!(|bytes: (&str, Vec<(u8, &[u8])>)| {
    let (uri, fields) = bytes;
    let names = ["x-lane", "x-txn", "x-remaining-ms", "x-org", "x-estimate", "x-resent"];
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.insert(HeaderName::from_static(names[name as usize % names.len()]), value);
        }
    }
    if let Ok(uri) = uri.parse::<Uri>() {
        let _ = merlinfold_node::request_head::RequestHead::read(&uri, &headers);
    }
});
