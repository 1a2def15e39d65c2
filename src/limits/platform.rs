//! Derives the limits of a process from the platform's bounds on descriptors and memory.

use thiserror::Error;

use super::Limits;

/// Descriptors reserved for standard streams, the poller, the listeners and discovery.
pub(super) const RESERVED_SOCKETS: usize = 32;
pub(super) const MIN_SOCKETS: usize = 128;

const KB_PER_MB: usize = 1024;
pub(super) const BYTES_PER_KB: usize = 1024;
/// Memory of a process without clients.
pub(super) const PROCESS_KB: usize = 11 * KB_PER_MB;
/// Memory of a client connection: two coroutines, the read buffer, twice the allowance for requests, and a query in
/// flight (`docs/CAPACITY.md`).
pub(super) const CLIENT_KB: usize = 56;
const MIN_CLIENTS: usize = 32;
/// The memory for larger requests is the process's memory divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 8;

/// Connections to data nodes get at most the descriptors divided by this, so that enough are left for clients...
const NODE_SOCKETS_DIVISOR: usize = 3;
/// ...or divided by this, if there are more data nodes than that.
const LARGE_FLEET_NODE_SOCKETS_DIVISOR: usize = 2;
/// The number of data nodes divided by this is the number of spare connections: a new connection may be opened before
/// the old one is closed.
const SPARE_NODE_SOCKETS_DIVISOR: usize = 4;

/// The platform's bounds are too low for a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitsError {
    /// The process gets too few file descriptors.
    #[error("limits.sockets is {allowed}, at least {MIN_SOCKETS} are needed")]
    TooFewSockets {
        /// File descriptors that this process gets.
        allowed: usize,
    },
    /// The processes get too little memory.
    #[error("limits.memory_mb is {allowed}, at least {needed} are needed")]
    TooLittleMemory {
        /// Memory that the platform allows all processes together, in megabytes.
        allowed: usize,
        /// Memory that they need together, in megabytes.
        needed: usize,
    },
}

/// The platform's bounds for all processes of a coordinator together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformBounds {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory, in megabytes.
    pub memory_mb: usize,
    /// Other processes that may serve at the same address and share the bounds.
    pub other_processes: usize,
    /// Data nodes in the endpoint list that was known before the start.
    pub nodes: usize,
}

impl Limits {
    /// Derives the limits from the platform's bounds. Clients get the resources that data nodes and the process itself
    /// do not need.
    ///
    /// # Errors
    /// Fewer than `MIN_SOCKETS` descriptors for this process, or too little memory for `MIN_CLIENTS` clients.
    pub fn within(bounds: PlatformBounds) -> Result<Self, LimitsError> {
        let processes = bounds.other_processes + 1;
        let sockets = bounds.sockets / processes;
        if sockets < MIN_SOCKETS {
            return Err(LimitsError::TooFewSockets { allowed: sockets });
        }
        let memory_kb = bounds.memory_mb.saturating_mul(KB_PER_MB) / processes;
        let request_memory_kb = memory_kb / REQUEST_MEMORY_DIVISOR;
        let max_clients = clients_in_memory(memory_kb - request_memory_kb);
        if max_clients < MIN_CLIENTS {
            return Err(LimitsError::TooLittleMemory {
                allowed: bounds.memory_mb,
                needed: least_memory_mb() * processes,
            });
        }
        let mut limits = Self { request_memory: request_memory_kb * BYTES_PER_KB, ..Self::default() };
        limits.node_sockets = node_sockets(limits.node_sockets, sockets, bounds.nodes);
        let client_sockets = sockets - RESERVED_SOCKETS - limits.node_sockets;
        limits.clients = limits.clients.min(client_sockets.min(max_clients) - limits.closing_clients);
        Ok(limits)
    }
}

/// The least memory of a process, in megabytes.
fn least_memory_mb() -> usize {
    let without_requests = PROCESS_KB + MIN_CLIENTS * CLIENT_KB;
    let with_requests = without_requests * REQUEST_MEMORY_DIVISOR / (REQUEST_MEMORY_DIVISOR - 1);
    with_requests.div_ceil(KB_PER_MB)
}

/// The number of client connections that fit into this memory of a process.
fn clients_in_memory(kilobytes: usize) -> usize {
    kilobytes.saturating_sub(PROCESS_KB) / CLIENT_KB
}

/// The number of connections to data nodes. A query of many parts may need one to each of them at once.
fn node_sockets(default: usize, sockets: usize, nodes: usize) -> usize {
    let for_each_node = nodes + nodes / SPARE_NODE_SOCKETS_DIVISOR;
    let wanted = default.min(sockets / NODE_SOCKETS_DIVISOR).max(for_each_node);
    wanted.min(sockets / LARGE_FLEET_NODE_SOCKETS_DIVISOR)
}
