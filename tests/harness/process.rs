//! The state and the log of a child process.

use std::io::{self, BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex};

use super::stand_in::lock;

/// The process state letter of `/proc/PID/stat`: `T` when stopped.
pub fn state(child: &Child) -> io::Result<char> {
    let status = std::fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
    let state = status.rsplit(") ").next().and_then(|rest| rest.chars().next());
    state.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Collects the log that a process writes to its standard error, which must be piped.
pub fn collect_log(child: &mut Child) -> Arc<Mutex<String>> {
    let log = Arc::new(Mutex::new(String::new()));
    let (lines, collected) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
    std::thread::spawn(move || {
        lines.lines().map_while(Result::ok).for_each(|line| *lock(&collected) += &(line + "\n"))
    });
    log
}
