//! Feeds lines of the simulator protocol to the drill host.
#![no_main]

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut host = merlinfold_drill::Host::default();
    for line in bytes.split(|&b| b == b'\n') {
        if host.line(line).is_err() {
            return;
        }
    }
});
