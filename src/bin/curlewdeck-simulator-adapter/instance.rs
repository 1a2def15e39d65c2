//! Policy of one simulated coordinator, with the mapping between the simulator's names and the policy's ids.

use std::collections::HashMap;
use std::fmt::Write;

use curlewdeck::api::{Action, EndpointRecord, Event, QueryId, ServerId, ZoneId};
use curlewdeck::Policy;

use crate::host::ListedEndpoint;
use crate::subscriber::Subscriber;
use crate::wire::{CALL_REMINDER, TIMER_REMINDER};

/// One coordinator's policy and the state that maps the simulator's names to the policy's ids.
pub(crate) struct Instance {
    pub(crate) policy: Policy,
    pub(crate) subscriber: Subscriber,
    pub(crate) class_names: Vec<String>,
    /// Whether queries of each class have a second phase, by class id.
    pub(crate) has_second_phase: Vec<bool>,
    pub(crate) tenant_names: Vec<String>,
    pub(crate) zone_names: Vec<String>,
    /// Ids are assigned in the order in which names first appear.
    pub(crate) server_ids: HashMap<String, ServerId>,
    pub(crate) server_names: Vec<String>,
    pub(crate) queries_by_request: HashMap<u64, QueryId>,
    pub(crate) open_queries: HashMap<QueryId, OpenQuery>,
    /// Events of the current batch.
    pub(crate) events: Vec<Event>,
    /// Whether this instance takes part in the current batch.
    pub(crate) in_round: bool,
}

/// State of an open query.
pub(crate) struct OpenQuery {
    /// The simulator's number of the request; parts refer to their query by it.
    pub(crate) request_number: u64,
    /// Answers still expected from the policy: one for each phase of the query.
    pub(crate) answers_left: u8,
}

impl Instance {
    /// Writes a discovery call if one is due, and requests a reminder for the next scheduled call.
    pub(crate) fn call_discovery(&mut self, now: u64, coordinator: u32, out: &mut String) {
        if self.subscriber.call_due(now) {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "watch {coordinator} 1");
        }
        if let Some(after) = self.subscriber.reminder(now) {
            let _ = writeln!(out, "remind {coordinator} {CALL_REMINDER} {after}");
        }
    }

    /// Returns the id of a server; assigns the next id to a new name.
    pub(crate) fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.server_ids.get(name) {
            return id;
        }
        let id = ServerId(self.server_names.len() as u32);
        self.server_names.push(name.to_string());
        self.server_ids.insert(name.to_string(), id);
        id
    }

    /// Converts an entry of an endpoint list to a record with this instance's ids.
    pub(crate) fn endpoint_record(&mut self, endpoint: &ListedEndpoint) -> EndpointRecord {
        EndpointRecord {
            server: self.server_id(&endpoint.server_name),
            partition_group: endpoint.partition_group,
            started_at: endpoint.started_at,
            capacity: endpoint.capacity,
            state: endpoint.state,
            zone: self.zone_id(endpoint.zone.as_deref()),
        }
    }

    /// Returns the id of a zone; `None` if the zone is absent or not in the settings.
    pub(crate) fn zone_id(&self, zone: Option<&str>) -> Option<ZoneId> {
        let index = self.zone_names.iter().position(|z| Some(z.as_str()) == zone)?;
        Some(ZoneId(index as u32))
    }

    /// Removes a query after its final answer or after its client disconnected.
    pub(crate) fn close(&mut self, query: QueryId) {
        if let Some(open) = self.open_queries.remove(&query) {
            self.queries_by_request.remove(&open.request_number);
        }
    }

    /// Writes an action as a line of the simulator's protocol.
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
                match self.open_queries.get_mut(query) {
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
