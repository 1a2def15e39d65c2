//! Responses to requests (RFC 3416, section 4.2), built from a tree.

use rasn_snmp::v2::{BulkPdu, Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::{v2c, v3};

use super::{Agent, ReplyTo, Request, VERSION_2C};
use crate::codec::{self, bind};
use crate::tree::{Tree, View};

/// Upper bound on the size of a version 2c message without its community and bindings.
const V2C_OVERHEAD_BYTES: usize = 64;
/// Upper bound on the size of a version 3 message without its names, engine ids and bindings.
const V3_OVERHEAD_BYTES: usize = 160;
/// Size assumed for a binding that cannot be encoded: it exceeds every limit, and small sums of it do not overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

/// Bindings of a response, limited in size and number.
struct BoundedBindings {
    bindings: Vec<VarBind>,
    bytes: usize,
    max_bytes: usize,
    max_bindings: usize,
}

impl BoundedBindings {
    fn new(max_bytes: usize, max_bindings: usize) -> Self {
        Self { bindings: Vec::new(), bytes: 0, max_bytes, max_bindings }
    }

    /// Adds a binding; returns false if it does not fit.
    fn push(&mut self, binding: VarBind) -> bool {
        self.bytes += encoded_bytes(&binding);
        let fits = self.bytes <= self.max_bytes && self.bindings.len() < self.max_bindings;
        if fits {
            self.bindings.push(binding);
        }
        fits
    }
}

impl Agent {
    /// Answers a request from a tree; `time_s` is the time of the engine in seconds.
    pub fn answer(&mut self, request: &Request, tree: &Tree, time_s: u32) -> Option<Vec<u8>> {
        let (request_id, requested) = request_parts(&request.pdus)?;
        let max_message_bytes = match &request.reply_to {
            ReplyTo::V2c { .. } => self.bounds.bytes,
            ReplyTo::V3 { max_bytes, .. } => self.bounds.bytes.min(*max_bytes),
        };
        let max_bytes = max_message_bytes.saturating_sub(self.overhead_bytes(&request.reply_to));
        let empty = Pdu { request_id, error_status: 0, error_index: 0, variable_bindings: Vec::new() };
        let response = (requested.len() <= self.bounds.bindings)
            .then(|| self.respond(request, tree, requested, max_bytes, empty.clone()))
            .filter(|pdu| pdu.variable_bindings.iter().map(encoded_bytes).sum::<usize>() <= max_bytes)
            .unwrap_or(Pdu { error_status: Pdu::ERROR_STATUS_TOO_BIG, ..empty });
        self.encode_response(&request.reply_to, Pdus::Response(Response(response)), time_s)
    }

    fn respond(
        &self,
        request: &Request,
        tree: &Tree,
        requested: &[VarBind],
        max_bytes: usize,
        empty: Pdu,
    ) -> Pdu {
        let view = &request.view;
        let variable_bindings = match &request.pdus {
            Pdus::GetRequest(_) => requested.iter().map(|b| self.exact(tree, view, b)).collect(),
            Pdus::GetNextRequest(_) => requested.iter().map(|b| next(tree, view, b)).collect(),
            Pdus::GetBulkRequest(bulk) => self.bulk(tree, view, &bulk.0, max_bytes),
            _ => {
                return Pdu {
                    error_status: Pdu::ERROR_STATUS_NOT_WRITABLE,
                    error_index: u32::from(!requested.is_empty()),
                    variable_bindings: requested.to_vec(),
                    ..empty
                }
            }
        };
        Pdu { variable_bindings, ..empty }
    }

    fn encode_response(&mut self, reply_to: &ReplyTo, data: Pdus, time_s: u32) -> Option<Vec<u8>> {
        match reply_to {
            ReplyTo::V2c { community } => {
                let message = v2c::Message { version: VERSION_2C.into(), community: community.clone(), data };
                rasn::ber::encode(&message).ok()
            }
            ReplyTo::V3 { message_id, user, level, context, .. } => {
                let scoped = v3::ScopedPdu { data, ..context.clone() };
                self.encode_v3(message_id, user, *level, scoped, time_s)
            }
        }
    }

    /// Upper bound on the size of a response without its bindings.
    fn overhead_bytes(&self, reply_to: &ReplyTo) -> usize {
        match reply_to {
            ReplyTo::V2c { community } => V2C_OVERHEAD_BYTES + community.len(),
            ReplyTo::V3 { user, context, .. } => {
                V3_OVERHEAD_BYTES + user.len() + 2 * self.engine.len() + context.name.len()
            }
        }
    }

    fn exact(&self, tree: &Tree, view: &View, requested: &VarBind) -> VarBind {
        let name = codec::oid(requested);
        let value = match tree.get(&name) {
            Some(value) if view.admits(&name) => VarBindValue::Value(codec::syntax(value)),
            // The object exists, but not this instance.
            _ if view.admits(&name) && self.object_names.iter().any(|object| name.starts_with(object)) => {
                VarBindValue::NoSuchInstance
            }
            _ => VarBindValue::NoSuchObject,
        };
        VarBind { name: requested.name.clone(), value }
    }

    /// Answers a `GetBulk` request (RFC 3416, section 4.2.3) with as many of the requested repetitions as fit.
    fn bulk(&self, tree: &Tree, view: &View, request: &BulkPdu, max_bytes: usize) -> Vec<VarBind> {
        let requested = &request.variable_bindings;
        let (single, repeated) = requested.split_at((request.non_repeaters as usize).min(requested.len()));
        let mut response = BoundedBindings::new(max_bytes, self.bounds.bindings);
        if !single.iter().all(|binding| response.push(next(tree, view, binding))) {
            return response.bindings;
        }
        let mut row = repeated.to_vec();
        for _ in 0..request.max_repetitions {
            if row.is_empty() {
                break;
            }
            row = row.iter().map(|binding| next(tree, view, binding)).collect();
            if !row.iter().all(|binding| response.push(binding.clone())) {
                break;
            }
            if row.iter().all(|binding| binding.value == VarBindValue::EndOfMibView) {
                break;
            }
        }
        response.bindings
    }
}

/// The request id and the bindings of a request; `None` for other PDUs.
fn request_parts(pdus: &Pdus) -> Option<(i32, &[VarBind])> {
    match pdus {
        Pdus::GetRequest(r) => Some((r.0.request_id, &r.0.variable_bindings)),
        Pdus::GetNextRequest(r) => Some((r.0.request_id, &r.0.variable_bindings)),
        Pdus::SetRequest(r) => Some((r.0.request_id, &r.0.variable_bindings)),
        Pdus::GetBulkRequest(r) => Some((r.0.request_id, &r.0.variable_bindings)),
        _ => None,
    }
}

fn next(tree: &Tree, view: &View, requested: &VarBind) -> VarBind {
    match tree.next(&codec::oid(requested), view) {
        Some((name, value)) => bind(name, value),
        None => VarBind { name: requested.name.clone(), value: VarBindValue::EndOfMibView },
    }
}

fn encoded_bytes(binding: &VarBind) -> usize {
    rasn::ber::encode(binding).map_or(UNENCODABLE_BYTES, |bytes| bytes.len())
}
