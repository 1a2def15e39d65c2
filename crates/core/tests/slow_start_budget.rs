//! The load that a fleet of independent coordinators sends to data nodes in slow start: in total never more than their
//! allowance, and not much less.

mod common;

use common::*;
use curlewdeck_core::api::*;
use std::collections::VecDeque;
use std::fmt;
use std::ops::Range;

const STEP: Nanos = 5 * MS;
const CORES: usize = 2;
/// A data node rejects parts beyond this queue length.
const MAX_QUEUED_PARTS: usize = 20;
/// Limit on the open queries and parts of a coordinator.
const MAX_OPEN: usize = 200;
const FLEETS: [u32; 4] = [1, 3, 30, 320];
/// Numbers of data nodes in a fleet, by seed.
const SERVERS: [u32; 4] = [12, 16, 10, 20];
/// With this many data nodes, each gets the parts of a query one at a time, and each coordinator gets a query only
/// every few seconds.
const MANY_SERVERS: u32 = 60;
/// Seeds of the runs of each fleet. Runs without optimization take eight times as long, so there is only one of them,
/// which also restarts coordinators.
const SEEDS: Range<u64> = if cfg!(debug_assertions) { 1..2 } else { 0..4 };
/// The smallest mean work of a part, in nanoseconds.
const MIN_MEAN_WORK: f64 = 20e6;
/// Time until the first restarts of data nodes. It lets all coordinators measure their traffic first.
const TIME_BEFORE_RESTARTS: Nanos = 6_000 * MS;
/// The restarts are spread over this time.
const RESTART_SPREAD: Nanos = 4_000 * MS;

/// A simulated data node: parts queue for a core, and a data node in slow start is slower.
struct DataNode {
    record: EndpointRecord,
    /// Times at which the cores become idle.
    cores: [Nanos; CORES],
    /// Start times of the queued parts.
    queued: VecDeque<Nanos>,
    /// Arrival times of all parts since the last start.
    arrivals: Vec<Nanos>,
}

impl DataNode {
    fn new(server: u32) -> Self {
        let record = EndpointRecord { partition_group: server, ..record(server, EndpointState::Active) };
        Self { record, cores: [0; CORES], queued: VecDeque::new(), arrivals: Vec::new() }
    }

    /// Returns the share of the full capacity that is available at `now`; 1 if the data node has not restarted.
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
        self.queued.clear();
        self.arrivals.clear();
    }

    /// Accepts or rejects a part with this amount of work. Returns the time and the outcome of its attempt's end.
    fn serve(&mut self, slow_start: &SlowStartPolicy, now: Nanos, work: f64) -> (Nanos, Outcome) {
        self.arrivals.push(now);
        self.queued.retain(|&starts_at| starts_at > now);
        let core = self.cores.iter_mut().min().unwrap();
        if *core > now && self.queued.len() >= MAX_QUEUED_PARTS {
            return (now, Outcome::Rejected);
        }
        let starts_at = now.max(*core);
        if starts_at > now {
            self.queued.push_back(starts_at);
        }
        let capacity_ratio = self.capacity_ratio(slow_start, starts_at);
        let ends_at = starts_at + (work / capacity_ratio) as Nanos;
        *self.cores.iter_mut().min().unwrap() = ends_at;
        (ends_at, Outcome::Success)
    }

    /// Returns the sliding window that uses the largest share of its allowance. Only parts that arrived during slow
    /// start count, since there is no allowance afterwards.
    fn fullest_window(&self, slow_start: &SlowStartPolicy, capacity: f64) -> OverloadWindow {
        let (started, mut from) = (self.record.started_at, 0);
        let mut fullest = OverloadWindow::default();
        for (last, &at) in self.arrivals.iter().enumerate() {
            if started == 0 || at >= started + slow_start.warm_up_duration {
                break;
            }
            // The earliest window that ends with this part has the smallest allowance.
            let begin = started.max((at + 1).saturating_sub(slow_start.overload_duration));
            from += self.arrivals[from..].iter().take_while(|&&t| t < begin).count();
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

/// The load on a data node in slow start over one overload window.
#[derive(Clone, Copy, Default)]
struct OverloadWindow {
    /// Number of parts that arrived.
    parts: usize,
    /// Number of parts that the slow start rule allows; N in messages.
    budget: f64,
    /// Age of the data node at the beginning of the window.
    age: Nanos,
}

impl fmt::Debug for OverloadWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (share, parts, n, age) = (self.share(), self.parts, self.budget, self.age / MS);
        write!(f, "{share:.2} of the allowance, {parts} parts where N is {n:.1}, {age} ms old")
    }
}

impl OverloadWindow {
    /// Returns the parts that arrived as a share of the allowance: the budget plus a tolerance for random variation.
    fn share(&self) -> f64 {
        self.parts as f64 / (self.budget + 2.0 * self.budget.sqrt() + 2.0)
    }
}

/// A coordinator and its clients.
struct ServedCoordinator {
    coordinator: Coordinator,
    /// Queries a second.
    rate: f64,
    next_query_at: Nanos,
}

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    coordinators: u32,
    servers: u32,
    /// Mean work of a part, in nanoseconds.
    work: f64,
    /// Offered load as a share of the capacity of all servers when warm.
    load: f64,
    min_coverage: f64,
    seed: u64,
}

struct Simulation {
    scenario: Scenario,
    settings: Settings,
    served: Vec<ServedCoordinator>,
    nodes: Vec<DataNode>,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let layout =
            ShardLayout { partition_groups: scenario.servers, groups_per_shard: 4, ..settings().layout };
        let mut settings =
            Settings { coordinators: scenario.coordinators, layout, max_open: MAX_OPEN, ..settings() };
        settings.classes[0].min_coverage = scenario.min_coverage;
        let nodes: Vec<DataNode> = (0..scenario.servers).map(DataNode::new).collect();
        let records: Vec<EndpointRecord> = nodes.iter().map(|n| n.record).collect();
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let mut weights: Vec<f64> = (0..scenario.coordinators).map(|_| uneven_weight(&mut rng)).collect();
        weights[0] = weights[0].max(0.5); // At least one coordinator has traffic.
        let queries = scenario.load * scenario.capacity() * f64::from(scenario.servers) / 35.0;
        let per_weight = queries / weights.iter().sum::<f64>();
        let served = weights.iter().zip(0..).map(|(weight, n)| {
            let coordinator = Coordinator::new(&settings, scenario.seed << 16 | n, &records);
            let rate = weight * per_weight;
            ServedCoordinator { coordinator, rate, next_query_at: START + time_to_next(&mut rng, rate) }
        });
        let served = served.collect();
        Self { scenario, settings, served, nodes, rng }
    }

    /// Runs one step: restarts these servers, which all coordinators learn immediately, and these coordinators.
    fn step(&mut self, now: Nanos, restarted_servers: &[u32], restarted_coordinators: &[usize]) {
        for &server in restarted_servers {
            self.nodes[server as usize].restart(now);
        }
        let updates: Vec<EndpointRecord> =
            restarted_servers.iter().map(|&s| self.nodes[s as usize].record).collect();
        for &n in restarted_coordinators {
            let records: Vec<EndpointRecord> = self.nodes.iter().map(|n| n.record).collect();
            let seed = self.rng.u64(..);
            self.served[n].coordinator = Coordinator::started_at(now, &self.settings, seed, &records);
        }
        let (nodes, rng, slow_start, work) =
            (&mut self.nodes, &mut self.rng, self.settings.slow_start, self.scenario.work);
        for served in &mut self.served {
            let mut shards = Vec::new();
            if served.next_query_at <= now {
                served.next_query_at += time_to_next(rng, served.rate);
                shards.extend((0..rng.u32(10..=60)).map(|_| ShardId(rng.u32(0..4 * self.scenario.servers))));
            }
            if shards.is_empty() && updates.is_empty() && !served.coordinator.is_due(now) {
                continue;
            }
            let update = (!updates.is_empty()).then(|| Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Delta,
                records: updates.clone(),
            });
            served.coordinator.round_at(now, update.into_iter().collect(), &shards, |server, timeout| {
                let (ends_at, outcome) =
                    nodes[server.0 as usize].serve(&slow_start, now, work * (0.5 + rng.f64()));
                if ends_at > now + timeout {
                    (now + timeout, Outcome::TimedOut)
                } else {
                    (ends_at, outcome)
                }
            });
        }
    }

    fn run(&mut self, server_restarts: &[(Nanos, u32)], coordinator_restarts: &[(Nanos, usize)], end: Nanos) {
        for now in (START..end).step_by(STEP as usize) {
            let due = |at: Nanos| now <= at && at < now + STEP;
            let servers: Vec<u32> = server_restarts.iter().filter(|r| due(r.0)).map(|r| r.1).collect();
            let coordinators: Vec<usize> =
                coordinator_restarts.iter().filter(|r| due(r.0)).map(|r| r.1).collect();
            self.step(now, &servers, &coordinators);
        }
    }
}

impl Scenario {
    /// Returns the number of parts a second that a warm server can serve.
    fn capacity(&self) -> f64 {
        CORES as f64 / self.work * 1e9
    }

    /// Restarts a tenth to a half of the servers and, with odd seeds, a tenth of the coordinators. Returns the fullest
    /// window of all servers.
    fn fullest_window(self) -> OverloadWindow {
        let mut simulation = Simulation::new(self);
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        let mut servers: Vec<u32> = (0..self.servers).collect();
        rng.shuffle(&mut servers);
        servers.truncate((f64::from(self.servers) * (0.1 + 0.4 * rng.f64())).ceil() as usize);
        let moment = |rng: &mut fastrand::Rng| START + TIME_BEFORE_RESTARTS + rng.u64(0..RESTART_SPREAD);
        let server_restarts: Vec<(Nanos, u32)> = servers.iter().map(|&s| (moment(&mut rng), s)).collect();
        let restarted_coordinators = if self.seed % 2 == 1 { self.coordinators.div_ceil(10) } else { 0 };
        let coordinator_restarts: Vec<(Nanos, usize)> =
            (0..restarted_coordinators as usize).map(|n| (moment(&mut rng), n)).collect();
        let slow_start = simulation.settings.slow_start;
        let end = START + TIME_BEFORE_RESTARTS + RESTART_SPREAD + slow_start.warm_up_duration;
        simulation.run(&server_restarts, &coordinator_restarts, end);
        let windows = simulation.nodes.iter().map(|n| n.fullest_window(&slow_start, self.capacity()));
        windows.max_by(|a, b| a.share().total_cmp(&b.share())).unwrap()
    }
}

/// Returns a random weight: 0 for one in ten, otherwise log-normal with mean 1 and standard deviation 1.
fn uneven_weight(rng: &mut fastrand::Rng) -> f64 {
    let sigma = 2f64.ln().sqrt();
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    if rng.u32(0..10) == 0 {
        0.0
    } else {
        (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// Returns a random time to the next event at a mean of `rate` events a second.
fn time_to_next(rng: &mut fastrand::Rng, rate: f64) -> Nanos {
    if rate > 0.0 {
        (-(1.0 - rng.f64()).ln() / rate * 1e9) as Nanos
    } else {
        Nanos::MAX / 2
    }
}

/// Runs each fleet at this load, with mean work of 1 to 1.75 times `min_work`, and prints the fullest windows. Asserts
/// that no window exceeds its allowance and that the fullest window of each fleet has more than `min_parts` parts.
fn assert_no_window_over_allowance(load: f64, min_work: f64, min_parts: usize) {
    let mut over = Vec::new();
    for coordinators in FLEETS {
        let mut fullest = OverloadWindow::default();
        for seed in SEEDS {
            let mut rng = fastrand::Rng::with_seed(seed);
            let servers = SERVERS[seed as usize % SERVERS.len()];
            let work = min_work * (1.0 + 0.75 * rng.f64());
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
        assert!(fullest.parts > min_parts, "servers in slow start got too few parts");
    }
    assert!(over.is_empty(), "{} runs exceed the allowance: {over:#?}", over.len());
}

/// Coordinators with different traffic, each of which knows only its own, must not exceed the slow start budget of a
/// server in total.
#[test]
fn coordinators_with_uneven_traffic_together_keep_a_servers_slow_start_budget() {
    for load in [0.5, 0.8] {
        assert_no_window_over_allowance(load, MIN_MEAN_WORK, 5);
    }
}

/// The same for servers whose slow start budget is only a few calls, fewer than 30 in the first window.
#[test]
fn coordinators_together_keep_the_slow_start_budget_of_a_small_server() {
    for work in [4.0 * MIN_MEAN_WORK, 10.0 * MIN_MEAN_WORK] {
        for load in [0.5, 0.8, 1.5] {
            assert_no_window_over_allowance(load, work, 0);
        }
    }
}

/// The same for overloaded servers that reject parts: retries count towards the budget too.
#[test]
fn coordinators_together_keep_a_servers_slow_start_budget_under_overload() {
    assert_no_window_over_allowance(1.5, MIN_MEAN_WORK, 5);
}

/// The budget must not stay unused when many coordinators each have a small share of it. A server in slow start, with
/// three warm replicas of each of its shards, gets at least half of the coordinators' total budget.
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
            let slow_start = simulation.settings.slow_start;
            let restart = START + TIME_BEFORE_RESTARTS;
            simulation.run(&[(restart, 0)], &[], restart + slow_start.warm_up_duration / 2);
            sent += simulation.nodes[0].arrivals.len();
            // The mean capacity ratio over the first half of the warm-up is the ratio at a quarter of it.
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
    assert!(
        unused.is_empty(),
        "numbers of coordinators and the share of the budget that they used: {unused:.2?}"
    );
}
