//! The platform's configuration with the list of servers in it.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    let _ = merlinfold_node::Config::validate(text);
});
