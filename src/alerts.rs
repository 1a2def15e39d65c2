//! Alerts for network operations: observes the process at intervals and sends changes as SNMP notifications.
//! `curlewdeck-snmp` limits their rate.

mod detector;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_snmp::notify::{Bounds, Notice, Notifier, OutgoingMessage, Target};

use crate::api::Nanos;
use crate::config::{NotifyConfig, SnmpConfig};
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::runtime::nanos;
use detector::{AlertDetector, DescriptorUse, Observation};

/// The interval of checks for due notifications and for a shutdown of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of observations of the process.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// The observation is skipped if the core does not return its ledger within this.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of an acknowledgement.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// An error at the start of the notification thread.
#[derive(Debug, thiserror::Error)]
pub enum AlertStartError {
    /// The UDP socket could not be opened.
    #[error("cannot open a socket for notifications: {0}")]
    Socket(#[source] io::Error),
    /// The thread could not be started.
    #[error("cannot start the notification thread: {0}")]
    Thread(#[source] io::Error),
}

/// Triggers the notification that the process is shutting down.
#[derive(Debug, Clone, Default)]
pub struct ShutdownSignal(Arc<AtomicBool>);

impl ShutdownSignal {
    /// Requests the notification. The notification thread sends it at its next check, and only once.
    pub fn send(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts the thread that sends alerts, or returns `None` if no receivers are configured. `max_descriptors` is the
/// maximum number of descriptors of the process.
///
/// # Errors
/// The socket could not be opened, or the thread could not be started.
pub fn start(
    config: &SnmpConfig,
    core: CoreHandle,
    limits: &Limits,
    max_descriptors: usize,
) -> Result<Option<ShutdownSignal>, AlertStartError> {
    if config.notify.is_empty() {
        return Ok(None);
    }
    let any_address: SocketAddr = ([0, 0, 0, 0], 0).into();
    let socket = UdpSocket::bind(any_address).map_err(AlertStartError::Socket)?;
    socket.set_read_timeout(Some(POLL_INTERVAL)).map_err(AlertStartError::Socket)?;
    let targets = config.notify.iter().map(target).collect();
    let notifier = AlertNotifier {
        started_at: core.clock.now(),
        core,
        detector: AlertDetector::new(config.refusal_share),
        notifier: Notifier::new(rate_limits(limits), targets, fastrand::i32(1..i32::MAX)),
        socket,
        max_descriptors,
    };
    let shutdown = ShutdownSignal::default();
    let signal = shutdown.clone();
    // An OS thread, since a coroutine that receives with a timeout misses the core's answers.
    let thread = std::thread::Builder::new().name("notices".into());
    thread.spawn(move || notifier.run(&signal)).map_err(AlertStartError::Thread)?;
    Ok(Some(shutdown))
}

fn target(config: &NotifyConfig) -> Target {
    Target { to: config.to.to_string(), community: config.community.clone(), inform: config.inform }
}

fn rate_limits(limits: &Limits) -> Bounds {
    Bounds {
        min_interval: nanos(limits.notify_min_interval),
        burst: limits.notify_burst,
        refill_interval: nanos(limits.notify_refill_interval),
        max_pending_informs: limits.notify_max_pending_informs,
        retry_delay: nanos(limits.notify_retry_delay),
        max_attempts: limits.notify_max_attempts,
        max_subjects: limits.node_rows,
    }
}

/// Observes the process and sends notifications.
struct AlertNotifier {
    core: CoreHandle,
    detector: AlertDetector,
    notifier: Notifier,
    socket: UdpSocket,
    started_at: Nanos,
    max_descriptors: usize,
}

impl AlertNotifier {
    fn run(mut self, shutdown: &ShutdownSignal) {
        // The first observation is the baseline and raises no alerts.
        if let Some(observation) = self.observe() {
            self.detector.detect(&observation);
        }
        let started = self.detector.notice("cdStarted", "", &[]);
        self.notify(&[started]);
        let (mut observed_at, mut shutdown_notified) = (self.core.clock.now(), false);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok((size, from)) = self.socket.recv_from(&mut buffer) {
                self.notifier.acknowledge(&from.to_string(), &buffer[..size]);
            }
            let now = self.core.clock.now();
            let due = self.notifier.tick(now);
            self.send(due);
            if shutdown.is_set() && !shutdown_notified {
                shutdown_notified = true;
                let stopping = self.detector.notice("cdStopping", "", &[]);
                self.notify(&[stopping]);
            }
            if now.saturating_sub(observed_at) >= nanos(OBSERVATION_INTERVAL) {
                observed_at = now;
                if let Some(observation) = self.observe() {
                    let notices = self.detector.detect(&observation);
                    self.notify(&notices);
                }
            }
        }
    }

    /// Observes the process; `None` if the core does not answer in time.
    fn observe(&self) -> Option<Observation> {
        let counters = &self.core.counters;
        Some(Observation {
            ledger: self.core.ledger_snapshot_within(LEDGER_TIMEOUT)?,
            list_overdue: counters.endpoint_list_overdue.load(Ordering::Relaxed),
            snmp_denied: counters.snmp_denied.load(Ordering::Relaxed),
            descriptors: DescriptorUse { open: open_descriptors(), limit: self.max_descriptors },
        })
    }

    fn notify(&mut self, notices: &[Notice]) {
        let now = self.core.clock.now();
        for notice in notices {
            let name = self.detector.notification_name(notice);
            log::info!(notification = name, subject = notice.subject.as_str(); "notification raised");
            let datagrams = self.notifier.notify(now, mib::ticks(self.started_at, now), notice);
            self.send(datagrams);
        }
    }

    fn send(&self, datagrams: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, bytes } in datagrams {
            if let Err(e) = self.socket.send_to(&bytes, &to) {
                log::debug!(to = to.as_str(), error:% = e; "notification not sent");
            }
        }
    }
}

/// The number of descriptors that the process has open; 0 if `/proc` is not available.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}
