//! A trial of the drain rule: coordinators in processes of their own, each with its own address of discovery, steady
//! queries, data nodes that log what begins when, and the checker's verdict at the end.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::{Catalog, FIRST_VERSION};
use super::drain_check::{
    violations, Assignment, Change, CoordinatorLog, Delivery, NodeState, PartBegun, Reach, Silence,
    Violation, WatchEnd, Write,
};
use super::faulty_discovery::FaultyDiscovery;
use super::load_generator::{coordinator_of, query, query_id, Answered, LoadGenerator};
use super::stand_in::{lock, DataNode, Part};
use super::{served, until, Program, TestCluster};

/// Clients of each coordinator.
const CLIENTS: u64 = 2;
/// Over this last stretch of a trial, queries have to be answered.
const LAST: Duration = Duration::from_secs(2);
/// So many at least, for each coordinator; undisturbed it is some two hundred.
const LEAST_SERVED: usize = 10;
/// The longest time without a whole answer where a coordinator has to go on serving. It is no measure of the machine's speed:
/// there are some hundred answers in it, on a starved machine a dozen.
const LONGEST_BREAK: Duration = Duration::from_millis(1500);
/// A coordinator that calls discovery more often than this in a second is in a busy loop.
const MOST_CALLS: usize = 12;
/// What tests wait for in the program, when it may be in vain.
pub const PATIENCE: Duration = Duration::from_secs(8);

/// One coordinator of a trial.
struct Running {
    /// None once it has been killed.
    program: Option<Program>,
    load: LoadGenerator,
    /// From when on it is configured with which service.
    services: Vec<(Instant, Arc<FaultyDiscovery>)>,
}

/// Coordinators, data nodes and their membership.
pub struct Trial {
    name: String,
    delivery: Delivery,
    pub catalog: Arc<Catalog>,
    /// The coordinators that the settings tell of.
    pub fleet: u32,
    /// Descriptors of each coordinator.
    pub sockets: u32,
    nodes: BTreeMap<String, DataNode>,
    running: Vec<Running>,
    complaints: Vec<String>,
    /// What processes that have been killed had logged.
    logs: Vec<String>,
}

/// What came of a trial.
pub struct Verdict {
    name: String,
    violations: Vec<Violation>,
    /// What else is not as it has to be.
    complaints: Vec<String>,
    /// Whole answers of the last stretch, by coordinator.
    served: Vec<usize>,
    /// The longest time without a whole answer, of any coordinator.
    longest_gap: Duration,
    logs: Vec<String>,
    /// What the services of discovery went through, in the order of time.
    timeline: Vec<(Instant, String)>,
}

impl Trial {
    /// Data nodes that are all up, each with every shard.
    pub fn new(name: &str, delivery: Delivery, uids: &[&str]) -> Self {
        let nodes: BTreeMap<String, DataNode> =
            uids.iter().map(|uid| (uid.to_string(), DataNode::start(served))).collect();
        let lines: Vec<_> = nodes.iter().map(|(uid, node)| (uid.as_str(), node.addr)).collect();
        let catalog = Arc::new(Catalog::new(&lines));
        let name = format!("{} {name}", delivery.name());
        let (running, complaints) = (Vec::new(), Vec::new());
        let sockets = TestCluster::default().sockets;
        Self { name, delivery, catalog, fleet: 1, sockets, nodes, running, complaints, logs: Vec::new() }
    }

    /// A service of discovery for one coordinator.
    pub fn service(&self) -> Arc<FaultyDiscovery> {
        Arc::new(FaultyDiscovery::start(self.catalog.clone()))
    }

    fn config(&self, service: &FaultyDiscovery) -> String {
        let (sockets, discovery) = (self.sockets, self.delivery.name());
        let cluster = TestCluster { cells: 1, in_a_row: 1, discovery, sockets, ..TestCluster::default() };
        let fleet = format!(r#""balancers":{}"#, self.fleet);
        cluster.config(service.addr).replace(r#""balancers":1"#, &fleet)
    }

    /// Starts a coordinator that knows nothing yet; returns its number.
    pub fn start(&mut self, service: &Arc<FaultyDiscovery>) -> usize {
        self.start_with(service, self.config(service))
    }

    /// Starts one that has been away: its configuration holds the first list, in which all are up.
    pub fn start_again(&mut self, service: &Arc<FaultyDiscovery>) -> usize {
        let known = self.catalog.snapshot(FIRST_VERSION, FIRST_VERSION, &BTreeMap::new()).json;
        let mut config = self.config(service);
        config.insert_str(1, &format!(r#""known":{known},"#));
        self.start_with(service, config)
    }

    fn start_with(&mut self, service: &Arc<FaultyDiscovery>, config: String) -> usize {
        let started = Instant::now();
        let program = Program::start(&config);
        let number = self.running.len();
        let load = LoadGenerator::start(program.addr, number, CLIENTS);
        let program = Some(program);
        self.running.push(Running { program, load, services: vec![(started, service.clone())] });
        number
    }

    /// Moves a coordinator to another service by SIGHUP.
    pub fn move_to(&mut self, number: usize, service: &Arc<FaultyDiscovery>) {
        let config = self.config(service);
        let running = &mut self.running[number];
        running.services.push((Instant::now(), service.clone()));
        running.program.as_ref().unwrap().reload(&config);
    }

    /// Tells a coordinator to end; its clients go on for as long as their connections stay open.
    pub fn terminate(&self, number: usize) {
        self.running[number].program.as_ref().unwrap().signal("TERM");
    }

    /// Kills a coordinator, if it has not ended by itself.
    pub fn kill(&mut self, number: usize) {
        let log = self.running[number].program.take().unwrap().killed();
        self.logs.push(log);
    }

    /// Clients that connect to a coordinator and say nothing, for as long as what is returned is held.
    pub fn crowd(&self, number: usize, clients: u32) -> Vec<TcpStream> {
        let addr = self.running[number].program.as_ref().unwrap().addr;
        (0..clients).filter_map(|_| TcpStream::connect(addr).ok()).collect()
    }

    /// Sends a coordinator so many queries at once, each on a connection of its own, whose answers nobody reads.
    pub fn burst(&self, number: usize, queries: u64) -> Vec<TcpStream> {
        let addr = self.running[number].program.as_ref().unwrap().addr;
        let mut clients: Vec<_> = (0..queries).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for (query_number, client) in (0..).zip(&mut clients) {
            let id = query_id(number, CLIENTS, query_number);
            client.write_all(query(&id, query_number).as_bytes()).unwrap();
        }
        clients
    }

    /// Stops a coordinator's process while something happens.
    pub fn held_up(&self, number: usize, happens: impl FnOnce()) {
        let program = self.running[number].program.as_ref().unwrap();
        program.signal("STOP");
        until("the stop", || program.state() == 'T');
        happens();
        program.signal("CONT");
    }

    /// Parts that began at a data node, by all coordinators.
    fn parts(&self, uid: &str) -> usize {
        self.nodes[uid].parts().len()
    }

    /// Waits until each of these is sent something by each coordinator.
    pub fn in_use(&self, uids: &[&str]) {
        let sent = |uid: &str, number: usize| {
            let parts = self.nodes[uid].parts();
            parts.iter().any(|p| coordinator_of(&p.id) == Some(number))
        };
        let coordinators = || 0..self.running.len();
        until("parts at each node", || uids.iter().all(|uid| coordinators().all(|n| sent(uid, n))));
    }

    /// A node that was shut and is up again has to be sent something.
    pub fn is_used_again(&mut self, uid: &str) {
        let before = self.parts(uid);
        if !within(PATIENCE, || self.parts(uid) > before) {
            self.complaints.push(format!("{uid} is up again and is sent nothing"));
        }
    }

    /// A coordinator has to have given whole answers since then without a break.
    pub fn has_served_throughout(&mut self, number: usize, since: Instant, when: &str) {
        let gap = gap(&self.running[number].load.answers(), since, Instant::now());
        if gap > LONGEST_BREAK {
            self.complaints.push(format!("no whole answer for {:.2} s {when}", gap.as_secs_f64()));
        }
    }

    /// Goes on for a while, then ends it all and has the logs checked.
    pub fn finish_after(mut self, span: Duration) -> Verdict {
        thread::sleep(span);
        let end = Instant::now();
        let running = std::mem::take(&mut self.running);
        let (mut logs, mut served, mut longest_gap) = (Vec::new(), Vec::new(), Duration::ZERO);
        let running_services: Vec<Arc<FaultyDiscovery>> =
            running.iter().flat_map(|r| r.services.iter().map(|s| s.1.clone())).collect();
        for Running { program, load, services } in running {
            let answers = load.stop();
            if let Some(mut program) = program {
                if let Some(status) = program.has_ended() {
                    self.complaints.push(format!("coordinator {} has ended: {status}", logs.len()));
                }
                self.logs.push(program.killed());
                served.push((logs.len(), served_between(&answers, end - LAST, end)));
                longest_gap = longest_gap.max(gap(&answers, services[0].0, end));
            }
            let assignment = |(from, service): &(Instant, Arc<FaultyDiscovery>)| Assignment {
                from: *from,
                service: service.log(),
            };
            let assignments = services.iter().map(assignment).collect();
            logs.push(CoordinatorLog { delivery: self.delivery, assignments });
        }
        for service in running_services {
            let most = most_in_a_second(&service.call_times());
            if most > MOST_CALLS {
                self.complaints.push(format!("{most} calls of discovery in one second"));
            }
        }
        let parts = self.begun();
        for &(number, answers) in &served {
            let recent = |p: &&PartBegun| p.coordinator == number && p.at >= end - LAST;
            let parts = parts.iter().filter(recent).count();
            if answers < LEAST_SERVED || parts == 0 {
                self.complaints.push(format!(
                    "coordinator {number} served {answers} with {parts} parts in the last {LAST:?}"
                ));
            }
        }
        let changes = self.catalog.changes();
        let violations = violations(&changes, &logs, &parts);
        let timeline = timeline(&changes, &logs);
        let served = served.into_iter().map(|(_, answers)| answers).collect();
        Verdict {
            name: self.name,
            violations,
            complaints: self.complaints,
            served,
            longest_gap,
            logs: self.logs,
            timeline,
        }
    }

    fn begun(&self) -> Vec<PartBegun> {
        let of = |(uid, node): (&String, &DataNode)| {
            let begun = |(part, at): (Part, Instant)| {
                coordinator_of(&part.id).map(|coordinator| PartBegun { coordinator, uid: uid.clone(), at })
            };
            node.begun().into_iter().filter_map(begun).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(of).collect()
    }
}

/// What is known of the membership and of each coordinator's services, in the order of time.
fn timeline(changes: &[Change], coordinators: &[CoordinatorLog]) -> Vec<(Instant, String)> {
    let change = |c: &Change| (c.at, format!("version {}: {} is {:?}", c.version, c.uid, c.state));
    let mut timeline: Vec<(Instant, String)> = changes.iter().map(change).collect();
    for (coordinator, log) in coordinators.iter().enumerate() {
        for (number, Assignment { from, service }) in log.assignments.iter().enumerate() {
            let of = format!("coordinator {coordinator}, service {number}:");
            timeline.push((*from, format!("{of} in use")));
            let reach = |r: &Reach| (r.at, format!("{of} reachable: {}", r.reachable));
            timeline.extend(service.reach.iter().map(reach));
            let silence = |s: &Silence| (s.at, format!("{of} connection {} falls silent", s.connection));
            timeline.extend(service.silences.iter().map(silence));
            let end =
                |e: &WatchEnd| (e.at, format!("{of} connection {} ends instead of telling", e.connection));
            timeline.extend(service.ends.iter().map(end));
            let write = |w: &Write| (w.at, format!("{of} connection {} is written to", w.connection));
            timeline.extend(service.writes.iter().map(write));
        }
    }
    timeline.sort_by_key(|event| event.0);
    timeline
}

/// The most of these moments, in their order, that are within one second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let within =
        |(n, &from): (usize, &Instant)| times[n..].iter().take_while(|&&t| t < from + second).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// The longest time without a whole answer.
fn gap(answers: &[Answered], from: Instant, to: Instant) -> Duration {
    let mut moments: Vec<Instant> = whole_between(answers, from, to).map(|a| a.at).collect();
    moments.extend([from, to]);
    moments.sort();
    moments.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

fn whole_between(answers: &[Answered], from: Instant, to: Instant) -> impl Iterator<Item = &Answered> {
    answers.iter().filter(move |a| a.status == 200 && a.at >= from && a.at <= to)
}

fn served_between(answers: &[Answered], from: Instant, to: Instant) -> usize {
    whole_between(answers, from, to).count()
}

/// Whether something happens before this is over.
pub fn within(longest: Duration, mut happened: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < longest {
        if happened() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

impl Verdict {
    fn passed(&self) -> bool {
        self.violations.is_empty() && self.complaints.is_empty()
    }

    /// What the processes of a broken trial logged, and when by their clock parts were late.
    fn print_logs(&self) {
        let (now, wall) = (Instant::now(), std::time::SystemTime::now());
        let of_day = |at: Instant| {
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
        for Violation { uid, notified_at, reason, begun_at, .. } in self.violations.iter().take(5) {
            println!("{} late at {uid}: {reason:?} at {}", of_day(*begun_at), of_day(*notified_at));
        }
        self.timeline.iter().for_each(|(at, event)| println!("{} {event}", of_day(*at)));
        self.logs.iter().for_each(|log| println!("----\n{log}"));
    }

    /// One line: the breaks by data node and reason, and what else is wrong.
    fn summary(&self) -> String {
        let mut groups = BTreeMap::<String, (usize, Duration)>::new();
        for violation in &self.violations {
            let Violation { uid, reason, coordinator, .. } = violation;
            let group = format!("{uid} from {coordinator} {reason:?}");
            let (count, worst) = groups.entry(group).or_default();
            *count += 1;
            *worst = violation.late_by().max(*worst);
        }
        let mut text = format!("{}: {} late", self.name, self.violations.len());
        for (group, (count, worst)) in groups {
            text += &format!("; {count} to {group}, up to {:.2} s", worst.as_secs_f64());
        }
        self.complaints.iter().for_each(|complaint| text += &format!("; {complaint}"));
        text + &format!("; served {:?}, longest gap {:.2} s", self.served, self.longest_gap.as_secs_f64())
    }
}

/// Trials that run at a time, in all tests of a file together.
const SIDE_BY_SIDE: usize = 16;

/// Trials that run, and a signal for each that has ended.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A trial's place among those that run; the next one begins with its end.
struct Place;

impl Place {
    fn take() -> Self {
        let (running, ended) = &RUNNING;
        let running = ended.wait_while(lock(running), |running| *running >= SIDE_BY_SIDE);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let (running, ended) = &RUNNING;
        *lock(running) -= 1;
        ended.notify_one();
    }
}

/// Runs all kinds of a trial, many side by side; all of them have to pass.
pub fn all_pass<K: Send>(kinds: Vec<K>, trial: impl Fn(K) -> Verdict + Sync) {
    all_pass_beside(SIDE_BY_SIDE, kinds, trial);
}

/// The same with so many side by side at most.
pub fn all_pass_beside<K: Send>(most: usize, kinds: Vec<K>, trial: impl Fn(K) -> Verdict + Sync) {
    let (trial, kinds) = (&trial, Mutex::new(kinds.into_iter().enumerate()));
    let verdicts = Mutex::new(BTreeMap::new());
    let next = || lock(&kinds).next();
    thread::scope(|scope| {
        for _ in 0..most {
            scope.spawn(|| {
                while let Some((number, kind)) = next() {
                    let place = Place::take();
                    let verdict = trial(kind);
                    drop(place);
                    lock(&verdicts).insert(number, verdict);
                }
            });
        }
    });
    let verdicts: Vec<Verdict> = verdicts.into_inner().unwrap().into_values().collect();
    for verdict in &verdicts {
        println!("{} {}", if verdict.passed() { "kept  " } else { "BROKEN" }, verdict.summary());
    }
    verdicts.iter().filter(|v| !v.passed()).for_each(Verdict::print_logs);
    let broken: Vec<String> = verdicts.iter().filter(|v| !v.passed()).map(Verdict::summary).collect();
    assert!(broken.is_empty(), "{} of {} are broken:\n{}", broken.len(), verdicts.len(), broken.join("\n"));
}

/// Both ways in which a coordinator learns of the membership.
pub const BOTH: [Delivery; 2] = [Delivery::OnRequest, Delivery::Pushed];

/// Discovery has had these changes for longer than any time limit of the rules.
pub const LONG_AGO: Duration = Duration::from_secs(10);

impl Trial {
    /// One drains and one is gone, and both have been for long.
    pub fn shut_long_ago(&self, drains: &str, removed: &str) {
        self.catalog.set_all(&[(drains, NodeState::Draining), (removed, NodeState::Removed)], LONG_AGO);
    }
}
