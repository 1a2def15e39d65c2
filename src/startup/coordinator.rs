//! A running coordinator and its reactions to signals.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_lifecycle::{Closing, ShutdownLimits, TransitionResult};

use super::report::ledger_report;
use super::CLOSING_CHECK_INTERVAL;
use crate::alerts::ShutdownSignal;
use crate::config::{Config, ConfigError, EdgeConfig};
use crate::frontend::http_server::Service;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::messages::DiscoveryMessage;
use crate::runtime::{lock, nanos, Sender};
use crate::snapshot_store::SnapshotStore;

/// A core that does not answer within this is overloaded, and the report omits the request ledger.
const LEDGER_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of consecutive checks that must find all client connections closed before the process exits. The second
/// one catches a connection that was accepted while the first one closed others.
const CLOSED_CHECKS_BEFORE_EXIT: u32 = 2;

/// The shortest time to wait for the last replication of the state at exit. A group with a leader answers sooner.
const MIN_LAST_REPLICATION_TIMEOUT: Duration = Duration::from_millis(200);

/// The configuration file's key of the settings.
const SETTINGS_KEY: &str = "settings";

/// A running coordinator.
pub struct Coordinator {
    /// The address on which the platform's clients are accepted.
    pub listen: SocketAddr,
    /// The second address, for operators, if configured.
    pub control: Option<SocketAddr>,
    /// The address of the features frontend, if enabled.
    pub features: Option<SocketAddr>,
    /// The address of the aggregation frontend, if enabled.
    pub aggregation: Option<SocketAddr>,
    /// The UDP address of the management agent, if enabled.
    pub snmp: Option<SocketAddr>,
    /// The address for clients of the replication group, if this process is a member of one.
    pub group: Option<SocketAddr>,
    /// The handle for queries, statistics and settings of the core.
    pub core: CoreHandle,
    pub(super) service: Arc<Service>,
    pub(super) limits: Arc<Limits>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) snapshot_store: Option<Arc<SnapshotStore>>,
    /// Triggers the notification that the process is shutting down; `None` if there are no receivers.
    pub(super) stopping: Option<ShutdownSignal>,
    /// The configuration that was applied last.
    pub(super) applied_config: Mutex<Config>,
    pub(super) edge: EdgeConfig,
    /// The number of other processes that may serve from the same socket.
    pub(super) other_processes: u32,
}

/// Whether an applied configuration changed anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigChange {
    /// The configuration differs from the previous one.
    Changed,
    /// The configuration equals the previous one.
    Unchanged,
}

impl Coordinator {
    /// Applies the discovery address and the settings of a new configuration after SIGHUP, or neither on an error. All
    /// other values take effect at the next start. Must not be called from a coroutine, since it waits for a lock.
    ///
    /// # Errors
    /// A key is missing, or a frontend cannot work with the new settings. The previous configuration stays in use.
    pub fn apply_config(&self, config: Config) -> Result<ConfigChange, ConfigError> {
        let mut applied = lock(&self.applied_config);
        config.can_replace(&applied)?;
        self.edge.check_settings(&config.deployment)?;
        if applied.discovery_in_file != config.discovery_in_file {
            self.send_to_discovery(DiscoveryMessage::AddressChanged(config.discovery_in_file));
        }
        if applied.document[SETTINGS_KEY] != config.document[SETTINGS_KEY] {
            self.core.update_settings(config.deployment.clone().with_sibling_processes(self.other_processes));
        }
        let change =
            if applied.document == config.document { ConfigChange::Unchanged } else { ConfigChange::Changed };
        *applied = config;
        log::info!(classes = applied.deployment.class_names.len(); "configuration applied");
        self.shorten_shutdown(&applied);
        Ok(change)
    }

    /// Notifies discovery that a reload has begun after SIGHUP.
    pub fn reload_started(&self) {
        self.send_to_discovery(DiscoveryMessage::ReloadStarted);
    }

    /// Notifies discovery that the reload has ended: the configuration was applied or permanently rejected.
    pub fn reload_finished(&self) {
        self.send_to_discovery(DiscoveryMessage::ReloadFinished);
    }

    fn send_to_discovery(&self, message: DiscoveryMessage) {
        if self.discovery.send(message).is_err() {
            log::error!("the discovery actor has ended");
        }
    }

    /// Takes a snapshot of the request ledger. Returns `None` if the core does not answer in time. Must not be called
    /// from a coroutine.
    pub fn ledger_snapshot(&self) -> Option<LedgerSnapshot> {
        self.core.ledger_snapshot_within(LEDGER_SNAPSHOT_TIMEOUT)
    }

    /// Formats the counters, and the request ledger by class and by data node, a line each. Must not be called from a
    /// coroutine.
    pub fn report(&self) -> String {
        let ledger = self.ledger_snapshot().map_or_else(String::new, |snapshot| ledger_report(&snapshot));
        format!("{}{ledger}", self.core.counters.text())
    }

    /// Shuts down after SIGTERM: accepts requests for a limited time, then completes those in flight and closes idle
    /// connections. Returns once all requests are answered, or at the deadline for that.
    pub fn finish(&self) {
        if let Some(stopping) = &self.stopping {
            stopping.send();
        }
        self.begin_shutdown();
        while self.service.closing() < Closing::IdleAndAfterResponse {
            std::thread::sleep(CLOSING_CHECK_INTERVAL);
        }
        self.close_connections();
        if let Some(store) = &self.snapshot_store {
            store.write_last(&self.core, self.replicate_by());
        }
    }

    /// Stops being ready for new clients, and limits the time of all queries. The lock makes sure that a configuration
    /// that is not considered here shortens the shutdown once it is applied.
    fn begin_shutdown(&self) {
        let applied = lock(&self.applied_config);
        let limits = self.shutdown_limits(&applied);
        log_shutdown_limits(&applied, limits);
        let answered_by = {
            let mut lifecycle = self.service.lifecycle();
            lifecycle.terminate(self.service.now(), limits);
            lifecycle.answered_by()
        };
        self.core.shut_down_by(answered_by);
    }

    /// Shortens a shutdown that has begun, if this newly applied configuration has shorter deadlines: SIGKILL may
    /// follow by them.
    fn shorten_shutdown(&self, applied: &Config) {
        if !self.service.lifecycle().is_shutting_down() {
            return;
        }
        let limits = self.shutdown_limits(applied);
        let (result, answered_by) = {
            let mut lifecycle = self.service.lifecycle();
            (lifecycle.shorten_shutdown(limits), lifecycle.answered_by())
        };
        if result == TransitionResult::Changed {
            log_shutdown_limits(applied, limits);
            self.core.shut_down_by(answered_by);
        }
    }

    /// The times after SIGTERM until which requests are accepted and answered, by this applied configuration. The core
    /// may not have taken its settings yet.
    fn shutdown_limits(&self, applied: &Config) -> ShutdownLimits {
        let longest_deadline = Duration::from_nanos(applied.deployment.settings.longest_deadline());
        let (accept, answered) = self.limits.term(longest_deadline);
        ShutdownLimits { accept_duration: nanos(accept), answer_duration: nanos(answered) }
    }

    /// Until when the state may be replicated at the end.
    fn replicate_by(&self) -> Instant {
        let answered_by = self.service.lifecycle().answered_by();
        let time_left = Duration::from_nanos(answered_by.saturating_sub(self.service.now()));
        Instant::now() + time_left.max(MIN_LAST_REPLICATION_TIMEOUT)
    }

    /// Closes client connections as they become idle, until all are closed or `Limits::term_finish` has passed.
    fn close_connections(&self) {
        let start = Instant::now();
        let mut closed_checks = 0;
        while closed_checks < CLOSED_CHECKS_BEFORE_EXIT && start.elapsed() < self.limits.term_finish {
            let all_closed =
                self.service.close_idle(self.limits.client_evictable_silence, self.limits.linger);
            closed_checks = if all_closed { closed_checks + 1 } else { 0 };
            std::thread::sleep(CLOSING_CHECK_INTERVAL);
        }
    }
}

/// Logs the limits of a shutdown, and the deadline that they follow from.
fn log_shutdown_limits(applied: &Config, limits: ShutdownLimits) {
    log::info!(
        longest_deadline:? = Duration::from_nanos(applied.deployment.settings.longest_deadline()),
        accept:? = Duration::from_nanos(limits.accept_duration),
        answered:? = Duration::from_nanos(limits.answer_duration);
        "shutdown limits"
    );
}
