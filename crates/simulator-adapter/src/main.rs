//! Runs the decision module for the simulator: reads events from standard input and writes actions to
//! standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use merlinfold_drill::Adapter;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        let result = match input.read_until(b'\n', &mut line) {
            Err(error) => Err(format!("cannot read standard input: {error}")),
            Ok(0) if adapter.in_batch() => Err("the input ends within a batch; expected Eob".to_owned()),
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => adapter.handle_line(&line),
        };
        match result {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if output.write_all(reply).and_then(|()| output.flush()).is_err() {
                    // The simulator closed its end of the pipe, so that no reply can reach it.
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("merlinfold-drill: line {line_number}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
}
