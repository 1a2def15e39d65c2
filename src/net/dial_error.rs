//! Classifies errors of opening a connection: what this process lacks says nothing of the data node.

use std::io::Error;

/// Linux's numbers of what this machine or process lacks for one more connection. A missing route is not among them: it
/// may concern that data node alone, and for good.
const LOCAL_SHORTAGES: [i32; 5] = [
    12,  // ENOMEM
    23,  // ENFILE: the system's table of files is full
    24,  // EMFILE: the process holds as many descriptors as it may
    99,  // EADDRNOTAVAIL: no local port is left
    105, // ENOBUFS
];

/// Whether this process could not have opened a connection to anybody.
pub fn is_local_shortage(error: &Error) -> bool {
    error.raw_os_error().is_some_and(|number| LOCAL_SHORTAGES.contains(&number))
}

#[cfg(test)]
mod tests;
