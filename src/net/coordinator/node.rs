//! The coordinator's handle of a data node's actor.

use std::net::SocketAddr;

use crate::api::EndpointState;
use crate::net::messages::{DrainGate, NodeMessage};
use crate::runtime::Sender;

/// The mailbox of a data node's actor, and the data node's drain gate.
pub(super) struct NodeHandle {
    pub(super) mailbox: Sender<NodeMessage>,
    pub(super) gate: DrainGate,
}

impl NodeHandle {
    pub(super) fn send(&self, message: NodeMessage) {
        if self.mailbox.send(message).is_err() {
            log::error!("the actor of a data node has ended");
        }
    }

    /// Applies the data node's address and state from the endpoint list.
    pub(super) fn update(&self, state: EndpointState, address: SocketAddr) {
        self.gate.set_address(address);
        self.send(NodeMessage::Address(address));
        match state {
            EndpointState::Active => drop(self.gate.set_open(true)),
            EndpointState::Draining | EndpointState::Removed => self.close_gate(),
        }
    }

    /// Closes the gate; if it was open, the actor ends its queued attempts.
    pub(super) fn close_gate(&self) {
        if self.gate.set_open(false) {
            self.send(NodeMessage::GateClosed);
        }
    }
}
