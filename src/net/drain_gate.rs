//! The drain gate of a data node: whether anything new may be sent to it, and at which address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::api::Nanos;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::runtime::lock;

/// The drain gate of a data node; clones share its state. The coordinator sets it when it applies an update of the
/// endpoint list, and the gate is checked right before a first byte is written. An update therefore takes effect at
/// once, regardless of messages queued in the mailbox of the data node's actor. The gate is closed once the endpoint
/// list's lease has ended.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    state: Arc<GateState>,
    lease: Option<EndpointListLease>,
}

#[derive(Debug, Default)]
struct GateState {
    open: AtomicBool,
    /// `None` until the first address is known; any address is then accepted.
    address: Mutex<Option<SocketAddr>>,
}

impl DrainGate {
    /// Creates a closed gate under the endpoint list's lease.
    pub fn with_lease(lease: EndpointListLease) -> Self {
        Self { state: Arc::default(), lease: Some(lease) }
    }

    /// Opens or closes the gate; returns whether it was open, regardless of the lease.
    pub fn set_open(&self, open: bool) -> bool {
        self.state.open.swap(open, Ordering::AcqRel)
    }

    /// Restricts new sends to connections to this address.
    pub fn set_address(&self, address: SocketAddr) {
        *lock(&self.state.address) = Some(address);
    }

    /// Returns whether the gate is open and the lease is valid.
    pub fn is_open(&self, now: Nanos) -> bool {
        let open = self.state.open.load(Ordering::Acquire);
        open && self.lease.as_ref().is_none_or(|lease| lease.is_valid(now))
    }

    /// Returns whether the gate is open for connections to this address.
    pub fn is_open_for(&self, address: SocketAddr, now: Nanos) -> bool {
        self.is_open(now) && lock(&self.state.address).is_none_or(|current| current == address)
    }
}
