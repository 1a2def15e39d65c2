//! Simulator adapter: reads the simulator's line protocol on standard input, runs one policy instance for each
//! coordinator and writes the policy's actions to standard output. All decisions are made by the policy.

mod host;
mod instance;
mod subscriber;
mod wire;

use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

use host::Host;

const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("curlewdeck-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    let mut reply = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        let read = input.read_line(&mut line).map_err(|e| format!("line {}: {e}", line_number + 1))?;
        if read == 0 {
            return host.check_input_end().map_err(|e| format!("line {}: {e}", line_number + 1));
        }
        line_number += 1;
        let text = line.strip_suffix('\n').unwrap_or(&line);
        let batch_complete =
            host.handle_line(text, &mut reply).map_err(|e| format!("line {line_number}: {e}"))?;
        if batch_complete {
            reply.push_str("yield\n");
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
            reply.clear();
        }
    }
}
