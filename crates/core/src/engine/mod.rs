//! The engine of one coordinator: queries, their parts and attempts, and the deadlines of all of them around the
//! [`Policy`]. It does no I/O, reads no clock and knows no wire format: the embedder reports what happened and when, and
//! carries out the [`Command`]s that [`Engine::run`] returns.
//!
//! It guarantees what a client may rely on, whatever the policy decides: each query gets exactly one final answer,
//! shortly after its deadline at the latest; each attempt ends exactly once; an answer consists of values that data
//! nodes returned, is marked complete only when it is, and never covers less than its class demands.

mod answers;
mod attempt_table;
mod attempts;
mod batching;
mod cancellation;
mod command;
mod deadlines;
mod health_checks;
mod optional_check;
mod outcome;
mod query_names;
mod query_table;
mod request;
mod second_phase;
mod servers;
mod submission;
mod validation;

#[cfg(test)]
mod tests;

pub use attempt_table::AttemptId;
pub use cancellation::{CancellationToken, ClientLiveness, IsConnected};
pub use command::{AttemptEvent, Command, Dispatch};
pub use outcome::{QueryOutcome, Row, Value};
pub use request::{FirstPhase, PartRequest, QueryRequest, RejectReason};
pub use servers::Endpoint;
pub use validation::{IsValid, ResponseValidator};

use attempt_table::AttemptTable;
use deadlines::Deadlines;
use health_checks::PendingHealthChecks;
use query_names::QueryNames;
use query_table::QueryTable;
use servers::{group_holds, ServerTable};

use crate::api::{
    Action, EndpointUpdateKind, Event, Nanos, Outcome, QueryId, ServerId, SettingsError, ShardId,
};
use crate::settings::Deployment;
use crate::Policy;

/// Rounds of the policy that one run may take: each follows from the outcomes and parts that the one before made.
const MAX_ROUNDS_PER_RUN: usize = 16;

/// The engine of one coordinator.
pub struct Engine {
    policy: Policy,
    deployment: Deployment,
    /// How long after a query's deadline the engine itself ends it.
    deadline_grace: Nanos,
    /// All queries are answered by then: the process ends.
    shutdown_deadline: Nanos,
    /// The latest time that the embedder has reported.
    now: Nanos,
    servers: ServerTable,
    queries: QueryTable,
    query_names: QueryNames,
    attempts: AttemptTable,
    health_checks: PendingHealthChecks,
    deadlines: Deadlines,
    /// What the policy has not been told yet.
    events: Vec<Event>,
    /// What the embedder has not been told yet.
    commands: Vec<Command>,
}

impl Engine {
    /// An engine that knows no data node yet. A query that the policy leaves open is ended `deadline_grace` after its
    /// deadline, and its name is not accepted again for `name_reuse_delay` after its end.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        deadline_grace: Nanos,
        name_reuse_delay: Nanos,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            policy: Policy::new(deployment.settings.clone(), seed)?,
            deployment,
            deadline_grace,
            shutdown_deadline: Nanos::MAX,
            now: 0,
            servers: ServerTable::default(),
            queries: QueryTable::default(),
            query_names: QueryNames::new(name_reuse_delay),
            attempts: AttemptTable::default(),
            health_checks: PendingHealthChecks::default(),
            deadlines: Deadlines::new(),
            events: Vec::new(),
            commands: Vec::new(),
        })
    }

    /// Takes over new settings. Queries that are open keep the rules they came under.
    pub fn update_settings(&mut self, deployment: Deployment) -> &Deployment {
        self.deployment = deployment.carried_over_from(&self.deployment);
        self.policy.update_settings(self.deployment.settings.clone());
        &self.deployment
    }

    /// How many queries are open.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// How many attempts are in flight.
    pub fn in_flight_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// How many data nodes are in service by the endpoint list.
    pub fn active_servers(&self) -> usize {
        self.servers.active()
    }

    /// How many data nodes are not forgotten.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// How many data nodes the endpoint list has.
    pub fn listed_servers(&self) -> usize {
        self.servers.listed()
    }

    /// How many data nodes of the endpoint list get no attempts now: they drain or are ejected.
    pub fn excluded_servers(&self) -> usize {
        self.policy.excluded_servers()
    }

    /// The data node's name; empty where it is not known.
    pub fn server_name(&self, id: ServerId) -> &str {
        self.servers.name(id)
    }

    /// The id of a data node that is known.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.id(name)
    }

    /// The id of a data node, which is added where it is not known. Ids are given in the order in which names are met,
    /// and never reused.
    pub fn intern(&mut self, name: &str) -> ServerId {
        self.servers.intern(name)
    }

    /// The process shuts down: all queries are answered by this time, whatever their deadlines, queued ones included.
    pub fn shut_down_by(&mut self, by: Nanos) {
        self.shutdown_deadline = self.shutdown_deadline.min(by);
        for (id, query) in self.queries.iter_mut().filter(|(_, query)| query.deadline > by) {
            query.deadline = by;
            self.deadlines.queries.push(by.saturating_add(self.deadline_grace), id);
        }
        self.events.push(Event::ShuttingDown(by));
    }

    /// The client of a query has disconnected.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if self.close(query) {
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// The wall clock was stepped: starts of data nodes that the endpoint list reports from now on count from when they
    /// are reported.
    pub fn wall_clock_stepped(&mut self) {
        self.policy.wall_clock_stepped();
    }

    /// Applies an update of the endpoint list. Servers that are missing from a complete list are removed. Returns the
    /// shards of which a holder is new or has restarted: its data may be older than what was seen before.
    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) -> Vec<ShardId> {
        let update = self.servers.apply(kind, endpoints, &self.deployment.zone_names);
        self.events.push(Event::EndpointsUpdated { kind, records: update.records });
        self.forget_removed_servers();
        self.shards_held_by(&update.restarted_groups)
    }

    /// The lease of the endpoint list has expired: nothing is sent until the next update of it.
    pub fn endpoint_list_expired(&mut self) {
        self.events.push(Event::EndpointListExpired);
    }

    /// A health check has ended.
    pub fn health_checked(&mut self, now: Nanos, server: ServerId, outcome: Outcome) {
        self.advance_to(now);
        let Some(sent_at) = self.health_checks.ended(server) else { return };
        let latency = self.now.saturating_sub(sent_at);
        self.events.push(Event::HealthChecked { server, outcome, latency });
    }

    /// When [`Engine::run`] is next due with nothing else happening.
    pub fn next_deadline(&mut self) -> Option<Nanos> {
        self.deadlines.attempts.discard_settled(|id| !self.attempts.contains(id));
        self.deadlines.queries.discard_settled(|id| !self.queries.contains(id));
        if !self.events.is_empty() {
            return Some(self.now);
        }
        self.deadlines.next()
    }

    /// Lets the policy act on all that was reported, and on what is due by `now`.
    pub fn run(&mut self, now: Nanos) -> Vec<Command> {
        self.advance_to(now);
        self.fire_policy_timers();
        self.time_out_attempts();
        self.fail_overdue_queries();
        for _ in 0..MAX_ROUNDS_PER_RUN {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            for action in self.policy.round(self.now, events) {
                self.carry_out(action);
            }
        }
        let max_batch = self.deployment.settings.layout.max_batch as usize;
        batching::batch_calls(self.commands.drain(..), max_batch, |id| self.attempts.contains(id))
    }

    /// Time never runs backwards, whatever the embedder reports.
    fn advance_to(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn fire_policy_timers(&mut self) {
        let mut fired = false;
        while self.deadlines.policy_timers.pop_due(self.now).is_some() {
            fired = true;
        }
        if fired && self.events.last() != Some(&Event::TimerFired) {
            self.events.push(Event::TimerFired);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { part, server, timeout } => self.start_attempt(part, server, timeout),
            Action::CancelAttempt { part, attempt } => {
                let part = self.queries.part(part);
                if let Some(id) = part.and_then(|part| part.in_flight_attempt(attempt)) {
                    self.cancel_attempt(id, Outcome::Cancelled);
                }
            }
            Action::Answer { query, complete } => self.answer(query, complete),
            Action::Reject { query, retry_after } => {
                self.finish(query, QueryOutcome::Rejected { retry_after });
            }
            Action::Fail { query } => self.finish(query, QueryOutcome::Failed),
            Action::CheckHealth { server } => self.check_health(server),
            Action::CloseIdleConnections { server } => {
                self.commands.push(Command::CloseIdleConnections { server });
            }
            Action::SetTimer { after } => {
                self.deadlines.policy_timers.push(self.now.saturating_add(after.max(1)), ());
            }
        }
    }

    fn check_health(&mut self, server: ServerId) {
        if self.servers.contains(server) {
            self.health_checks.sent(self.now, server);
            self.commands.push(Command::CheckHealth { server });
        }
    }

    /// Forgets the data nodes that have left the endpoint list, once no attempt is in flight to them.
    fn forget_removed_servers(&mut self) {
        if self.servers.listed() == self.servers.len() {
            return;
        }
        for server in self.servers.forget_removed(&self.attempts.servers()) {
            self.health_checks.forget(server);
            self.commands.push(Command::ForgetServer { server });
        }
    }

    /// The shards that any of these partition groups holds.
    fn shards_held_by(&self, partition_groups: &[u32]) -> Vec<ShardId> {
        let layout = &self.deployment.settings.layout;
        let is_in_a_group =
            |&shard: &ShardId| partition_groups.iter().any(|&group| group_holds(layout, group, shard));
        (0..self.deployment.shards).map(ShardId).filter(is_in_a_group).collect()
    }
}
