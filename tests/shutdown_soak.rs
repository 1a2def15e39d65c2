//! Seeded soak test of planned restarts beside reloads. A coordinator process under load gets a random series of files
//! that drop, shorten and bring back deadlines, and SIGTERM before, while or after the last one is read; in some runs it
//! is drained by an operator before, or hands over to a new process. No request may be unanswered when SIGKILL comes.
//!
//! `SOAK_SEEDS=100..150 cargo test --test shutdown_soak` runs other seeds. A failed run prints its seed.

mod harness;

use std::io::Write;
use std::net::TcpListener;
use std::ops::Range;
use std::thread::sleep;
use std::time::{Duration, Instant};

use fastrand::Rng;
use harness::shutdown_trial::{
    config, ClassDeadline, ShutdownTrial, TrialEnd, CHANGING_CLASS, LONG_CLASSES, LONG_DEADLINE,
    SHORTENED_CLASSES, SHORT_DEADLINE, STEADY_CLASS, STEADY_CLASS_ONLY,
};
use harness::{run_with_limit, soak_seeds, Program};

/// Seeds that are run without `SOAK_SEEDS`.
const SEEDS: Range<u64> = 1..17;
/// Most runs at once, so that their processes do not delay each other.
const MAX_CONCURRENT_TRIALS: usize = 4;
/// Maximum number of files that are applied before the last one.
const MAX_EARLIER_RELOADS: usize = 3;
/// Time in milliseconds from SIGTERM until the last file is signalled or complete. SIGTERM is handled by the shortest
/// one; after the longest one the file is applied before SIGKILL may come by the shortest deadline.
const DELAY_MS: Range<u64> = 50..400;
/// Time from the operator's drain to SIGTERM: some connections are closed by then, others are not.
const DRAIN_LEAD: Duration = Duration::from_millis(500);

const MEDIUM_DEADLINE: Duration = Duration::from_millis(2500);
const BRIEF_DEADLINE: Duration = Duration::from_millis(800);
/// The classes that files choose from.
const CLASS_SETS: [&[ClassDeadline]; 6] = [
    LONG_CLASSES,
    SHORTENED_CLASSES,
    STEADY_CLASS_ONLY,
    &[(CHANGING_CLASS, MEDIUM_DEADLINE), (STEADY_CLASS, SHORT_DEADLINE)],
    &[(STEADY_CLASS, BRIEF_DEADLINE)],
    &[(STEADY_CLASS, BRIEF_DEADLINE), (CHANGING_CLASS, LONG_DEADLINE)],
];

/// How the last file and SIGTERM follow each other.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    /// SIGTERM comes after the file was applied.
    AfterApplied,
    /// SIGTERM comes right after SIGHUP.
    AfterSignal,
    /// The file is incomplete at SIGHUP and SIGTERM, and complete this long after it.
    BeforeRetry(Duration),
    /// The file is being read at SIGTERM, and its end is written this long after it.
    DuringRead(Duration),
    /// SIGHUP comes this long after SIGTERM.
    BeforeSignal(Duration),
}

/// The random choices of a run.
#[derive(Debug)]
struct Scenario {
    /// The files that are applied before the last one.
    earlier: Vec<&'static [ClassDeadline]>,
    last: &'static [ClassDeadline],
    order: Order,
    /// A new process serves from the same listener.
    hand_over: bool,
    /// The operator has begun a drain. Not at a hand-over, where clients would connect again to the new process.
    drained: bool,
}

impl Scenario {
    fn random(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let earlier = rng.usize(..=MAX_EARLIER_RELOADS);
        let mut classes = || CLASS_SETS[rng.usize(..CLASS_SETS.len())];
        let (earlier, last) = ((0..earlier).map(|_| classes()).collect(), classes());
        let delay = Duration::from_millis(rng.u64(DELAY_MS));
        let order = match rng.u32(..5) {
            0 => Order::AfterApplied,
            1 => Order::AfterSignal,
            2 => Order::BeforeRetry(delay),
            3 => Order::DuringRead(delay),
            _ => Order::BeforeSignal(delay),
        };
        let hand_over = rng.u32(..4) == 0;
        Self { earlier, last, order, hand_over, drained: !hand_over && rng.u32(..3) == 0 }
    }

    /// The classes before the last file.
    fn classes_before(&self) -> &'static [ClassDeadline] {
        self.earlier.last().copied().unwrap_or(LONG_CLASSES)
    }

    /// The longest deadline that SIGKILL goes by. If the last file is complete only after SIGTERM, that may be the one
    /// of the file before or of the last one.
    fn longest_deadline(&self) -> Duration {
        let last = longest_deadline(self.last);
        match self.order {
            Order::AfterApplied | Order::AfterSignal => last,
            Order::BeforeRetry(_) | Order::DuringRead(_) | Order::BeforeSignal(_) => {
                last.min(longest_deadline(self.classes_before()))
            }
        }
    }

    fn play(&self) -> TrialEnd {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut trial = ShutdownTrial::start_with(self.hand_over.then_some(&listener));
        self.earlier.iter().for_each(|classes| trial.reload(classes));
        let new_config = config(&trial.discovery, self.last);
        let _new_process = self.hand_over.then(|| Program::start_with(&new_config, Some(&listener)));
        if self.drained {
            trial.program.control_request("POST", "/ops/drain/start");
            sleep(DRAIN_LEAD);
        }
        let terminated_at = self.reload_and_terminate(&mut trial);
        trial.kill(terminated_at, self.longest_deadline())
    }

    /// Delivers the last file and SIGTERM. Returns the time of SIGTERM.
    fn reload_and_terminate(&self, trial: &mut ShutdownTrial) -> Instant {
        let file = config(&trial.discovery, self.last);
        match self.order {
            Order::AfterApplied => {
                trial.reload(self.last);
                trial.terminate()
            }
            Order::AfterSignal => {
                trial.program.reload(&file);
                trial.terminate()
            }
            Order::BeforeRetry(delay) => {
                trial.program.reload(&file[..file.len() / 2]);
                let terminated_at = trial.terminate();
                sleep(delay);
                trial.program.replace_config(&file);
                terminated_at
            }
            Order::DuringRead(delay) => {
                let (mut pipe, terminated_at) = trial.terminate_during_read();
                sleep(delay);
                // Fails if the process has already ended.
                let _ = pipe.write_all(file.as_bytes());
                terminated_at
            }
            Order::BeforeSignal(delay) => {
                let terminated_at = trial.terminate();
                sleep(delay);
                trial.program.reload(&file);
                terminated_at
            }
        }
    }
}

fn longest_deadline(classes: &[ClassDeadline]) -> Duration {
    classes.iter().map(|class| class.1).max().unwrap()
}

/// Plays the scenario of a seed. Returns what went wrong.
fn play(seed: u64) -> Option<String> {
    let scenario = Scenario::random(seed);
    let end = scenario.play();
    let outcome = if end.unanswered().is_empty() { "passed" } else { "FAILED" };
    println!("seed {seed} {outcome}: {scenario:?}");
    (outcome == "FAILED").then(|| format!("seed {seed}: {scenario:?}\n{}\n{}", end.summary(), end.log))
}

/// Catches requests that are lost at a planned restart in combinations of reloads and signals that no single test
/// covers.
#[test]
fn no_request_is_unanswered_at_sigkill_after_random_reloads() {
    let results = run_with_limit(MAX_CONCURRENT_TRIALS, soak_seeds(SEEDS).collect(), play);
    let failures: Vec<String> = results.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{} runs failed\n{}", failures.len(), failures.join("\n"));
}
