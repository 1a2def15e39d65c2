//! One coordinator's policy in the simulator, with the ids and names that it has met.

use std::collections::HashMap;
use std::fmt::Write;

use curlewdeck::api::{Action, EndpointRecord, Event, QueryId, ServerId, ZoneId};
use curlewdeck::Policy;

use crate::host::EndpointLine;
use crate::subscriber::Subscriber;
use crate::wire::{CALL_REMINDER, TIMER_REMINDER};

/// The policy of one coordinator, and what ties the simulator's names to its ids.
pub(crate) struct Instance {
    pub(crate) policy: Policy,
    pub(crate) subscriber: Subscriber,
    pub(crate) class_names: Vec<String>,
    pub(crate) has_second_phase: Vec<bool>,
    pub(crate) tenant_names: Vec<String>,
    pub(crate) zone_names: Vec<String>,
    /// Ids are given in the order in which this instance meets the names.
    pub(crate) server_ids: HashMap<String, ServerId>,
    pub(crate) server_names: Vec<String>,
    pub(crate) queries_by_request: HashMap<u64, QueryId>,
    pub(crate) open: HashMap<QueryId, Open>,
    pub(crate) events: Vec<Event>,
    pub(crate) in_round: bool,
}

/// What the adapter must know of an open query to tie later parts to it.
pub(crate) struct Open {
    pub(crate) request_number: u64,
    pub(crate) answers_left: u8,
}

impl Instance {
    /// Begins the call to discovery that is due, or asks for a reminder of it.
    pub(crate) fn call_discovery(&mut self, now: u64, coordinator: u32, out: &mut String) {
        if self.subscriber.call_due(now) {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "watch {coordinator} 1");
        }
        if let Some(after) = self.subscriber.reminder(now) {
            let _ = writeln!(out, "remind {coordinator} {CALL_REMINDER} {after}");
        }
    }

    /// The id of a server: ids are given in the order in which names are met.
    pub(crate) fn intern(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.server_ids.get(name) {
            return id;
        }
        let id = ServerId(self.server_names.len() as u32);
        self.server_names.push(name.to_string());
        self.server_ids.insert(name.to_string(), id);
        id
    }

    /// A record of the endpoint list under this instance's ids.
    pub(crate) fn endpoint_record(&mut self, line: &EndpointLine) -> EndpointRecord {
        EndpointRecord {
            server: self.intern(&line.server_name),
            partition_group: line.partition_group,
            started_at: line.started_at,
            capacity: line.capacity,
            state: line.state,
            zone: self.zone(line.zone.as_deref()),
        }
    }

    /// A zone that the settings do not name is not known.
    pub(crate) fn zone(&self, zone: Option<&str>) -> Option<ZoneId> {
        let at = self.zone_names.iter().position(|z| Some(z.as_str()) == zone)?;
        Some(ZoneId(at as u32))
    }

    /// Forgets a query that has its final answer or whose client has left.
    pub(crate) fn close(&mut self, query: QueryId) {
        if let Some(open) = self.open.remove(&query) {
            self.queries_by_request.remove(&open.request_number);
        }
    }

    /// Writes an action as a line of the simulator.
    pub(crate) fn write(&mut self, coordinator: u32, action: &Action, out: &mut String) {
        // Writing to a string cannot fail.
        let _ = match action {
            Action::StartAttempt { part, server, timeout } => {
                let name = &self.server_names[server.0 as usize];
                writeln!(out, "place {coordinator} {} {timeout} {name}", part.0)
            }
            Action::CancelAttempt { part, attempt } => {
                writeln!(out, "drop_attempt {coordinator} {} {attempt}", part.0)
            }
            Action::Answer { query, complete } => {
                match self.open.get_mut(query) {
                    Some(open) if open.answers_left > 1 => open.answers_left -= 1,
                    _ => self.close(*query),
                }
                writeln!(out, "settle_query {coordinator} {} {}", query.0, u8::from(*complete))
            }
            Action::Reject { query, retry_after } => {
                self.close(*query);
                writeln!(out, "bounce {coordinator} {} {retry_after}", query.0)
            }
            Action::Fail { query } => {
                self.close(*query);
                writeln!(out, "error {coordinator} {}", query.0)
            }
            Action::CheckHealth { server } => {
                writeln!(out, "health_check {coordinator} {}", self.server_names[server.0 as usize])
            }
            Action::CloseIdleConnections { server } => {
                writeln!(out, "release {coordinator} {}", self.server_names[server.0 as usize])
            }
            Action::SetTimer { after } => writeln!(out, "remind {coordinator} {TIMER_REMINDER} {after}"),
        };
    }
}
