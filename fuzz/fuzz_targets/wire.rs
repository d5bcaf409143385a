//! Feeds lines of the simulator protocol to the drill host.
#![no_main]

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut adapter = merlinfold_drill::Adapter::default();
    for line in bytes.split(|&b| b == b'\n') {
        if adapter.handle_line(line).is_err() {
            return;
        }
    }
});
