//! Alerts to a network operations room: the process is observed at intervals, and what has changed is sent as SNMP
//! notifications. How often one may be sent is decided in `curlewdeck-snmp`.

mod detector;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_snmp::notify::{Bounds, Notice, Notifier, Send, Target};

use crate::api::Nanos;
use crate::config::{NotifyConfig, SnmpConfig};
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::runtime::nanos;
use detector::{AlertDetector, DescriptorUse, Observation};

/// Between two checks whether something is due or the process is shutting down.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Between two observations of the process.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// If the coordinator does not answer within this, the observation is left out.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest acknowledgement that is read.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Why alerts cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum AlertStartError {
    /// There is no socket.
    #[error("no socket for notifications: {0}")]
    Socket(#[source] io::Error),
    /// There is no thread.
    #[error("cannot start to tell: {0}")]
    Thread(#[source] io::Error),
}

/// Has the alert on the process's shutdown sent.
#[derive(Debug, Clone, Default)]
pub struct ShutdownSignal(Arc<AtomicBool>);

impl ShutdownSignal {
    /// The process has begun to shut down.
    pub fn send(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts the thread that sends alerts, if anybody is to receive them. `max_descriptors` is how many descriptors the
/// process may have.
///
/// # Errors
/// There is no socket or no thread.
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
    // A thread of the system: a coroutine's read with a timeout misses the coordinator's answers.
    let thread = std::thread::Builder::new().name("notices".into());
    thread.spawn(move || notifier.run(&signal)).map_err(AlertStartError::Thread)?;
    Ok(Some(shutdown))
}

fn target(config: &NotifyConfig) -> Target {
    Target { to: config.to.to_string(), community: config.community.clone(), inform: config.inform }
}

fn rate_limits(limits: &Limits) -> Bounds {
    Bounds {
        min_interval: nanos(limits.notify_gap),
        burst: limits.notify_burst,
        refill_interval: nanos(limits.notify_refill),
        max_pending_informs: limits.notify_waiting,
        retry_delay: nanos(limits.notify_retry_delay),
        max_attempts: limits.notify_attempts,
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
        // What is observed at the start is no alert.
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

    /// The process as it is now; none if the coordinator does not answer in time.
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
            let datagrams = self.notifier.notice(now, mib::ticks(self.started_at, now), notice);
            self.send(datagrams);
        }
    }

    fn send(&self, datagrams: Vec<Send>) {
        for Send { to, bytes } in datagrams {
            if let Err(e) = self.socket.send_to(&bytes, &to) {
                log::debug!(to = to.as_str(), error:% = e; "notification not sent");
            }
        }
    }
}

/// Descriptors that the process has open; 0 where that cannot be seen.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}
