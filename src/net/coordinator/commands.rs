//! Execution of the engine's commands.

use curlewdeck_accounting::QueryEnd;

use crate::api::{Nanos, QueryId, ServerId};
use crate::engine::{AttemptEvent, AttemptId, Command, Dispatch, QueryOutcome};
use crate::net::coordinator::actor::CoreActor;
use crate::net::messages::{NodeMessage, OutcomeCallback, REQUEST_LOG_TARGET};
use crate::runtime::yield_now;

/// Number of yields between a cancellation and the delivery of answers. A cancellation passes through two coroutines on
/// its way to a data node's connection. One worker runs all coroutines in the order in which they are woken. The number
/// is doubled because a frame that is already being written is finished first.
const YIELDS_BEFORE_ANSWERS: usize = 4;

/// Effects of one run of the engine that are completed after its last command.
#[derive(Default)]
struct RunEffects {
    any_cancelled: bool,
    answers: Vec<(OutcomeCallback, QueryOutcome)>,
}

impl CoreActor {
    /// Runs the engine and executes its commands in order; delivers answers last.
    pub(super) fn run_engine(&mut self) {
        let now = self.handle.clock.now();
        self.check_lease(now);
        let mut effects = RunEffects::default();
        for command in self.engine.run(now) {
            self.execute(now, command, &mut effects);
        }
        self.handle.counters.record_ledger(&self.ledger);
        if effects.any_cancelled && !effects.answers.is_empty() {
            // Write cancellations before delivering answers: otherwise a data node that reads late could start an
            // attempt of a query that is already answered.
            (0..YIELDS_BEFORE_ANSWERS).for_each(|_| yield_now());
        }
        effects.answers.into_iter().for_each(|(reply, outcome)| reply(Ok(outcome)));
    }

    fn execute(&mut self, now: Nanos, command: Command, effects: &mut RunEffects) {
        match command {
            Command::RecordAttempt(event) => self.record_attempt(event),
            Command::SendCall { server, call } => self.send_call(server, call),
            Command::CancelAttempt { server, attempt } => {
                effects.any_cancelled = true;
                self.cancel_attempt(server, attempt);
            }
            Command::ForgetServer { server } => self.forget_server(now, server),
            Command::CheckHealth { server } => self.send_to_node(server, NodeMessage::CheckHealth),
            Command::CloseIdleConnections { server } => {
                self.send_to_node(server, NodeMessage::CloseIdleConnections);
            }
            Command::FinishQuery { query, outcome } => {
                self.record_finished(now, query, &outcome);
                effects.answers.extend(self.replies.remove(&query).map(|reply| (reply, outcome)));
            }
        }
    }

    fn record_attempt(&mut self, event: AttemptEvent) {
        match event {
            AttemptEvent::Started { server, number, hedge } => {
                self.ledger.attempt_started(server, number, hedge);
            }
            AttemptEvent::Ended { server, outcome } => self.ledger.attempt_ended(server, outcome),
        }
    }

    fn send_call(&self, server: ServerId, call: Vec<Dispatch>) {
        for dispatch in &call {
            log::debug!(
                target: REQUEST_LOG_TARGET,
                node = server.0,
                attempt = dispatch.attempt.0,
                part = dispatch.part.name.as_str();
                "attempt sent to data node"
            );
        }
        self.send_to_node(server, NodeMessage::Call(call));
    }

    fn cancel_attempt(&self, server: ServerId, attempt: AttemptId) {
        log::debug!(target: REQUEST_LOG_TARGET, node = server.0, attempt = attempt.0; "attempt cancelled");
        self.send_to_node(server, NodeMessage::CancelAttempt(attempt));
    }

    fn forget_server(&mut self, now: Nanos, server: ServerId) {
        self.ledger.node_removed(now, server);
        if let Some(node) = self.nodes.remove(&server) {
            node.send(NodeMessage::Remove);
        }
    }

    /// Records the end of a query before its answer is delivered, so that a client with an answer finds it counted.
    fn record_finished(&mut self, now: Nanos, query: QueryId, outcome: &QueryOutcome) {
        match outcome {
            QueryOutcome::Answered { complete, coverage, .. } => {
                self.ledger.query_answered(now, query, *complete, *coverage);
            }
            QueryOutcome::Rejected { .. } => {
                self.ledger.query_ended(query, QueryEnd::Rejected);
            }
            QueryOutcome::Failed => {
                self.ledger.query_ended(query, QueryEnd::Failed);
            }
        }
        self.handle.counters.record_ledger(&self.ledger);
        log::debug!(target: REQUEST_LOG_TARGET, query = query.0, outcome = outcome.as_str(); "query finished");
    }

    fn send_to_node(&self, server: ServerId, message: NodeMessage) {
        if let Some(node) = self.nodes.get(&server) {
            node.send(message);
        }
    }
}
