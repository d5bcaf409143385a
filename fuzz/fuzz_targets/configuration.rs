//! Validates a platform configuration, which contains the server list.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    let _ = merlinfold_node::Config::validate(text);
});
