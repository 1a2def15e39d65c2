//! Classifies errors of opening a connection: local resource exhaustion does not count against the data node.

use std::io::Error;

/// Linux error numbers for a lack of local resources. A missing route is not included: it may affect only that data
/// node, and permanently.
const LOCAL_RESOURCE_ERRORS: [i32; 5] = [
    12,  // ENOMEM
    23,  // ENFILE: the system's file table is full
    24,  // EMFILE: the process has reached its limit of file descriptors
    99,  // EADDRNOTAVAIL: no local port is available
    105, // ENOBUFS
];

/// Whether the error is a lack of local resources, which prevents connections to any peer.
pub fn is_local_resource_error(error: &Error) -> bool {
    error.raw_os_error().is_some_and(|number| LOCAL_RESOURCE_ERRORS.contains(&number))
}

#[cfg(test)]
mod tests;
