//! The gate in front of a data node: whether it may be sent anything new, and at which address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::api::Nanos;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::runtime::lock;

/// The gate in front of a data node; clones share it. The coordinator sets it as soon as it takes an update of the
/// endpoint list, and it is checked right before a first byte is written: an update holds at once, whatever waits in the
/// mailbox of the data node's actor. It is closed once the endpoint list's lease has ended.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    state: Arc<GateState>,
    lease: Option<EndpointListLease>,
}

#[derive(Debug, Default)]
struct GateState {
    open: AtomicBool,
    /// None before the first address is known: then any will do.
    address: Mutex<Option<SocketAddr>>,
}

impl DrainGate {
    /// A closed gate, for an endpoint list under this lease.
    pub fn with_lease(lease: EndpointListLease) -> Self {
        Self { state: Arc::default(), lease: Some(lease) }
    }

    /// Opens or closes it; returns whether it was open, regardless of the lease.
    pub fn set_open(&self, open: bool) -> bool {
        self.state.open.swap(open, Ordering::AcqRel)
    }

    /// From now on only connections to this address may be sent anything new.
    pub fn set_address(&self, address: SocketAddr) {
        *lock(&self.state.address) = Some(address);
    }

    /// Whether it is open.
    pub fn is_open(&self, now: Nanos) -> bool {
        let open = self.state.open.load(Ordering::Acquire);
        open && self.lease.as_ref().is_none_or(|lease| lease.is_valid(now))
    }

    /// Whether it is open for connections to this address.
    pub fn is_open_for(&self, address: SocketAddr, now: Nanos) -> bool {
        self.is_open(now) && lock(&self.state.address).is_none_or(|current| current == address)
    }
}
