//! Runs a trial of the drain rule: coordinator processes, each with its own discovery service and a steady load of
//! queries, and data nodes that log the arrival of parts. At the end the checker examines the logs.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::{Catalog, FIRST_VERSION};
use super::drain_check::{
    violations, Assignment, Change, CoordinatorLog, Delivery, NodeState, PartStart, ReachabilityChange,
    Silence, Violation, WatchEnd, Write,
};
use super::faulty_discovery::FaultyDiscovery;
use super::load_generator::{coordinator_of, query, query_id, LoadGenerator, TimedAnswer};
use super::stand_in::{lock, DataNode, Part};
use super::{run_with_limit, successful_reply, wait_until, Program, TestCluster};

/// Load-generating clients of each coordinator.
const CLIENTS_PER_COORDINATOR: u64 = 2;
/// Time at the end of a trial in which queries must be answered.
const FINAL_SPAN: Duration = Duration::from_secs(2);
/// Least number of answers of each coordinator in that time; without faults there are about two hundred.
const MIN_FINAL_ANSWERS: usize = 10;
/// Longest time without a complete answer while a coordinator must keep serving. It allows for a slow machine: normally
/// about a hundred answers arrive in this time, on an overloaded machine a dozen.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1500);
/// Most calls to discovery in one second; a coordinator that makes more is in a busy loop.
const MAX_CALLS_PER_SECOND: usize = 12;
/// Longest wait for a condition that may never hold, and the usual time for a trial to settle.
pub const WAIT_LIMIT: Duration = Duration::from_secs(8);

struct TrialCoordinator {
    /// `None` once the process has been killed.
    program: Option<Program>,
    load: LoadGenerator,
    /// Discovery services of the coordinator, each with the time from which it is configured.
    services: Vec<(Instant, Arc<FaultyDiscovery>)>,
}

/// Coordinators, data nodes and their membership during a trial.
pub struct Trial {
    name: String,
    delivery: Delivery,
    pub catalog: Arc<Catalog>,
    /// Number of coordinators in the settings.
    pub fleet: u32,
    /// Descriptor limit of each coordinator.
    pub sockets: u32,
    nodes: BTreeMap<String, DataNode>,
    running: Vec<TrialCoordinator>,
    failures: Vec<String>,
    /// Logs of the processes that have been killed.
    logs: Vec<String>,
}

/// Outcome of a finished trial; it passes without violations and failures.
pub struct TrialResult {
    name: String,
    violations: Vec<Violation>,
    /// Failed expectations other than violations of the drain rule.
    failures: Vec<String>,
    /// Complete answers of each coordinator in the last `FINAL_SPAN`.
    served: Vec<usize>,
    /// Longest time of any coordinator without a complete answer.
    longest_gap: Duration,
    logs: Vec<String>,
    /// Membership changes and events of the discovery services, in chronological order.
    timeline: Vec<(Instant, String)>,
}

impl Trial {
    /// Starts data nodes, all up and each with every shard.
    pub fn new(name: &str, delivery: Delivery, uids: &[&str]) -> Self {
        let nodes: BTreeMap<String, DataNode> =
            uids.iter().map(|uid| (uid.to_string(), DataNode::start(successful_reply))).collect();
        let lines: Vec<_> = nodes.iter().map(|(uid, node)| (uid.as_str(), node.addr)).collect();
        let catalog = Arc::new(Catalog::new(&lines));
        let name = format!("{} {name}", delivery.name());
        let (running, failures) = (Vec::new(), Vec::new());
        let sockets = TestCluster::default().sockets;
        Self { name, delivery, catalog, fleet: 1, sockets, nodes, running, failures, logs: Vec::new() }
    }

    /// Starts a discovery service for one coordinator.
    pub fn service(&self) -> Arc<FaultyDiscovery> {
        Arc::new(FaultyDiscovery::start(self.catalog.clone()))
    }

    fn config(&self, service: &FaultyDiscovery) -> String {
        let (sockets, discovery) = (self.sockets, self.delivery.name());
        let cluster =
            TestCluster { partition_groups: 1, replicas: 1, discovery, sockets, ..TestCluster::default() };
        let fleet = format!(r#""balancers":{}"#, self.fleet);
        cluster.config(service.addr).replace(r#""balancers":1"#, &fleet)
    }

    /// Starts a coordinator without a saved list; returns its number.
    pub fn start(&mut self, service: &Arc<FaultyDiscovery>) -> usize {
        self.start_with(service, self.config(service))
    }

    /// Starts a coordinator with the first list, in which all nodes are up, in its configuration, as after a restart;
    /// returns its number.
    pub fn start_with_first_list(&mut self, service: &Arc<FaultyDiscovery>) -> usize {
        let known = self.catalog.snapshot(FIRST_VERSION, FIRST_VERSION, &BTreeMap::new()).json;
        let mut config = self.config(service);
        config.insert_str(1, &format!(r#""known":{known},"#));
        self.start_with(service, config)
    }

    fn start_with(&mut self, service: &Arc<FaultyDiscovery>, config: String) -> usize {
        let started = Instant::now();
        let program = Program::start(&config);
        let number = self.running.len();
        let load = LoadGenerator::start(program.addr, number, CLIENTS_PER_COORDINATOR);
        let program = Some(program);
        self.running.push(TrialCoordinator { program, load, services: vec![(started, service.clone())] });
        number
    }

    /// Moves a coordinator to another discovery service by SIGHUP.
    pub fn move_to_service(&mut self, number: usize, service: &Arc<FaultyDiscovery>) {
        let config = self.config(service);
        let coordinator = &mut self.running[number];
        coordinator.services.push((Instant::now(), service.clone()));
        coordinator.program.as_ref().unwrap().reload(&config);
    }

    /// Sends SIGTERM to a coordinator; its clients continue while their connections stay open.
    pub fn terminate(&self, number: usize) {
        self.running[number].program.as_ref().unwrap().signal("TERM");
    }

    /// Kills a coordinator that may have exited already.
    pub fn kill(&mut self, number: usize) {
        let log = self.running[number].program.take().unwrap().kill();
        self.logs.push(log);
    }

    /// Opens idle connections to a coordinator; they stay open until the returned streams are dropped.
    pub fn connect_idle_clients(&self, number: usize, clients: u32) -> Vec<TcpStream> {
        let addr = self.running[number].program.as_ref().unwrap().addr;
        (0..clients).filter_map(|_| TcpStream::connect(addr).ok()).collect()
    }

    /// Sends queries to a coordinator at once, each on its own connection, without reading the answers.
    pub fn send_burst(&self, number: usize, queries: u64) -> Vec<TcpStream> {
        let addr = self.running[number].program.as_ref().unwrap().addr;
        let mut clients: Vec<_> = (0..queries).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for (query_number, client) in (0..).zip(&mut clients) {
            let id = query_id(number, CLIENTS_PER_COORDINATOR, query_number);
            client.write_all(query(&id, query_number).as_bytes()).unwrap();
        }
        clients
    }

    /// Stops a coordinator's process with SIGSTOP while `action` runs.
    pub fn while_stopped(&self, number: usize, action: impl FnOnce()) {
        let program = self.running[number].program.as_ref().unwrap();
        program.signal("STOP");
        wait_until("the process to stop", || program.state() == 'T');
        action();
        program.signal("CONT");
    }

    /// Returns the number of parts that a data node has received from all coordinators.
    fn part_count(&self, uid: &str) -> usize {
        self.nodes[uid].received_parts().len()
    }

    /// Waits until each of these nodes has received a part from each coordinator.
    pub fn wait_until_used(&self, uids: &[&str]) {
        let sent = |uid: &str, number: usize| {
            let parts = self.nodes[uid].received_parts();
            parts.iter().any(|p| coordinator_of(&p.id) == Some(number))
        };
        let coordinators = || 0..self.running.len();
        wait_until("a part of each coordinator at each node", || {
            uids.iter().all(|uid| coordinators().all(|n| sent(uid, n)))
        });
    }

    /// Records a failure unless a node that is up again receives a part.
    pub fn expect_used_again(&mut self, uid: &str) {
        let before = self.part_count(uid);
        if !within(WAIT_LIMIT, || self.part_count(uid) > before) {
            self.failures.push(format!("{uid} is up again but receives no parts"));
        }
    }

    /// Records a failure if a coordinator went longer than `MAX_ANSWER_GAP` without a complete answer since then.
    pub fn expect_served_throughout(&mut self, number: usize, since: Instant, when: &str) {
        let gap = longest_answer_gap(&self.running[number].load.answers(), since, Instant::now());
        if gap > MAX_ANSWER_GAP {
            self.failures.push(format!("no complete answer for {:.2} s {when}", gap.as_secs_f64()));
        }
    }

    /// Continues the trial for this time, then stops everything and checks the logs.
    pub fn finish_after(mut self, span: Duration) -> TrialResult {
        thread::sleep(span);
        let end = Instant::now();
        let running = std::mem::take(&mut self.running);
        let (mut logs, mut served, mut longest_gap) = (Vec::new(), Vec::new(), Duration::ZERO);
        let running_services: Vec<Arc<FaultyDiscovery>> =
            running.iter().flat_map(|r| r.services.iter().map(|s| s.1.clone())).collect();
        for TrialCoordinator { program, load, services } in running {
            let answers = load.stop();
            if let Some(mut program) = program {
                if let Some(status) = program.exit_status() {
                    self.failures.push(format!("coordinator {} exited: {status}", logs.len()));
                }
                self.logs.push(program.kill());
                served.push((logs.len(), complete_answer_count(&answers, end - FINAL_SPAN, end)));
                longest_gap = longest_gap.max(longest_answer_gap(&answers, services[0].0, end));
            }
            let assignment = |(from, service): &(Instant, Arc<FaultyDiscovery>)| Assignment {
                from: *from,
                service: service.log(),
            };
            let assignments = services.iter().map(assignment).collect();
            logs.push(CoordinatorLog { delivery: self.delivery, assignments });
        }
        for service in running_services {
            let most = max_calls_per_second(&service.call_times());
            if most > MAX_CALLS_PER_SECOND {
                self.failures.push(format!("{most} calls to discovery in one second"));
            }
        }
        let parts = self.part_starts();
        for &(number, answers) in &served {
            let recent = |p: &&PartStart| p.coordinator == number && p.at >= end - FINAL_SPAN;
            let parts = parts.iter().filter(recent).count();
            if answers < MIN_FINAL_ANSWERS || parts == 0 {
                self.failures.push(format!(
                    "coordinator {number}: {answers} complete answers (at least {MIN_FINAL_ANSWERS}) and \
                     {parts} parts (at least 1) in the last {FINAL_SPAN:?}"
                ));
            }
        }
        let changes = self.catalog.changes();
        let violations = violations(&changes, &logs, &parts);
        let timeline = timeline(&changes, &logs);
        let served = served.into_iter().map(|(_, answers)| answers).collect();
        TrialResult {
            name: self.name,
            violations,
            failures: self.failures,
            served,
            longest_gap,
            logs: self.logs,
            timeline,
        }
    }

    fn part_starts(&self) -> Vec<PartStart> {
        let starts_at = |(uid, node): (&String, &DataNode)| {
            let begun = |(part, at): (Part, Instant)| {
                coordinator_of(&part.id).map(|coordinator| PartStart { coordinator, uid: uid.clone(), at })
            };
            node.parts_with_first_byte_time().into_iter().filter_map(begun).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(starts_at).collect()
    }
}

/// Returns the events of the membership and of each coordinator's services, in chronological order.
fn timeline(changes: &[Change], coordinators: &[CoordinatorLog]) -> Vec<(Instant, String)> {
    let change = |c: &Change| (c.at, format!("version {}: {} is {:?}", c.version, c.uid, c.state));
    let mut timeline: Vec<(Instant, String)> = changes.iter().map(change).collect();
    for (coordinator, log) in coordinators.iter().enumerate() {
        for (number, Assignment { from, service }) in log.assignments.iter().enumerate() {
            let source = format!("coordinator {coordinator}, service {number}:");
            timeline.push((*from, format!("{source} in use")));
            let reachability =
                |r: &ReachabilityChange| (r.at, format!("{source} reachable: {}", r.reachable));
            timeline.extend(service.reachability.iter().map(reachability));
            let silence = |s: &Silence| (s.at, format!("{source} connection {} goes silent", s.connection));
            timeline.extend(service.silences.iter().map(silence));
            let end = |e: &WatchEnd| {
                (e.at, format!("{source} connection {} closed without delivering the change", e.connection))
            };
            timeline.extend(service.ends.iter().map(end));
            let write = |w: &Write| (w.at, format!("{source} update written to connection {}", w.connection));
            timeline.extend(service.writes.iter().map(write));
        }
    }
    timeline.sort_by_key(|event| event.0);
    timeline
}

/// Returns the largest number of calls within one second; `times` must be in order.
fn max_calls_per_second(times: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let within =
        |(n, &from): (usize, &Instant)| times[n..].iter().take_while(|&&t| t < from + second).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Returns the longest time without a complete answer.
fn longest_answer_gap(answers: &[TimedAnswer], from: Instant, to: Instant) -> Duration {
    let mut moments: Vec<Instant> = complete_answers(answers, from, to).map(|a| a.at).collect();
    moments.extend([from, to]);
    moments.sort();
    moments.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

fn complete_answers(
    answers: &[TimedAnswer],
    from: Instant,
    to: Instant,
) -> impl Iterator<Item = &TimedAnswer> {
    answers.iter().filter(move |a| a.status == 200 && a.at >= from && a.at <= to)
}

fn complete_answer_count(answers: &[TimedAnswer], from: Instant, to: Instant) -> usize {
    complete_answers(answers, from, to).count()
}

/// Waits for a condition; returns whether it held within the time limit.
pub fn within(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

impl TrialResult {
    fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// Prints the late parts by wall-clock time, the timeline and the logs of the processes.
    fn print_logs(&self) {
        let (now, wall) = (Instant::now(), std::time::SystemTime::now());
        let time_of_day = |at: Instant| {
            let since = (wall - (now - at)).duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let seconds = since.as_secs_f64() % 86_400.0;
            format!(
                "{:02.0}:{:02.0}:{:06.3}",
                (seconds / 3600.0).floor(),
                (seconds / 60.0).floor() % 60.0,
                seconds % 60.0
            )
        };
        println!("---- {}", self.name);
        for Violation { uid, notified_at, reason, started_at, .. } in self.violations.iter().take(5) {
            println!(
                "{} late part at {uid}; notified by {reason:?} at {}",
                time_of_day(*started_at),
                time_of_day(*notified_at)
            );
        }
        self.timeline.iter().for_each(|(at, event)| println!("{} {event}", time_of_day(*at)));
        self.logs.iter().for_each(|log| println!("----\n{log}"));
    }

    /// Formats one line: violations by data node and reason, then the other failures.
    fn summary(&self) -> String {
        let mut groups = BTreeMap::<String, (usize, Duration)>::new();
        for violation in &self.violations {
            let Violation { uid, reason, coordinator, .. } = violation;
            let group = format!("{uid} from coordinator {coordinator}, {reason:?}");
            let (count, worst) = groups.entry(group).or_default();
            *count += 1;
            *worst = violation.late_by().max(*worst);
        }
        let mut text = format!("{}: {} late parts", self.name, self.violations.len());
        for (group, (count, worst)) in groups {
            text += &format!("; {count} to {group}, up to {:.2} s", worst.as_secs_f64());
        }
        self.failures.iter().for_each(|failure| text += &format!("; {failure}"));
        text + &format!("; served {:?}, longest gap {:.2} s", self.served, self.longest_gap.as_secs_f64())
    }
}

/// Most trials that run at once, over all tests of a file.
const MAX_CONCURRENT_TRIALS: usize = 16;

/// Number of running trials, and a signal for each that ends.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Slot of a running trial; dropping it lets the next trial start.
struct TrialSlot;

impl TrialSlot {
    fn take() -> Self {
        let (running, ended) = &RUNNING;
        let running = ended.wait_while(lock(running), |running| *running >= MAX_CONCURRENT_TRIALS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for TrialSlot {
    fn drop(&mut self) {
        let (running, ended) = &RUNNING;
        *lock(running) -= 1;
        ended.notify_one();
    }
}

/// Runs a trial for each of these kinds concurrently and asserts that all pass.
pub fn assert_all_pass<K: Send>(kinds: Vec<K>, trial: impl Fn(K) -> TrialResult + Sync) {
    assert_all_pass_with_limit(MAX_CONCURRENT_TRIALS, kinds, trial);
}

/// Does the same with at most `limit` trials at once.
pub fn assert_all_pass_with_limit<K: Send>(
    limit: usize,
    kinds: Vec<K>,
    trial: impl Fn(K) -> TrialResult + Sync,
) {
    let results = run_with_limit(limit, kinds, |kind| {
        let _slot = TrialSlot::take();
        trial(kind)
    });
    for result in &results {
        println!("{} {}", if result.passed() { "passed" } else { "FAILED" }, result.summary());
    }
    results.iter().filter(|r| !r.passed()).for_each(TrialResult::print_logs);
    let failed: Vec<String> = results.iter().filter(|r| !r.passed()).map(TrialResult::summary).collect();
    assert!(failed.is_empty(), "{} of {} trials failed:\n{}", failed.len(), results.len(), failed.join("\n"));
}

/// Both ways in which a coordinator receives the membership.
pub const BOTH_DELIVERIES: [Delivery; 2] = [Delivery::OnRequest, Delivery::Pushed];

/// Age of a change that is older than any time limit of the drain rule.
pub const LONG_PAST: Duration = Duration::from_secs(10);

impl Trial {
    /// Drains one node and removes another, both at `LONG_PAST`.
    pub fn drain_and_remove_long_ago(&self, draining: &str, removed: &str) {
        self.catalog.set_all(&[(draining, NodeState::Draining), (removed, NodeState::Removed)], LONG_PAST);
    }
}
