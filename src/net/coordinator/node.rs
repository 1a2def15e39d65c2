//! A data node's actor, as the coordinator knows it.

use std::net::SocketAddr;

use may::sync::mpsc::Sender;

use crate::api::EndpointState;
use crate::net::messages::{DrainGate, NodeMessage};

/// The mailbox of a data node's actor, and the gate in front of the data node.
pub(super) struct Node {
    pub(super) mailbox: Sender<NodeMessage>,
    pub(super) gate: DrainGate,
}

impl Node {
    /// Sends a message to the actor.
    pub(super) fn send(&self, message: NodeMessage) {
        if self.mailbox.send(message).is_err() {
            log::error!("the actor of a data node has ended");
        }
    }

    /// Takes what the endpoint list says: its address, and whether it may be sent anything new.
    pub(super) fn update(&self, state: EndpointState, address: SocketAddr) {
        self.gate.set_address(address);
        self.send(NodeMessage::Address(address));
        match state {
            EndpointState::Active => drop(self.gate.set_open(true)),
            EndpointState::Draining | EndpointState::Removed => self.close_gate(),
        }
    }

    /// Nothing new is sent from now on, and what is queued ends at once.
    pub(super) fn close_gate(&self) {
        if self.gate.set_open(false) {
            self.send(NodeMessage::GateClosed);
        }
    }
}
