//! What a fleet of coordinators that share nothing sends the data nodes that have just started: together never more
//! than these bear, and not much less than they could.

mod common;

use common::*;
use curlewdeck_core::api::*;
use std::collections::VecDeque;
use std::fmt;
use std::ops::Range;

const STEP: Nanos = 5 * MS;
const CORES: usize = 2;
/// Parts that wait at a data node; beyond that it turns them away.
const WAITING_ROOM: usize = 20;
/// Queries and parts that a coordinator holds.
const MAX_OPEN: usize = 200;
const FLEETS: [u32; 4] = [1, 3, 30, 320];
/// Data nodes of a fleet, seed by seed.
const SERVERS: [u32; 4] = [12, 16, 10, 20];
/// So many that a query's parts come to one of them one by one, and a query to each coordinator every few seconds.
const MANY_SERVERS: u32 = 60;
/// Runs of each fleet. Without optimization they take eight times as long: one that also restarts coordinators.
const SEEDS: Range<u64> = if cfg!(debug_assertions) { 1..2 } else { 0..4 };
/// The least mean work of a part, in nanoseconds.
const WORK: f64 = 20e6;
/// Data nodes restart after so long, when all coordinators know their traffic, within such a span.
const WARM_UP: Nanos = 6_000 * MS;
const RESTARTS: Nanos = 4_000 * MS;

/// One data node: parts wait for a core, and a cold one works the slower.
struct DataNode {
    entry: EndpointRecord,
    cores: [Nanos; CORES],
    /// When the parts that wait begin.
    waiting: VecDeque<Nanos>,
    /// When parts reached it since it started.
    reached: Vec<Nanos>,
}

impl DataNode {
    fn new(server: u32) -> Self {
        let entry = EndpointRecord { partition_group: server, ..entry(server, EndpointState::Active) };
        Self { entry, cores: [0; CORES], waiting: VecDeque::new(), reached: Vec::new() }
    }

    /// Share of its capacity that it has; all of it if it has not restarted.
    fn warmth(&self, cold: &SlowStartPolicy, now: Nanos) -> f64 {
        if self.entry.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.entry.started_at) as f64 / cold.warm_up_duration as f64;
        (cold.initial_capacity_ratio + (1.0 - cold.initial_capacity_ratio) * age).min(1.0)
    }

    fn restart(&mut self, now: Nanos) {
        self.entry.started_at = now;
        self.cores = [now; CORES];
        self.waiting.clear();
        self.reached.clear();
    }

    /// Takes a part of so much work; returns when its attempt ends, and how.
    fn serve(&mut self, cold: &SlowStartPolicy, now: Nanos, work: f64) -> (Nanos, Outcome) {
        self.reached.push(now);
        self.waiting.retain(|&begins| begins > now);
        let core = self.cores.iter_mut().min().unwrap();
        if *core > now && self.waiting.len() >= WAITING_ROOM {
            return (now, Outcome::Rejected);
        }
        let begins = now.max(*core);
        if begins > now {
            self.waiting.push_back(begins);
        }
        let warmth = self.warmth(cold, begins);
        let ends = begins + (work / warmth) as Nanos;
        *self.cores.iter_mut().min().unwrap() = ends;
        (ends, Outcome::Success)
    }

    /// The sliding window in which the most of its allowance reached it, of the parts that found it cold: once warm it
    /// has no allowance.
    fn fullest_window(&self, cold: &SlowStartPolicy, capacity: f64) -> Window {
        let (started, mut from) = (self.entry.started_at, 0);
        let mut fullest = Window::default();
        for (last, &at) in self.reached.iter().enumerate() {
            if started == 0 || at >= started + cold.warm_up_duration {
                break;
            }
            // The earliest window that ends with this part: it is allowed the least.
            let begin = started.max((at + 1).saturating_sub(cold.overload_duration));
            from += self.reached[from..].iter().take_while(|&&t| t < begin).count();
            let budget =
                cold.overload_multiple * self.warmth(cold, begin) * capacity * cold.overload_duration as f64
                    / 1e9;
            let window = Window { parts: last + 1 - from, budget, age: begin - started };
            if window.share() > fullest.share() {
                fullest = window;
            }
        }
        fullest
    }
}

/// What reached a cold data node in a window that begins at this age of it, and N, what it bears then.
#[derive(Clone, Copy, Default)]
struct Window {
    parts: usize,
    budget: f64,
    age: Nanos,
}

impl fmt::Debug for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (share, parts, n, age) = (self.share(), self.parts, self.budget, self.age / MS);
        write!(f, "{share:.2} of the allowance, {parts} parts where N is {n:.1}, {age} ms old")
    }
}

impl Window {
    /// What reached it, as a share of what it bears and what is put down to chance.
    fn share(&self) -> f64 {
        self.parts as f64 / (self.budget + 2.0 * self.budget.sqrt() + 2.0)
    }
}

/// A coordinator and its clients.
struct Served {
    coordinator: Coordinator,
    /// Its queries a second, and when the next one comes.
    rate: f64,
    next: Nanos,
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
struct Scene {
    coordinators: u32,
    servers: u32,
    /// Mean work of a part, in nanoseconds.
    work: f64,
    /// Offered load, as a share of what all servers can do warm.
    load: f64,
    /// Least share of a query that is worth an answer.
    floor: f64,
    seed: u64,
}

struct Simulation {
    scene: Scene,
    set: Settings,
    served: Vec<Served>,
    nodes: Vec<DataNode>,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new(scene: Scene) -> Self {
        let layout =
            ShardLayout { partition_groups: scene.servers, groups_per_shard: 4, ..settings().layout };
        let mut set = Settings { coordinators: scene.coordinators, layout, max_open: MAX_OPEN, ..settings() };
        set.classes[0].min_coverage = scene.floor;
        let nodes: Vec<DataNode> = (0..scene.servers).map(DataNode::new).collect();
        let entries: Vec<EndpointRecord> = nodes.iter().map(|n| n.entry).collect();
        let mut rng = fastrand::Rng::with_seed(scene.seed);
        let mut weights: Vec<f64> = (0..scene.coordinators).map(|_| uneven(&mut rng)).collect();
        weights[0] = weights[0].max(0.5); // Not all are idle.
        let queries = scene.load * scene.capacity() * f64::from(scene.servers) / 35.0;
        let per_weight = queries / weights.iter().sum::<f64>();
        let served = weights.iter().zip(0..).map(|(weight, n)| {
            let coordinator = Coordinator::new(&set, scene.seed << 16 | n, &entries);
            let rate = weight * per_weight;
            Served { coordinator, rate, next: START + pause(&mut rng, rate) }
        });
        let served = served.collect();
        Self { scene, set, served, nodes, rng }
    }

    /// One step: these servers restart, as all coordinators are told at once, and these coordinators do.
    fn step(&mut self, now: Nanos, restarted: &[u32], fresh: &[usize]) {
        for &server in restarted {
            self.nodes[server as usize].restart(now);
        }
        let told: Vec<EndpointRecord> = restarted.iter().map(|&s| self.nodes[s as usize].entry).collect();
        for &n in fresh {
            let entries: Vec<EndpointRecord> = self.nodes.iter().map(|n| n.entry).collect();
            let seed = self.rng.u64(..);
            self.served[n].coordinator = Coordinator::started_at(now, &self.set, seed, &entries);
        }
        let (nodes, rng, cold, work) = (&mut self.nodes, &mut self.rng, self.set.slow_start, self.scene.work);
        for served in &mut self.served {
            let mut shards = Vec::new();
            if served.next <= now {
                served.next += pause(rng, served.rate);
                shards.extend((0..rng.u32(10..=60)).map(|_| ShardId(rng.u32(0..4 * self.scene.servers))));
            }
            if shards.is_empty() && told.is_empty() && !served.coordinator.due(now) {
                continue;
            }
            let news = (!told.is_empty())
                .then(|| Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: told.clone() });
            served.coordinator.round_at(now, news.into_iter().collect(), &shards, |server, within| {
                let (ends, outcome) = nodes[server.0 as usize].serve(&cold, now, work * (0.5 + rng.f64()));
                if ends > now + within {
                    (now + within, Outcome::TimedOut)
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

impl Scene {
    /// Parts a second that one warm server does.
    fn capacity(&self) -> f64 {
        CORES as f64 / self.work * 1e9
    }

    /// A tenth to a half of the servers restart; at every other seed a tenth of the coordinators, too. Returns the
    /// fullest window of all.
    fn fullest_window(self) -> Window {
        let mut simulation = Simulation::new(self);
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        let mut servers: Vec<u32> = (0..self.servers).collect();
        rng.shuffle(&mut servers);
        servers.truncate((f64::from(self.servers) * (0.1 + 0.4 * rng.f64())).ceil() as usize);
        let moment = |rng: &mut fastrand::Rng| START + WARM_UP + rng.u64(0..RESTARTS);
        let restarts: Vec<(Nanos, u32)> = servers.iter().map(|&s| (moment(&mut rng), s)).collect();
        let tenth = if self.seed % 2 == 1 { self.coordinators.div_ceil(10) } else { 0 };
        let fresh: Vec<(Nanos, usize)> = (0..tenth as usize).map(|n| (moment(&mut rng), n)).collect();
        let cold = simulation.set.slow_start;
        simulation.run(&restarts, &fresh, START + WARM_UP + RESTARTS + cold.warm_up_duration);
        let windows = simulation.nodes.iter().map(|n| n.fullest_window(&cold, self.capacity()));
        windows.max_by(|a, b| a.share().total_cmp(&b.share())).unwrap()
    }
}

/// A weight of mean 1 and as much spread, log-normal; one in ten is idle.
fn uneven(rng: &mut fastrand::Rng) -> f64 {
    let sigma = 2f64.ln().sqrt();
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    if rng.u32(0..10) == 0 {
        0.0
    } else {
        (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// How long until the next of so many events a second.
fn pause(rng: &mut fastrand::Rng, rate: f64) -> Nanos {
    if rate > 0.0 {
        (-(1.0 - rng.f64()).ln() / rate * 1e9) as Nanos
    } else {
        Nanos::MAX / 2
    }
}

/// Runs each fleet at this load, with parts of about so much work, and says what was found; no window may be over its
/// allowance, and each has at least so many parts.
fn no_window_is_over(load: f64, least_work: f64, least_parts: usize) {
    let mut over = Vec::new();
    for coordinators in FLEETS {
        let mut fullest = Window::default();
        for seed in SEEDS {
            let mut rng = fastrand::Rng::with_seed(seed);
            let servers = SERVERS[seed as usize % SERVERS.len()];
            let work = least_work * (1.0 + 0.75 * rng.f64());
            let floor = if seed % 3 == 2 { 0.5 } else { 1.0 };
            let scene = Scene { coordinators, servers, work, load, floor, seed };
            let window = scene.fullest_window();
            if window.share() > fullest.share() {
                fullest = window;
            }
            if window.share() > 1.0 {
                over.push((scene, window));
            }
        }
        println!("{coordinators} coordinators at load {load}: {fullest:?}");
        assert!(fullest.parts > least_parts, "cold servers get a share");
    }
    assert!(over.is_empty(), "{} runs are over the allowance: {over:#?}", over.len());
}

/// Guards the budget of a cold server where each coordinator knows its own traffic only, and these differ.
#[test]
fn coordinators_of_uneven_traffic_keep_a_cold_servers_budget_together() {
    for load in [0.5, 0.8] {
        no_window_is_over(load, WORK, 5);
    }
}

/// The same where a cold server bears a few calls only, in its first span fewer than thirty.
#[test]
fn coordinators_keep_the_budget_of_a_small_cold_server_together() {
    for work in [4.0 * WORK, 10.0 * WORK] {
        for load in [0.5, 0.8, 1.5] {
            no_window_is_over(load, work, 0);
        }
    }
}

/// The same where servers wear themselves out and turn parts away: what is sent again counts, too.
#[test]
fn coordinators_keep_a_cold_servers_budget_together_under_overload() {
    no_window_is_over(1.5, WORK, 5);
}

/// Guards against a budget that lies unused where many coordinators each have a small share of it: a cold server beside
/// three warm holders of each of its shards gets at least half of what the coordinators' credit comes to.
#[test]
fn a_cold_servers_budget_is_used_whatever_the_number_of_coordinators() {
    let mut unused = Vec::new();
    for coordinators in FLEETS {
        let (mut sent, mut budget) = (0, 0.0);
        for seed in SEEDS {
            let scene =
                Scene { coordinators, servers: MANY_SERVERS, work: 25e6, load: 0.5, floor: 1.0, seed };
            let mut simulation = Simulation::new(scene);
            let cold = simulation.set.slow_start;
            let restart = START + WARM_UP;
            simulation.run(&[(restart, 0)], &[], restart + cold.warm_up_duration / 2);
            sent += simulation.nodes[0].reached.len();
            // Over its first half it is as warm on average as at a quarter.
            let warmth = cold.initial_capacity_ratio + (1.0 - cold.initial_capacity_ratio) / 4.0;
            let mean = scene.load * scene.capacity() * cold.warm_up_duration as f64 / 2.0 / 1e9;
            budget += 0.75 * cold.overload_multiple * warmth * mean;
        }
        let share = f64::from(sent as u32) / budget;
        println!("{coordinators} coordinators: {sent} parts at the cold server, {share:.2} of the budget");
        if share < 0.5 {
            unused.push((coordinators, share));
        }
    }
    assert!(unused.is_empty(), "coordinators and the share of the budget that they use: {unused:.2?}");
}
