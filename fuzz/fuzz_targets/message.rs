//! Parses HTTP messages from nodes and from clients with the parser of the lab.
#![no_main]

use merlinfold_lab::http::{parse, Side};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let _ = parse(bytes, Side::Server);
    let _ = parse(bytes, Side::Client);
});
