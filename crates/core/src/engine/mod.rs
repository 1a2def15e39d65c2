//! The engine of one coordinator: it tracks queries, parts, attempts and their deadlines, and executes the decisions of
//! the [`Policy`]. It does no I/O, reads no clock and is independent of the wire format: the embedder reports events
//! with their times and executes the [`Command`]s that [`Engine::run`] returns.
//!
//! It guarantees the following to clients, whatever the policy decides: each query gets exactly one final answer,
//! shortly after its deadline at the latest; each attempt ends exactly once; an answer consists of values that data
//! nodes returned, is marked complete only when it is, and never covers less than its class requires.

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

/// Limit on policy rounds in one run: each round handles the events that the previous round's actions produced.
const MAX_ROUNDS_PER_RUN: usize = 16;

/// The engine of one coordinator.
pub struct Engine {
    policy: Policy,
    deployment: Deployment,
    /// Time from a query's deadline until the engine fails it if the policy has not ended it.
    deadline_grace: Nanos,
    /// Upper bound on the deadlines of all queries; [`Nanos::MAX`] unless the process is shutting down.
    shutdown_deadline: Nanos,
    /// The latest time that the embedder has reported.
    now: Nanos,
    servers: ServerTable,
    queries: QueryTable,
    query_names: QueryNames,
    attempts: AttemptTable,
    health_checks: PendingHealthChecks,
    deadlines: Deadlines,
    /// Events for the next round of the policy.
    events: Vec<Event>,
    /// Commands that the next run returns to the embedder.
    commands: Vec<Command>,
}

impl Engine {
    /// Creates an engine without data nodes. A query that the policy leaves open fails `deadline_grace` after its
    /// deadline. The name of a query is accepted again `name_reuse_delay` after the query has ended.
    ///
    /// # Errors
    /// Returns the setting that is invalid.
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

    /// Replaces the settings and returns those in force. Open queries keep the rules under which they were submitted.
    pub fn update_settings(&mut self, deployment: Deployment) -> &Deployment {
        self.deployment = deployment.merged_with_previous(&self.deployment);
        self.policy.update_settings(self.deployment.settings.clone());
        &self.deployment
    }

    /// Returns the number of queries without a final answer, queued ones included.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Returns the number of attempts that have not ended.
    pub fn in_flight_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of data nodes that are active in the endpoint list.
    pub fn active_servers(&self) -> usize {
        self.servers.active()
    }

    /// Returns the number of data nodes that have an id. This includes nodes that have left the endpoint list but still
    /// have attempts in flight.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of data nodes in the endpoint list, draining ones included.
    pub fn listed_servers(&self) -> usize {
        self.servers.listed()
    }

    /// Returns the number of data nodes in the endpoint list that currently get no attempts because they are draining
    /// or ejected.
    pub fn excluded_servers(&self) -> usize {
        self.policy.excluded_servers()
    }

    /// Returns the name of a data node, or an empty string if the id is unknown.
    pub fn server_name(&self, id: ServerId) -> &str {
        self.servers.name(id)
    }

    /// Returns the id of a data node, or `None` if the name is unknown.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.id(name)
    }

    /// Returns the id of a data node, and assigns one if the name is new. Ids are assigned in ascending order and never
    /// reused.
    pub fn intern(&mut self, name: &str) -> ServerId {
        self.servers.intern(name)
    }

    /// Begins the shutdown of the process, or shortens it: limits the deadlines of open queries, queued ones included,
    /// and of new ones to `deadline`. A later deadline than the one of an earlier call has no effect.
    pub fn shut_down_by(&mut self, deadline: Nanos) {
        self.shutdown_deadline = self.shutdown_deadline.min(deadline);
        for (id, query) in self.queries.iter_mut().filter(|(_, query)| query.deadline > deadline) {
            query.deadline = deadline;
            self.deadlines.queries.push(deadline.saturating_add(self.deadline_grace), id);
        }
        self.events.push(Event::ShuttingDown(self.shutdown_deadline));
    }

    /// Closes a query whose client has disconnected, and cancels its attempts. The query gets no answer.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if self.close(query) {
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// Handles a step of the wall clock: from now on, a data node's start counts from the time at which the endpoint
    /// list reports it.
    pub fn wall_clock_stepped(&mut self) {
        self.policy.wall_clock_stepped();
    }

    /// Applies an update of the endpoint list. A complete list removes the servers that are missing from it. Returns
    /// the shards that a new or restarted server holds: its data may be older than data returned before.
    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) -> Vec<ShardId> {
        let update = self.servers.apply(kind, endpoints, &self.deployment.zone_names);
        self.events.push(Event::EndpointsUpdated { kind, records: update.records });
        self.forget_removed_servers();
        self.shards_held_by(&update.restarted_groups)
    }

    /// Handles the expiry of the endpoint list's lease: no attempt is sent until the next update of the list.
    pub fn endpoint_list_expired(&mut self) {
        self.events.push(Event::EndpointListExpired);
    }

    /// Records the outcome of a data node's oldest health check in flight. Without one, the report is ignored.
    pub fn health_checked(&mut self, now: Nanos, server: ServerId, outcome: Outcome) {
        self.advance_to(now);
        let Some(sent_at) = self.health_checks.ended(server) else { return };
        let latency = self.now.saturating_sub(sent_at);
        self.events.push(Event::HealthChecked { server, outcome, latency });
    }

    /// Returns the time at which [`Engine::run`] is next due if no event is reported before; `None` if nothing is
    /// scheduled.
    pub fn next_deadline(&mut self) -> Option<Nanos> {
        self.deadlines.attempts.discard_ended(self.attempts.len(), |id| !self.attempts.contains(id));
        self.deadlines.queries.discard_ended(self.queries.len(), |id| !self.queries.contains(id));
        if !self.events.is_empty() {
            return Some(self.now);
        }
        self.deadlines.next()
    }

    /// Runs the policy on all reported events and on the timers and deadlines that are due by `now`. Returns the
    /// commands to execute, in order.
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
                self.execute(action);
            }
        }
        let max_batch = self.deployment.settings.layout.max_batch as usize;
        batching::batch_calls(self.commands.drain(..), max_batch, |id| self.attempts.contains(id))
    }

    /// Keeps time monotonic: ignores a time that is earlier than the current one.
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

    fn execute(&mut self, action: Action) {
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

    /// Forgets the data nodes that have left the endpoint list and have no attempt in flight.
    fn forget_removed_servers(&mut self) {
        if self.servers.listed() == self.servers.len() {
            return;
        }
        for server in self.servers.forget_removed(&self.attempts.servers()) {
            self.health_checks.forget(server);
            self.commands.push(Command::ForgetServer { server });
        }
    }

    /// Returns the shards that at least one of these partition groups holds.
    fn shards_held_by(&self, partition_groups: &[u32]) -> Vec<ShardId> {
        let layout = &self.deployment.settings.layout;
        let is_in_a_group =
            |&shard: &ShardId| partition_groups.iter().any(|&group| group_holds(layout, group, shard));
        (0..self.deployment.shards).map(ShardId).filter(is_in_a_group).collect()
    }
}
