//! What is worth telling a network room: found by comparing the books of one moment with those of another, and sent as
//! notifications. How often is decided in `curlewdeck-snmp`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_accounting::{ClassRow, LedgerSnapshot, QueryEnd};
use curlewdeck_snmp::notify::{Bounds, Notice, Notifier, Send, Target};
use curlewdeck_snmp::registry::Module;
use curlewdeck_snmp::tree::Value;

use crate::api::{EndpointState, Nanos};
use crate::config::{NotifyConfig, SnmpConfig};
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::runtime::nanos;

/// The figures that are compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// The books.
    pub books: LedgerSnapshot,
    /// Times that the list was silent for too long.
    pub list_overdue: u64,
    /// Management requests not served for their security.
    pub denied: u64,
    /// Descriptors held, and how many there may be.
    pub descriptors: (usize, usize),
}

/// Looks at figures one after the other. Does no I/O.
pub struct Watch {
    module: Module,
    refusal_share: f64,
    /// By node index: its phase and drains when it was last seen. None before the first look: what that finds is no
    /// news; a node that comes later is taken to have been in service.
    nodes: Option<BTreeMap<u32, (EndpointState, u64)>>,
    /// Refused and asked when the share was last looked at, and when.
    refusals: Option<(Nanos, u64, u64)>,
    list_overdue: u64,
    denied: u64,
    descriptors_low: bool,
}

/// A share is of the queries of so long...
const REFUSALS_OVER: Nanos = 10_000_000_000;
/// ...and of so many at least.
const REFUSALS_OF: u64 = 20;

impl Watch {
    /// Has seen nothing; what it sees first is no news.
    pub fn new(refusal_share: f64) -> Self {
        Self {
            module: mib::module(),
            refusal_share,
            nodes: None,
            refusals: None,
            list_overdue: 0,
            denied: 0,
            descriptors_low: false,
        }
    }

    /// A notice of this name; its objects by name, with instances and values.
    pub fn notice(&self, name: &str, subject: &str, objects: &[(&str, u32, Value)]) -> Notice {
        let full = |(name, instance, value): &(&str, u32, Value)| {
            let oid = self.module.name_of(name).unwrap_or_default();
            ([&oid[..], &[*instance]].concat(), value.clone())
        };
        let oid = self.module.notification(name).unwrap_or_default();
        Notice { oid, subject: subject.to_string(), objects: objects.iter().map(full).collect() }
    }

    /// What is news in these figures.
    pub fn look(&mut self, f: &Figures) -> Vec<Notice> {
        let mut news = self.look_at_nodes(&f.books);
        news.extend(self.look_at_refusals(&f.books));
        if f.list_overdue > self.list_overdue {
            let count = Value::Counter64(f.list_overdue);
            news.push(self.notice("cdListSilent", "", &[("cdListOverdue", 0, count)]));
        }
        if f.denied > self.denied {
            news.push(self.notice(
                "cdSecurityFailure",
                "",
                &[("cdSnmpDenied", 0, Value::Counter64(f.denied))],
            ));
        }
        (self.list_overdue, self.denied) = (f.list_overdue, f.denied);
        let low = f.descriptors.0 * 10 > f.descriptors.1 * 9;
        if low && !self.descriptors_low {
            news.push(self.notice("cdDescriptorsLow", "", &[]));
        }
        self.descriptors_low = low;
        news
    }

    fn look_at_nodes(&mut self, books: &LedgerSnapshot) -> Vec<Notice> {
        let mut news = Vec::new();
        let mut nodes = BTreeMap::new();
        for row in &books.nodes {
            let (phase, drains) = match &self.nodes {
                None => (row.state, row.drains),
                Some(seen) => seen.get(&row.index).copied().unwrap_or((EndpointState::Active, 0)),
            };
            let name = Value::Text(row.name.clone().into_bytes());
            if row.drains > drains {
                news.push(self.notice(
                    "cdNodeDraining",
                    &row.name,
                    &[("cdNodeName", row.index, name.clone())],
                ));
            }
            if row.state == EndpointState::Removed && phase != EndpointState::Removed {
                news.push(self.notice("cdNodeLost", &row.name, &[("cdNodeName", row.index, name)]));
            }
            nodes.insert(row.index, (row.state, row.drains));
        }
        self.nodes = Some(nodes);
        news
    }

    fn look_at_refusals(&mut self, books: &LedgerSnapshot) -> Option<Notice> {
        let (refused, full) =
            (books.sum(|c| c.ended_with(QueryEnd::Rejected)), books.sum(|c: &ClassRow| c.queue_full));
        let asked = books.sum(|c| c.accepted) + full;
        let Some((at, before, asked_before)) = self.refusals else {
            self.refusals = Some((books.at, refused + full, asked));
            return None;
        };
        if books.at.saturating_sub(at) < REFUSALS_OVER {
            return None;
        }
        self.refusals = Some((books.at, refused + full, asked));
        let (of, away) = (asked.saturating_sub(asked_before), (refused + full).saturating_sub(before));
        let high = of >= REFUSALS_OF && away as f64 > self.refusal_share * of as f64;
        let counts = [
            ("cdQueriesRefused", 0, Value::Counter64(refused)),
            ("cdQueriesFull", 0, Value::Counter64(full)),
        ];
        high.then(|| self.notice("cdRefusalsHigh", "", &counts))
    }
}

/// Between two looks whether something is due, or the process ends.
const PAUSE: Duration = Duration::from_millis(100);
/// Between two looks.
const LOOK: Duration = Duration::from_secs(1);
/// The core comes to what it is asked within this, or the look is left out.
const BOOKS: Duration = Duration::from_millis(500);

/// Tells the process's end once it has begun.
#[derive(Debug, Clone, Default)]
pub struct Stopping(Arc<AtomicBool>);

impl Stopping {
    /// The process was told to end.
    pub fn now(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Descriptors that the process holds; none where that cannot be seen.
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

struct AlertNotifier {
    core: CoreHandle,
    watch: Watch,
    notifier: Notifier,
    socket: UdpSocket,
    begun: Nanos,
    sockets: usize,
}

impl AlertNotifier {
    fn figures(&self) -> Option<Figures> {
        let counters = &self.core.counters;
        Some(Figures {
            books: self.core.ledger_snapshot_within(BOOKS)?,
            list_overdue: counters.endpoint_list_overdue.load(Ordering::Relaxed),
            denied: counters.snmp_denied.load(Ordering::Relaxed),
            descriptors: (descriptors(), self.sockets),
        })
    }

    fn tell(&mut self, news: &[Notice]) {
        let now = self.core.clock.now();
        for notice in news {
            log::info!("notification {}: {}", mib_name(&self.watch, notice), notice.subject);
            let out = self.notifier.notice(now, mib::ticks(self.begun, now), notice);
            self.send(out);
        }
    }

    fn send(&self, out: Vec<Send>) {
        for Send { to, bytes } in out {
            if let Err(e) = self.socket.send_to(&bytes, &to) {
                log::debug!("notification to {to}: {e}");
            }
        }
    }

    fn run(mut self, stopping: &Stopping) {
        // Where things stand at the start: what comes after that is news.
        if let Some(figures) = self.figures() {
            self.watch.look(&figures);
        }
        let started = self.watch.notice("cdStarted", "", &[]);
        self.tell(&[started]);
        let (mut looked, mut told_stop) = (self.core.clock.now(), false);
        let mut buf = [0; 2048];
        loop {
            if let Ok((size, from)) = self.socket.recv_from(&mut buf) {
                self.notifier.came(&from.to_string(), &buf[..size]);
            }
            let now = self.core.clock.now();
            let again = self.notifier.tick(now);
            self.send(again);
            if stopping.0.load(Ordering::Acquire) && !told_stop {
                told_stop = true;
                let stop = self.watch.notice("cdStopping", "", &[]);
                self.tell(&[stop]);
            }
            if now.saturating_sub(looked) >= nanos(LOOK) {
                looked = now;
                if let Some(figures) = self.figures() {
                    let news = self.watch.look(&figures);
                    self.tell(&news);
                }
            }
        }
    }
}

fn mib_name(watch: &Watch, notice: &Notice) -> &'static str {
    watch.module.notification_of(&notice.oid).map_or("", |n| n.name)
}

/// Starts to tell, if somebody is to be told.
///
/// # Errors
/// There is no socket.
pub fn start(
    config: &SnmpConfig,
    core: CoreHandle,
    limits: &Limits,
    sockets: usize,
) -> Result<Option<Stopping>, String> {
    if config.notify.is_empty() {
        return Ok(None);
    }
    let target =
        |n: &NotifyConfig| Target { to: n.to.to_string(), community: n.community.clone(), inform: n.inform };
    let any: SocketAddr = ([0, 0, 0, 0], 0).into();
    let socket = UdpSocket::bind(any).map_err(|e| format!("no socket for notifications: {e}"))?;
    socket.set_read_timeout(Some(PAUSE)).map_err(|e| format!("no socket for notifications: {e}"))?;
    let begun = core.clock.now();
    let bounds = Bounds {
        gap: nanos(limits.notify_gap),
        burst: limits.notify_burst,
        refill: nanos(limits.notify_refill),
        waiting: limits.notify_waiting,
        again: nanos(limits.notify_retry_delay),
        tries: limits.notify_attempts,
        subjects: limits.node_rows,
    };
    let notifier =
        Notifier::new(bounds, config.notify.iter().map(target).collect(), fastrand::i32(1..i32::MAX));
    let watch = Watch::new(config.refusal_share);
    let teller = AlertNotifier { core, watch, notifier, socket, begun, sockets };
    let stopping = Stopping::default();
    let heard = stopping.clone();
    // A thread: as a coroutine with a time-out on its reads it was seen to miss two waits for the core of three.
    let thread = std::thread::Builder::new().name("notices".into()).spawn(move || teller.run(&heard));
    thread.map_err(|e| format!("cannot start to tell: {e}"))?;
    Ok(Some(stopping))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{ClassId, QueryId, ServerId};
    use curlewdeck_accounting::node_table::NodeBounds;
    use curlewdeck_accounting::RequestLedger;

    const S: Nanos = 1_000_000_000;

    fn account() -> RequestLedger {
        let text = crate::config::Config::read(include_str!("../examples/config.json"), |_| None).unwrap();
        RequestLedger::new(
            &text.deployment.settings.classes,
            &text.deployment.class_names,
            NodeBounds { max_rows: 4, retention: S },
        )
    }

    fn look(
        watch: &mut Watch,
        account: &mut RequestLedger,
        now: Nanos,
        more: (u64, u64, usize),
    ) -> Vec<&'static str> {
        let books = account.snapshot(now);
        let news =
            watch.look(&Figures { books, list_overdue: more.0, denied: more.1, descriptors: (more.2, 100) });
        news.iter().map(|n| mib_name(watch, n)).collect()
    }

    #[test]
    fn drains_and_losses_are_told_once() {
        let (mut w, mut a) = (Watch::new(0.1), account());
        a.node_state(0, ServerId(0), "s", EndpointState::Draining);
        assert!(look(&mut w, &mut a, 0, (0, 0, 0)).is_empty(), "what is seen first is no news");
        a.node_state(0, ServerId(0), "s", EndpointState::Active);
        a.node_state(0, ServerId(0), "s", EndpointState::Draining);
        assert_eq!(look(&mut w, &mut a, 0, (0, 0, 0)), ["cdNodeDraining"]);
        assert!(look(&mut w, &mut a, 0, (0, 0, 0)).is_empty());
        a.node_removed(0, ServerId(0));
        assert_eq!(look(&mut w, &mut a, 0, (0, 0, 0)), ["cdNodeLost"]);
        assert!(look(&mut w, &mut a, 9 * S, (0, 0, 0)).is_empty(), "its row has gone");
        assert!(w.nodes.as_ref().is_some_and(BTreeMap::is_empty));
        // One that comes and drains between two looks.
        a.node_state(9 * S, ServerId(1), "t", EndpointState::Draining);
        assert_eq!(look(&mut w, &mut a, 9 * S, (0, 0, 0)), ["cdNodeDraining"]);
    }

    #[test]
    fn refusals_above_the_share_are_told() {
        let (mut w, mut a) = (Watch::new(0.1), account());
        look(&mut w, &mut a, 0, (0, 0, 0));
        for n in 0..100 {
            a.query_accepted(0, QueryId(n), ClassId(0));
            a.query_ended(QueryId(n), if n < 10 { QueryEnd::Rejected } else { QueryEnd::Failed });
        }
        assert!(look(&mut w, &mut a, 11 * S, (0, 0, 0)).is_empty(), "a tenth is not more than a tenth");
        a.queries_rejected_queue_full(ClassId(0), 25);
        assert!(look(&mut w, &mut a, 12 * S, (0, 0, 0)).is_empty(), "not looked at yet");
        assert_eq!(look(&mut w, &mut a, 22 * S, (0, 0, 0)), ["cdRefusalsHigh"]);
        a.queries_rejected_queue_full(ClassId(0), 30);
        assert!(look(&mut w, &mut a, 33 * S, (0, 0, 0)).is_empty(), "of too few");
    }

    #[test]
    fn the_rest_is_told_when_it_grows() {
        let (mut w, mut a) = (Watch::new(0.1), account());
        assert_eq!(look(&mut w, &mut a, 0, (1, 0, 90)), ["cdListSilent"]);
        assert_eq!(look(&mut w, &mut a, 0, (1, 2, 91)), ["cdSecurityFailure", "cdDescriptorsLow"]);
        assert!(look(&mut w, &mut a, 0, (1, 2, 95)).is_empty());
        look(&mut w, &mut a, 0, (1, 2, 50));
        assert_eq!(look(&mut w, &mut a, 0, (1, 2, 95)), ["cdDescriptorsLow"]);
    }

    /// Each notification carries the objects that the MIB says.
    #[test]
    fn notices_carry_what_the_mib_says() {
        let (mut w, mut a) = (Watch::new(0.1), account());
        a.node_state(0, ServerId(0), "s", EndpointState::Active);
        look(&mut w, &mut a, 0, (0, 0, 0));
        a.node_state(0, ServerId(0), "s", EndpointState::Draining);
        a.node_removed(0, ServerId(0));
        let books = a.snapshot(0);
        for notice in w.look(&Figures { books, list_overdue: 1, denied: 1, descriptors: (99, 100) }) {
            let named = w.module.notification_of(&notice.oid).unwrap();
            let carried: Vec<String> =
                notice.objects.iter().map(|o| w.module.object_of(&o.0).unwrap().0).collect();
            assert_eq!(carried, named.objects, "{}", named.name);
        }
    }
}
