//! A running coordinator: what the process does with it on signals.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_lifecycle::{Closing, Finish};
use may::sync::mpsc::Sender;

use super::report::ledger_report;
use super::CLOSING_CHECK_INTERVAL;
use crate::alerts::ShutdownSignal;
use crate::config::{Config, ConfigError, Edge};
use crate::frontend::http_server::Service;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::messages::DiscoveryMessage;
use crate::runtime::{lock, nanos};
use crate::snapshot_store::SnapshotStore;

/// The core answers within this, or is so busy that the report does without the request ledger.
const LEDGER_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of looks in a row that find every client connection closed, before the process ends: a connection that
/// came while others were closed is seen by the second.
const IDLE_CHECKS_BEFORE_END: u32 = 2;

/// The state's replica is waited for at least this long at the end: a group with a leader answers sooner.
const LAST_REPLICATION_MIN: Duration = Duration::from_millis(200);

/// The key of the configuration file under which the settings stand.
const SETTINGS_KEY: &str = "settings";

/// A coordinator that serves.
pub struct Coordinator {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, if there is one.
    pub control: Option<SocketAddr>,
    /// Where the features frontend listens, if it is on.
    pub features: Option<SocketAddr>,
    /// Where the aggregation frontend listens, if it is on.
    pub aggregation: Option<SocketAddr>,
    /// Where the management agent listens, if it is on.
    pub snmp: Option<SocketAddr>,
    /// Where clients of the replication group are answered, if this process is a member of one.
    pub group: Option<SocketAddr>,
    /// The core.
    pub core: CoreHandle,
    pub(super) service: Arc<Service>,
    pub(super) limits: Arc<Limits>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) snapshot_store: Option<Arc<SnapshotStore>>,
    /// Has the notification sent that the process ends.
    pub(super) stopping: Option<ShutdownSignal>,
    /// The configuration that was applied last.
    pub(super) applied_config: Mutex<Config>,
    pub(super) edge: Edge,
    /// Other processes that may serve from the same socket.
    pub(super) other_processes: u32,
}

/// What an applied configuration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigChange {
    /// It differs from the one before.
    Changed,
    /// It says the same.
    Unchanged,
}

impl Coordinator {
    /// After SIGHUP: applies what a new configuration says of discovery and of the settings, or nothing of it. All else
    /// that it says is read at the next start. Not called from a coroutine, since it waits for a lock.
    ///
    /// # Errors
    /// A key is missing, or a frontend cannot be used with the new settings; the configuration in use stays.
    pub fn apply_config(&self, config: Config) -> Result<ConfigChange, ConfigError> {
        let mut applied = lock(&self.applied_config);
        config.can_replace(&applied)?;
        self.edge.check_settings(&config.deployment)?;
        if applied.discovery_in_file != config.discovery_in_file {
            self.tell_discovery(DiscoveryMessage::Moved(config.discovery_in_file));
        }
        if applied.document[SETTINGS_KEY] != config.document[SETTINGS_KEY] {
            self.core.update_settings(config.deployment.clone().sharing_with(self.other_processes));
        }
        let change =
            if applied.document == config.document { ConfigChange::Unchanged } else { ConfigChange::Changed };
        *applied = config;
        log::info!(classes = applied.deployment.class_names.len(); "configuration applied");
        Ok(change)
    }

    /// SIGHUP has come, and the configuration is read again from now on.
    pub fn reload_begins(&self) {
        self.tell_discovery(DiscoveryMessage::ReloadBegins);
    }

    /// The reload has ended: the configuration is applied, or rejected for good.
    pub fn reload_settled(&self) {
        self.tell_discovery(DiscoveryMessage::ReloadSettled);
    }

    fn tell_discovery(&self, message: DiscoveryMessage) {
        if self.discovery.send(message).is_err() {
            log::error!("the actor of discovery has ended");
        }
    }

    /// A snapshot of the request ledger; none if the core does not answer in time. Not called from a coroutine.
    pub fn ledger_snapshot(&self) -> Option<LedgerSnapshot> {
        self.core.ledger_snapshot_within(LEDGER_SNAPSHOT_TIMEOUT)
    }

    /// The counters, and the request ledger by class and by data node, a line each. Not called from a coroutine.
    pub fn report(&self) -> String {
        let ledger = self.ledger_snapshot().map_or_else(String::new, |snapshot| ledger_report(&snapshot));
        format!("{}{ledger}", self.core.counters.text())
    }

    /// After SIGTERM: serves on for a while, then finishes the requests in flight and closes idle connections. Returns
    /// once all requests are answered, or the time for that is over.
    pub fn finish(&self) {
        let finish = self.finish_times();
        let replicate_by = Instant::now() + Duration::from_nanos(finish.answered);
        if let Some(stopping) = &self.stopping {
            stopping.send();
        }
        let answered_by = {
            let mut lifecycle = self.service.lifecycle();
            lifecycle.terminate(self.service.now(), finish);
            lifecycle.answered_by()
        };
        self.core.shut_down_by(answered_by);
        while self.service.closing() < Closing::IdleToo {
            std::thread::sleep(CLOSING_CHECK_INTERVAL);
        }
        self.close_connections();
        if let Some(store) = &self.snapshot_store {
            let replicate_by = replicate_by.max(Instant::now() + LAST_REPLICATION_MIN);
            store.write_last(&self.core, replicate_by);
        }
    }

    /// How long after SIGTERM requests are accepted, and until when all are answered.
    fn finish_times(&self) -> Finish {
        let deployment = self.core.deployment();
        let deadlines = deployment.settings.classes.iter().map(|class| class.deadline);
        let longest = Duration::from_nanos(deadlines.max().unwrap_or(0));
        let (accept, answered) = self.limits.term(longest);
        Finish { accept: nanos(accept), answered: nanos(answered) }
    }

    /// Closes client connections as they become idle, until none is left or the time for that is over.
    fn close_connections(&self) {
        let start = Instant::now();
        let mut idle_checks = 0;
        while idle_checks < IDLE_CHECKS_BEFORE_END && start.elapsed() < self.limits.term_finish {
            let all_closed =
                self.service.close_idle(self.limits.client_evictable_silence, self.limits.linger);
            idle_checks = if all_closed { idle_checks + 1 } else { 0 };
            std::thread::sleep(CLOSING_CHECK_INTERVAL);
        }
    }
}
