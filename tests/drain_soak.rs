//! A seeded soak of the drain rule: coordinators in processes of their own go through a random series of drains, removals
//! and restarts of data nodes, faults of discovery, moves by SIGHUP in a row, SIGTERM with clients that stay, and crowds
//! of idle clients. Whatever comes, the rule is kept, no process dies, and queries are answered in the end.
//!
//! `SOAK_SEEDS=100..150 cargo test --test drain_soak` plays other seeds. The seed is part of what a broken run prints.

mod harness;

use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use harness::discovery_faults::CallFault;
use harness::drain_check::{Delivery, NodeState};
use harness::drain_trial::{all_pass_beside, Trial, Verdict, BOTH};
use harness::faulty_discovery::FaultyDiscovery;

/// What is played where nobody asks for other seeds.
const SEEDS: Range<u64> = 1..9;
/// Runs side by side: more of them hold each other up for longer than the rule allows for.
const SIDE_BY_SIDE: usize = 4;
/// Data nodes that change; the others stay.
const CHANGING: [&str; 2] = ["changes-1", "changes-2"];
const ALL: [&str; 4] = ["changes-1", "changes-2", "stays-1", "stays-2"];
/// How many coordinators the settings tell of: it spreads their calls.
const FLEETS: [u32; 4] = [1, 3, 12, 44];
/// After the last fault, for all to be well again.
const RECOVERY: Duration = ms(10_000);
/// SIGKILL comes so long after SIGTERM at the earliest: 3 s for the longest deadline, and 0.7 s.
const TERM_TO_KILL: Duration = ms(3700);
/// Descriptors of a coordinator on runs with a crowd, and idle clients that come.
const FEW_SOCKETS: u32 = 256;
const CROWD: u32 = 220;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One run.
struct Soak {
    rng: Rng,
    trial: Trial,
    delivery: Delivery,
    states: [NodeState; CHANGING.len()],
    /// The coordinator that runs, and its service.
    number: usize,
    service: Arc<FaultyDiscovery>,
    crowd: Vec<TcpStream>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let delivery = BOTH[rng.usize(..BOTH.len())];
        let fleet = FLEETS[rng.usize(..FLEETS.len())];
        let crowded = rng.u32(..3) == 0;
        let name = format!("seed {seed}, fleet of {fleet}{}", if crowded { ", crowd" } else { "" });
        let mut trial = Trial::new(&name, delivery, &ALL);
        trial.fleet = fleet;
        if crowded {
            trial.sockets = FEW_SOCKETS;
        }
        let service = trial.service();
        let number = trial.start(&service);
        trial.in_use(&ALL);
        let crowd = if crowded { trial.crowd(number, CROWD) } else { Vec::new() };
        let states = [NodeState::Up; CHANGING.len()];
        Self { rng, trial, delivery, states, number, service, crowd }
    }

    fn span(&mut self, span: Range<u64>) -> Duration {
        ms(self.rng.u64(span))
    }

    fn pause(&mut self, span: Range<u64>) {
        let span = self.span(span);
        thread::sleep(span);
    }

    /// The next change of one data node: it drains, is removed, or has started anew.
    fn next_change(&mut self) -> (&'static str, NodeState) {
        let node = self.rng.usize(..CHANGING.len());
        let next = match self.states[node] {
            NodeState::Up if self.rng.bool() => NodeState::Draining,
            NodeState::Up | NodeState::Draining => NodeState::Removed,
            NodeState::Removed => NodeState::Up,
        };
        self.states[node] = next;
        (CHANGING[node], next)
    }

    fn change(&mut self) {
        match self.next_change() {
            (uid, NodeState::Up) => self.trial.catalog.restart(uid),
            (uid, state) => self.trial.catalog.set(uid, state),
        }
    }

    fn ends_instead_of_telling(&mut self) {
        let (uid, state) = self.next_change();
        self.service.end_watches_instead_of_telling(|catalog| match state {
            NodeState::Up => catalog.restart(uid),
            state => catalog.set(uid, state),
        });
    }

    /// Calls are slow, turned down, broken off or not answered for a while. An agent answers at once or is down.
    fn calls_fail(&mut self) {
        let late = self.span(200..4500);
        let faults = [
            CallFault::HeadDelayed(late),
            CallFault::BodyDelayed(late),
            CallFault::Unavailable,
            CallFault::Reset,
            CallFault::HalfAnswer,
            CallFault::Silent,
        ];
        let fault = match self.delivery {
            Delivery::OnRequest => faults[self.rng.usize(..faults.len())],
            Delivery::Pushed => CallFault::Unavailable,
        };
        self.service.faults(|f| f.all = Some(fault));
        match self.rng.u32(..3) {
            0 => self.ends_instead_of_telling(),
            1 => self.service.silence_watches(),
            _ => self.service.end_connections(),
        }
        self.change();
        self.pause(500..7000);
        self.service.faults(|f| f.all = None);
    }

    /// It is down for a while, and changes are made meanwhile and at its return.
    fn goes_down(&mut self) {
        self.service.go_down();
        self.pause(200..4000);
        self.change();
        self.pause(200..4000);
        self.service.come_back();
        if self.rng.bool() {
            self.change();
        }
    }

    /// Moves in a row.
    fn moves(&mut self) {
        for _ in 0..self.rng.u32(1..4) {
            let next = self.trial.service();
            if self.delivery == Delivery::OnRequest && self.rng.bool() {
                let late = self.span(200..2500);
                next.faults(|f| f.next.push_back(CallFault::HeadDelayed(late)));
            }
            self.trial.move_to(self.number, &next);
            self.service = next;
            self.change();
            self.pause(100..1500);
        }
    }

    /// A planned restart, with clients that stay until the kill.
    fn restarts(&mut self) {
        self.trial.terminate(self.number);
        thread::sleep(TERM_TO_KILL / 2);
        self.change();
        thread::sleep(TERM_TO_KILL / 2);
        self.trial.kill(self.number);
        self.crowd.clear();
        self.pause(50..1500);
        self.number = self.trial.start_again(&self.service);
    }

    fn step(&mut self) {
        match self.rng.u32(..8) {
            0 | 1 => self.change(),
            2 => self.ends_instead_of_telling(),
            3 => self.calls_fail(),
            4 => self.service.silence_watches(),
            5 => self.goes_down(),
            6 => self.moves(),
            _ => self.restarts(),
        }
        self.pause(100..1500);
    }
}

const STEPS: Range<u32> = 5..9;

fn soak(seed: u64) -> Verdict {
    let mut soak = Soak::start(seed);
    for _ in 0..soak.rng.u32(STEPS) {
        soak.step();
    }
    soak.trial.finish_after(RECOVERY)
}

/// The seeds that are asked for.
fn seeds() -> Range<u64> {
    let Ok(asked) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (from, to) = asked.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Guards the rule against what nobody has thought of one by one.
#[test]
fn the_drain_rule_is_kept_over_random_troubles() {
    all_pass_beside(SIDE_BY_SIDE, seeds().collect(), soak);
}
