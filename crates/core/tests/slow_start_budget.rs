//! What a fleet of coordinators that share nothing sends the data nodes that have just started: together
//! never more than these bear, and not much less than they could.

mod common;

use common::*;
use curlewdeck_core::api::*;
use std::collections::VecDeque;
use std::fmt;
use std::ops::Range;

const STEP: Nanos = 5 * MS;
const CORES: usize = 2;
/// Parts that wait at a data node; beyond that it rejects them.
const MAX_QUEUED_PARTS: usize = 20;
/// Queries and parts that a coordinator holds.
const MAX_OPEN: usize = 200;
const FLEETS: [u32; 4] = [1, 3, 30, 320];
/// Data nodes of a fleet, seed by seed.
const SERVERS: [u32; 4] = [12, 16, 10, 20];
/// So many that a query's parts come to one of them one by one, and a query to each coordinator every few
/// seconds.
const MANY_SERVERS: u32 = 60;
/// Runs of each fleet. Without optimization they take eight times as long: one that also restarts
/// coordinators.
const SEEDS: Range<u64> = if cfg!(debug_assertions) { 1..2 } else { 0..4 };
/// The least mean work of a part, in nanoseconds.
const WORK: f64 = 20e6;
/// Data nodes restart after so long, when all coordinators know their traffic, within such a span.
const WARM_UP: Nanos = 6_000 * MS;
const RESTARTS: Nanos = 4_000 * MS;

/// One data node: parts wait for a core, and one in slow start is slower.
struct DataNode {
    record: EndpointRecord,
    cores: [Nanos; CORES],
    /// When the parts that wait begin.
    waiting: VecDeque<Nanos>,
    /// When parts reached it since it started.
    reached: Vec<Nanos>,
}

impl DataNode {
    fn new(server: u32) -> Self {
        let record = EndpointRecord { partition_group: server, ..record(server, EndpointState::Active) };
        Self { record, cores: [0; CORES], waiting: VecDeque::new(), reached: Vec::new() }
    }

    /// Share of its capacity that it has; all of it if it has not restarted.
    fn capacity_ratio(&self, slow_start: &SlowStartPolicy, now: Nanos) -> f64 {
        if self.record.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.record.started_at) as f64 / slow_start.warm_up_duration as f64;
        (slow_start.initial_capacity_ratio + (1.0 - slow_start.initial_capacity_ratio) * age).min(1.0)
    }

    fn restart(&mut self, now: Nanos) {
        self.record.started_at = now;
        self.cores = [now; CORES];
        self.waiting.clear();
        self.reached.clear();
    }

    /// Takes a part of so much work; returns when its attempt ends, and how.
    fn serve(&mut self, slow_start: &SlowStartPolicy, now: Nanos, work: f64) -> (Nanos, Outcome) {
        self.reached.push(now);
        self.waiting.retain(|&begins| begins > now);
        let core = self.cores.iter_mut().min().unwrap();
        if *core > now && self.waiting.len() >= MAX_QUEUED_PARTS {
            return (now, Outcome::Rejected);
        }
        let begins = now.max(*core);
        if begins > now {
            self.waiting.push_back(begins);
        }
        let capacity_ratio = self.capacity_ratio(slow_start, begins);
        let ends = begins + (work / capacity_ratio) as Nanos;
        *self.cores.iter_mut().min().unwrap() = ends;
        (ends, Outcome::Success)
    }

    /// The sliding window in which the most of its allowance reached it, of the parts that found it in slow
    /// start: after that it has no allowance.
    fn fullest_window(&self, slow_start: &SlowStartPolicy, capacity: f64) -> OverloadWindow {
        let (started, mut from) = (self.record.started_at, 0);
        let mut fullest = OverloadWindow::default();
        for (last, &at) in self.reached.iter().enumerate() {
            if started == 0 || at >= started + slow_start.warm_up_duration {
                break;
            }
            // The earliest window that ends with this part: it is allowed the least.
            let begin = started.max((at + 1).saturating_sub(slow_start.overload_duration));
            from += self.reached[from..].iter().take_while(|&&t| t < begin).count();
            let budget = slow_start.overload_multiple
                * self.capacity_ratio(slow_start, begin)
                * capacity
                * slow_start.overload_duration as f64
                / 1e9;
            let window = OverloadWindow { parts: last + 1 - from, budget, age: begin - started };
            if window.share() > fullest.share() {
                fullest = window;
            }
        }
        fullest
    }
}

/// What reached a data node in slow start in a window that begins at this age of it, and N, what it bears
/// then.
#[derive(Clone, Copy, Default)]
struct OverloadWindow {
    parts: usize,
    budget: f64,
    age: Nanos,
}

impl fmt::Debug for OverloadWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (share, parts, n, age) = (self.share(), self.parts, self.budget, self.age / MS);
        write!(f, "{share:.2} of the allowance, {parts} parts where N is {n:.1}, {age} ms old")
    }
}

impl OverloadWindow {
    /// What reached it, as a share of what it bears and what is put down to chance.
    fn share(&self) -> f64 {
        self.parts as f64 / (self.budget + 2.0 * self.budget.sqrt() + 2.0)
    }
}

/// A coordinator and its clients.
struct ServedCoordinator {
    coordinator: Coordinator,
    /// Its queries a second, and when the next one comes.
    rate: f64,
    next: Nanos,
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    coordinators: u32,
    servers: u32,
    /// Mean work of a part, in nanoseconds.
    work: f64,
    /// Offered load, as a share of what all servers can do warm.
    load: f64,
    /// Least coverage that an answer may be given from.
    min_coverage: f64,
    seed: u64,
}

struct Simulation {
    scenario: Scenario,
    set: Settings,
    served: Vec<ServedCoordinator>,
    nodes: Vec<DataNode>,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let layout =
            ShardLayout { partition_groups: scenario.servers, groups_per_shard: 4, ..settings().layout };
        let mut set =
            Settings { coordinators: scenario.coordinators, layout, max_open: MAX_OPEN, ..settings() };
        set.classes[0].min_coverage = scenario.min_coverage;
        let nodes: Vec<DataNode> = (0..scenario.servers).map(DataNode::new).collect();
        let records: Vec<EndpointRecord> = nodes.iter().map(|n| n.record).collect();
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let mut weights: Vec<f64> = (0..scenario.coordinators).map(|_| uneven_weight(&mut rng)).collect();
        weights[0] = weights[0].max(0.5); // Not all are idle.
        let queries = scenario.load * scenario.capacity() * f64::from(scenario.servers) / 35.0;
        let per_weight = queries / weights.iter().sum::<f64>();
        let served = weights.iter().zip(0..).map(|(weight, n)| {
            let coordinator = Coordinator::new(&set, scenario.seed << 16 | n, &records);
            let rate = weight * per_weight;
            ServedCoordinator { coordinator, rate, next: START + time_to_next(&mut rng, rate) }
        });
        let served = served.collect();
        Self { scenario, set, served, nodes, rng }
    }

    /// One step: these servers restart, of which all coordinators are notified at once, and these
    /// coordinators do.
    fn step(&mut self, now: Nanos, restarted: &[u32], fresh: &[usize]) {
        for &server in restarted {
            self.nodes[server as usize].restart(now);
        }
        let updates: Vec<EndpointRecord> = restarted.iter().map(|&s| self.nodes[s as usize].record).collect();
        for &n in fresh {
            let records: Vec<EndpointRecord> = self.nodes.iter().map(|n| n.record).collect();
            let seed = self.rng.u64(..);
            self.served[n].coordinator = Coordinator::started_at(now, &self.set, seed, &records);
        }
        let (nodes, rng, slow_start, work) =
            (&mut self.nodes, &mut self.rng, self.set.slow_start, self.scenario.work);
        for served in &mut self.served {
            let mut shards = Vec::new();
            if served.next <= now {
                served.next += time_to_next(rng, served.rate);
                shards.extend((0..rng.u32(10..=60)).map(|_| ShardId(rng.u32(0..4 * self.scenario.servers))));
            }
            if shards.is_empty() && updates.is_empty() && !served.coordinator.due(now) {
                continue;
            }
            let update = (!updates.is_empty()).then(|| Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Delta,
                records: updates.clone(),
            });
            served.coordinator.round_at(now, update.into_iter().collect(), &shards, |server, timeout| {
                let (ends, outcome) =
                    nodes[server.0 as usize].serve(&slow_start, now, work * (0.5 + rng.f64()));
                if ends > now + timeout {
                    (now + timeout, Outcome::TimedOut)
                } else {
                    (ends, outcome)
                }
            });
        }
    }

    fn run(&mut self, restarts: &[(Nanos, u32)], fresh: &[(Nanos, usize)], end: Nanos) {
        for now in (START..end).step_by(STEP as usize) {
            let due = |at: Nanos| now <= at && at < now + STEP;
            let restarted: Vec<u32> = restarts.iter().filter(|r| due(r.0)).map(|r| r.1).collect();
            let fresh: Vec<usize> = fresh.iter().filter(|f| due(f.0)).map(|f| f.1).collect();
            self.step(now, &restarted, &fresh);
        }
    }
}

impl Scenario {
    /// Parts a second that one warm server does.
    fn capacity(&self) -> f64 {
        CORES as f64 / self.work * 1e9
    }

    /// A tenth to a half of the servers restart; at every other seed a tenth of the coordinators, too.
    /// Returns the fullest window of all.
    fn fullest_window(self) -> OverloadWindow {
        let mut simulation = Simulation::new(self);
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        let mut servers: Vec<u32> = (0..self.servers).collect();
        rng.shuffle(&mut servers);
        servers.truncate((f64::from(self.servers) * (0.1 + 0.4 * rng.f64())).ceil() as usize);
        let moment = |rng: &mut fastrand::Rng| START + WARM_UP + rng.u64(0..RESTARTS);
        let restarts: Vec<(Nanos, u32)> = servers.iter().map(|&s| (moment(&mut rng), s)).collect();
        let tenth = if self.seed % 2 == 1 { self.coordinators.div_ceil(10) } else { 0 };
        let fresh: Vec<(Nanos, usize)> = (0..tenth as usize).map(|n| (moment(&mut rng), n)).collect();
        let slow_start = simulation.set.slow_start;
        simulation.run(&restarts, &fresh, START + WARM_UP + RESTARTS + slow_start.warm_up_duration);
        let windows = simulation.nodes.iter().map(|n| n.fullest_window(&slow_start, self.capacity()));
        windows.max_by(|a, b| a.share().total_cmp(&b.share())).unwrap()
    }
}

/// A weight of mean 1 and as much spread, log-normal; one in ten is idle.
fn uneven_weight(rng: &mut fastrand::Rng) -> f64 {
    let sigma = 2f64.ln().sqrt();
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    if rng.u32(0..10) == 0 {
        0.0
    } else {
        (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// How long until the next of so many events a second.
fn time_to_next(rng: &mut fastrand::Rng, rate: f64) -> Nanos {
    if rate > 0.0 {
        (-(1.0 - rng.f64()).ln() / rate * 1e9) as Nanos
    } else {
        Nanos::MAX / 2
    }
}

/// Runs each fleet at this load, with parts of about so much work, and says what was found; no window may be
/// over its allowance, and each has at least so many parts.
fn assert_no_window_over_allowance(load: f64, least_work: f64, least_parts: usize) {
    let mut over = Vec::new();
    for coordinators in FLEETS {
        let mut fullest = OverloadWindow::default();
        for seed in SEEDS {
            let mut rng = fastrand::Rng::with_seed(seed);
            let servers = SERVERS[seed as usize % SERVERS.len()];
            let work = least_work * (1.0 + 0.75 * rng.f64());
            let min_coverage = if seed % 3 == 2 { 0.5 } else { 1.0 };
            let scenario = Scenario { coordinators, servers, work, load, min_coverage, seed };
            let window = scenario.fullest_window();
            if window.share() > fullest.share() {
                fullest = window;
            }
            if window.share() > 1.0 {
                over.push((scenario, window));
            }
        }
        println!("{coordinators} coordinators at load {load}: {fullest:?}");
        assert!(fullest.parts > least_parts, "servers in slow start get a share");
    }
    assert!(over.is_empty(), "{} runs are over the allowance: {over:#?}", over.len());
}

/// Guards the budget of a server in slow start where each coordinator knows its own traffic only, and these
/// differ.
#[test]
fn coordinators_with_uneven_traffic_together_keep_a_servers_slow_start_budget() {
    for load in [0.5, 0.8] {
        assert_no_window_over_allowance(load, WORK, 5);
    }
}

/// The same where a server in slow start bears a few calls only, in its first span fewer than thirty.
#[test]
fn coordinators_together_keep_the_slow_start_budget_of_a_small_server() {
    for work in [4.0 * WORK, 10.0 * WORK] {
        for load in [0.5, 0.8, 1.5] {
            assert_no_window_over_allowance(load, work, 0);
        }
    }
}

/// The same where servers wear themselves out and reject parts: what is sent again counts, too.
#[test]
fn coordinators_together_keep_a_servers_slow_start_budget_under_overload() {
    assert_no_window_over_allowance(1.5, WORK, 5);
}

/// Guards against a budget that lies unused where many coordinators each have a small share of it: a server
/// in slow start beside three warm holders of each of its shards gets at least half of what the coordinators'
/// budget comes to.
#[test]
fn a_slow_start_budget_is_used_whatever_the_number_of_coordinators() {
    let mut unused = Vec::new();
    for coordinators in FLEETS {
        let (mut sent, mut budget) = (0, 0.0);
        for seed in SEEDS {
            let scenario = Scenario {
                coordinators,
                servers: MANY_SERVERS,
                work: 25e6,
                load: 0.5,
                min_coverage: 1.0,
                seed,
            };
            let mut simulation = Simulation::new(scenario);
            let slow_start = simulation.set.slow_start;
            let restart = START + WARM_UP;
            simulation.run(&[(restart, 0)], &[], restart + slow_start.warm_up_duration / 2);
            sent += simulation.nodes[0].reached.len();
            // Over its first half it is as warm on average as at a quarter.
            let capacity_ratio =
                slow_start.initial_capacity_ratio + (1.0 - slow_start.initial_capacity_ratio) / 4.0;
            let mean = scenario.load * scenario.capacity() * slow_start.warm_up_duration as f64 / 2.0 / 1e9;
            budget += 0.75 * slow_start.overload_multiple * capacity_ratio * mean;
        }
        let share = f64::from(sent as u32) / budget;
        println!(
            "{coordinators} coordinators: {sent} parts at the server in slow start, {share:.2} of the budget"
        );
        if share < 0.5 {
            unused.push((coordinators, share));
        }
    }
    assert!(unused.is_empty(), "coordinators and the share of the budget that they use: {unused:.2?}");
}
