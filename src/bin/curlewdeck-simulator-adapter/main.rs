//! The adapter: reads the wire on standard input, hosts one policy instance for each coordinator and
//! writes the policy's actions on standard output. It decides nothing.

mod host;
mod instance;
mod subscriber;
mod wire;

use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

use host::Host;

const BUFFER: usize = 1 << 20;

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
    let mut input = BufReader::with_capacity(BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    let mut reply = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        let read = input.read_line(&mut line).map_err(|e| format!("line {}: {e}", number + 1))?;
        if read == 0 {
            return host.at_end().map_err(|e| format!("line {}: {e}", number + 1));
        }
        number += 1;
        let text = line.strip_suffix('\n').unwrap_or(&line);
        let done = host.take_line(text, &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        if done {
            reply.push_str("yield\n");
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
            reply.clear();
        }
    }
}
