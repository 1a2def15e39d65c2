//! Seeded soak test of the drain rule. Coordinator processes go through a random series of drains, removals and
//! restarts of data nodes, faults of discovery, consecutive moves by SIGHUP, SIGTERM with clients that stay connected,
//! and many idle clients. The drain rule must hold, no process may crash, and queries must be answered at the end.
//!
//! `SOAK_SEEDS=100..150 cargo test --test drain_soak` runs other seeds. A failed run prints its seed.

mod harness;

use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use harness::discovery_faults::CallFault;
use harness::drain_check::{Delivery, NodeState};
use harness::drain_trial::{assert_all_pass_with_limit, Trial, TrialResult, BOTH_DELIVERIES};
use harness::faulty_discovery::FaultyDiscovery;
use harness::soak_seeds;

/// Seeds that are run without `SOAK_SEEDS`.
const SEEDS: Range<u64> = 1..9;
/// Most runs at once; more of them delay each other beyond the tolerance of the drain rule.
const MAX_CONCURRENT_TRIALS: usize = 4;
/// Data nodes whose state changes; the others stay up.
const CHANGING_NODES: [&str; 2] = ["changes-1", "changes-2"];
const ALL_NODES: [&str; 4] = ["changes-1", "changes-2", "stays-1", "stays-2"];
/// Numbers of coordinators in the settings; calls are spread more widely in larger fleets.
const FLEETS: [u32; 4] = [1, 3, 12, 44];
/// Time after the last fault for the coordinator to recover.
const RECOVERY: Duration = ms(10_000);
/// Shortest time from SIGTERM to SIGKILL: 3 s for the longest deadline, plus 0.7 s.
const TERM_TO_KILL: Duration = ms(3700);
/// Descriptor limit of a coordinator in runs with idle clients, and the number of these clients.
const CROWDED_SOCKET_LIMIT: u32 = 256;
const IDLE_CLIENTS: u32 = 220;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// State of one run.
struct Soak {
    rng: Rng,
    trial: Trial,
    delivery: Delivery,
    states: [NodeState; CHANGING_NODES.len()],
    /// Number of the running coordinator, and its discovery service.
    number: usize,
    service: Arc<FaultyDiscovery>,
    idle_clients: Vec<TcpStream>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let delivery = BOTH_DELIVERIES[rng.usize(..BOTH_DELIVERIES.len())];
        let fleet = FLEETS[rng.usize(..FLEETS.len())];
        let crowded = rng.u32(..3) == 0;
        let name = format!("seed {seed}, fleet of {fleet}{}", if crowded { ", idle clients" } else { "" });
        let mut trial = Trial::new(&name, delivery, &ALL_NODES);
        trial.fleet = fleet;
        if crowded {
            trial.sockets = CROWDED_SOCKET_LIMIT;
        }
        let service = trial.service();
        let number = trial.start(&service);
        trial.wait_until_used(&ALL_NODES);
        let idle_clients =
            if crowded { trial.connect_idle_clients(number, IDLE_CLIENTS) } else { Vec::new() };
        let states = [NodeState::Up; CHANGING_NODES.len()];
        Self { rng, trial, delivery, states, number, service, idle_clients }
    }

    fn span(&mut self, span: Range<u64>) -> Duration {
        ms(self.rng.u64(span))
    }

    fn pause(&mut self, span: Range<u64>) {
        let span = self.span(span);
        thread::sleep(span);
    }

    /// Picks the next change of a random data node: a drain, a removal or a restart.
    fn next_change(&mut self) -> (&'static str, NodeState) {
        let node = self.rng.usize(..CHANGING_NODES.len());
        let next = match self.states[node] {
            NodeState::Up if self.rng.bool() => NodeState::Draining,
            NodeState::Up | NodeState::Draining => NodeState::Removed,
            NodeState::Removed => NodeState::Up,
        };
        self.states[node] = next;
        (CHANGING_NODES[node], next)
    }

    fn change(&mut self) {
        match self.next_change() {
            (uid, NodeState::Up) => self.trial.catalog.restart(uid),
            (uid, state) => self.trial.catalog.set(uid, state),
        }
    }

    fn end_watches_without_delivering(&mut self) {
        let (uid, state) = self.next_change();
        self.service.end_watches_without_delivering(|catalog| match state {
            NodeState::Up => catalog.restart(uid),
            state => catalog.set(uid, state),
        });
    }

    /// Delays, rejects, breaks or ignores calls for a while. With pushed lists the agent either answers at once or is
    /// unavailable.
    fn fail_calls(&mut self) {
        let late = self.span(200..4500);
        let faults = [
            CallFault::HeadDelayed(late),
            CallFault::BodyDelayed(late),
            CallFault::Unavailable,
            CallFault::Reset,
            CallFault::HalfAnswer,
            CallFault::NoAnswer,
        ];
        let fault = match self.delivery {
            Delivery::OnRequest => faults[self.rng.usize(..faults.len())],
            Delivery::Pushed => CallFault::Unavailable,
        };
        self.service.faults(|f| f.all_calls = Some(fault));
        match self.rng.u32(..3) {
            0 => self.end_watches_without_delivering(),
            1 => self.service.silence_watches(),
            _ => self.service.end_connections(),
        }
        self.change();
        self.pause(500..7000);
        self.service.faults(|f| f.all_calls = None);
    }

    /// Takes discovery offline for a while, with a change during the outage and, in some runs, another right at its
    /// end.
    fn interrupt_discovery(&mut self) {
        self.service.take_offline();
        self.pause(200..4000);
        self.change();
        self.pause(200..4000);
        self.service.bring_online();
        if self.rng.bool() {
            self.change();
        }
    }

    /// Moves the coordinator to new services several times in succession.
    fn move_between_services(&mut self) {
        for _ in 0..self.rng.u32(1..4) {
            let next = self.trial.service();
            if self.delivery == Delivery::OnRequest && self.rng.bool() {
                let late = self.span(200..2500);
                next.faults(|f| f.next_calls.push_back(CallFault::HeadDelayed(late)));
            }
            self.trial.move_to_service(self.number, &next);
            self.service = next;
            self.change();
            self.pause(100..1500);
        }
    }

    /// Restarts the coordinator with SIGTERM, while clients stay connected until SIGKILL.
    fn restart_coordinator(&mut self) {
        self.trial.terminate(self.number);
        thread::sleep(TERM_TO_KILL / 2);
        self.change();
        thread::sleep(TERM_TO_KILL / 2);
        self.trial.kill(self.number);
        self.idle_clients.clear();
        self.pause(50..1500);
        self.number = self.trial.start_with_first_list(&self.service);
    }

    fn step(&mut self) {
        match self.rng.u32(..8) {
            0 | 1 => self.change(),
            2 => self.end_watches_without_delivering(),
            3 => self.fail_calls(),
            4 => self.service.silence_watches(),
            5 => self.interrupt_discovery(),
            6 => self.move_between_services(),
            _ => self.restart_coordinator(),
        }
        self.pause(100..1500);
    }
}

const STEPS: Range<u32> = 5..9;

fn soak(seed: u64) -> TrialResult {
    let mut soak = Soak::start(seed);
    for _ in 0..soak.rng.u32(STEPS) {
        soak.step();
    }
    soak.trial.finish_after(RECOVERY)
}

/// Catches violations of the drain rule in combinations of faults that no single test covers.
#[test]
fn drain_rule_holds_under_random_faults() {
    assert_all_pass_with_limit(MAX_CONCURRENT_TRIALS, soak_seeds(SEEDS).collect(), soak);
}
