use super::*;
use proptest::prelude::*;

const POLICY: RetryPolicy = RetryPolicy {
    window: 4000,
    initial_delay: 50,
    longest_pause: 800,
    read_timeout: 1500,
    max_abandoned_reads: 2,
};

/// Begins the next read from `now` on; returns its id and its time.
fn begin_read(scheduler: &mut ReloadScheduler, now: Time) -> (ReadId, Time) {
    match scheduler.next_step(now) {
        Step::Read(id) => (id, now),
        Step::Wait(Some(due)) => begin_read(scheduler, due),
        other => panic!("{other:?} at {now}"),
    }
}

fn end_read(scheduler: &mut ReloadScheduler, id: ReadId, outcome: Outcome, now: Time) -> Verdict {
    let read = scheduler.complete_read(id).expect("the read is in progress");
    scheduler.evaluate(read, outcome, now)
}

/// The first retry is soon, the pauses grow up to the limit, and no retry follows the window.
#[test]
fn a_transient_failure_is_retried_within_the_window() {
    let mut scheduler = ReloadScheduler::new(POLICY);
    scheduler.signal(1000);
    let (mut now, mut times, mut verdicts) = (1000, Vec::new(), Vec::new());
    loop {
        match scheduler.next_step(now) {
            Step::Read(id) => {
                times.push(now - 1000);
                verdicts.push(end_read(&mut scheduler, id, Outcome::Transient, now));
            }
            Step::Wait(Some(due)) => now = due,
            Step::Wait(None) => break,
            Step::Abandon(_) => unreachable!("a read was abandoned without a second signal"),
        }
    }
    assert_eq!(times, [0, 50, 150, 350, 750, 1550, 2350, 3150, 3950]);
    assert_eq!(verdicts[0], Verdict::Rejected);
    assert!(verdicts[1..8].iter().all(|v| *v == Verdict::WillRetry), "{verdicts:?}");
    assert_eq!(verdicts[8], Verdict::RetriesEnded);
}

/// A retry may accept a new file just before the file's own signal arrives. That signal must not count the file again;
/// later signals must.
#[test]
fn a_file_accepted_before_its_signal_is_counted_once() {
    let mut scheduler = ReloadScheduler::new(POLICY);
    let mut reload = |now: Time, outcomes: &[Outcome]| -> Vec<Verdict> {
        scheduler.signal(now);
        let mut run_read = |outcome: &Outcome| {
            let (id, at) = begin_read(&mut scheduler, now);
            end_read(&mut scheduler, id, *outcome, at)
        };
        outcomes.iter().map(&mut run_read).collect()
    };
    let accepted_by_retry = [Outcome::Transient, Outcome::Changed];
    assert_eq!(reload(0, &accepted_by_retry), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(100, &[Outcome::Unchanged]), [Verdict::AlreadyAccepted]);
    assert_eq!(reload(200, &[Outcome::Unchanged]), [Verdict::Accepted]);
    // The next signal is for another file, or arrives long after the retry.
    assert_eq!(reload(300, &accepted_by_retry), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(400, &[Outcome::Changed]), [Verdict::Accepted]);
    assert_eq!(reload(500, &accepted_by_retry), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(9000, &[Outcome::Unchanged]), [Verdict::Accepted]);
}

/// A newer signal must not wait for the pause between an earlier signal's retries, nor without limit for a hung read.
/// The result of the hung read is discarded.
#[test]
fn a_newer_signal_ends_a_pause_at_once_and_a_hung_read_after_the_time_limit() {
    let mut scheduler = ReloadScheduler::new(POLICY);
    scheduler.signal(0);
    let (first, _) = begin_read(&mut scheduler, 0);
    end_read(&mut scheduler, first, Outcome::Transient, 0);
    assert_eq!(scheduler.next_step(10), Step::Wait(Some(50)));
    scheduler.signal(10);
    let hung = begin_read(&mut scheduler, 10);
    assert_eq!(hung.1, 10);
    scheduler.signal(300);
    scheduler.signal(900);
    assert_eq!(scheduler.next_step(1000), Step::Wait(Some(1800)));
    assert_eq!(scheduler.next_step(1800), Step::Abandon(Verdict::Rejected));
    let (second, at) = begin_read(&mut scheduler, 1800);
    assert_eq!(at, 1800);
    assert!(scheduler.complete_read(hung.0).is_none());
    assert_eq!(end_read(&mut scheduler, second, Outcome::Changed, 1801), Verdict::Accepted);
    assert_eq!(scheduler.next_step(1801), Step::Wait(None));
}

/// Each hung read holds a thread, so their number is limited. At the limit, a signal waits until one of them ends.
#[test]
fn hung_reads_are_abandoned_up_to_a_limit() {
    let mut scheduler = ReloadScheduler::new(POLICY);
    let mut hung = Vec::new();
    for round in 0..3 {
        scheduler.signal(round * 2000);
        if round > 0 {
            assert_eq!(scheduler.next_step(round * 2000 + 1500), Step::Abandon(Verdict::Rejected));
        }
        hung.push(begin_read(&mut scheduler, round * 2000 + 1500).0);
    }
    scheduler.signal(9000);
    assert_eq!(scheduler.next_step(20_000), Step::Wait(None));
    assert!(scheduler.complete_read(hung[0]).is_none());
    assert_eq!(scheduler.next_step(20_000), Step::Abandon(Verdict::Rejected));
}

/// A limit on the steps until the reloads are idle, above the number that they can need.
const MAX_STEPS: u32 = 100;

/// A random event of the property test.
#[derive(Debug, Clone, Copy)]
enum Action {
    Signal,
    /// A read ends, either the one in progress or an abandoned one; 0 is the read that began last.
    End(usize, Outcome),
    PassTime(Time),
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Changed),
        Just(Outcome::Unchanged),
        Just(Outcome::Transient),
        Just(Outcome::Transient),
        Just(Outcome::Permanent),
    ]
}

fn actions() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => Just(Action::Signal),
        4 => (0..4_usize, outcomes()).prop_map(|(read, outcome)| Action::End(read, outcome)),
        3 => (0..900_u64).prop_map(Action::PassTime),
    ]
}

/// A small model of the scheduler, updated from its steps and results.
#[derive(Default)]
struct Model {
    /// Reads that have not ended, including abandoned ones.
    running: Vec<ReadId>,
    /// The read whose result will be used, and whether it is the first read of its signal.
    current: Option<(ReadId, bool)>,
    /// The first signal for which no read has begun.
    unread: Option<Time>,
    last_signal: Time,
    signals: u32,
    rejected: u32,
    accepted: u32,
    /// The last result of the current sequence; `None` before the first one.
    result: Option<Outcome>,
}

impl Model {
    /// Executes all steps that are due.
    fn execute_steps(&mut self, scheduler: &mut ReloadScheduler, now: Time) -> Result<(), TestCaseError> {
        loop {
            match scheduler.next_step(now) {
                Step::Read(id) => {
                    prop_assert!(self.current.is_none(), "two reads are in progress");
                    let first = self.unread.take().is_some();
                    if !first {
                        prop_assert_eq!(
                            self.result,
                            Some(Outcome::Transient),
                            "retried without a transient failure"
                        );
                    }
                    self.result = self.result.filter(|_| !first);
                    self.current = Some((id, first));
                    self.running.push(id);
                    prop_assert!(
                        self.running.len() <= POLICY.max_abandoned_reads + 1,
                        "too many reads have not ended"
                    );
                }
                Step::Abandon(verdict) => {
                    prop_assert!(self.unread.is_some_and(|at| now >= at + POLICY.read_timeout));
                    let (_, first) = self.current.take().expect("a read is in progress");
                    let expected = if first { Verdict::Rejected } else { Verdict::RetriesEnded };
                    prop_assert_eq!(verdict, expected);
                    self.rejected += u32::from(first);
                    // The pending signal begins a new sequence.
                    self.result = None;
                }
                Step::Wait(until) => {
                    prop_assert!(
                        until.is_none_or(|at| at > now),
                        "busy loop: the wait ends at or before the current time"
                    );
                    if self.unread.is_some() {
                        let waits_for_read = self.current.is_some()
                            && (until.is_some() || self.running.len() > POLICY.max_abandoned_reads);
                        prop_assert!(waits_for_read, "no read begins for a signal");
                    }
                    return Ok(());
                }
            }
        }
    }

    fn end(
        &mut self,
        scheduler: &mut ReloadScheduler,
        id: ReadId,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), TestCaseError> {
        self.running.retain(|r| *r != id);
        let Some(read) = scheduler.complete_read(id) else {
            prop_assert!(self.current.is_none_or(|(current, _)| current != id), "a result was discarded");
            return Ok(());
        };
        let (current, first) = self.current.take().expect("a read is in progress");
        prop_assert_eq!(current, id, "the result of an abandoned read was used");
        self.result = Some(outcome);
        let verdict = scheduler.evaluate(read, outcome, now);
        let is_accepted = matches!(outcome, Outcome::Changed | Outcome::Unchanged);
        match verdict {
            Verdict::Accepted => self.accepted += 1,
            Verdict::AlreadyAccepted => prop_assert!(first && outcome == Outcome::Unchanged),
            Verdict::Rejected => self.rejected += 1,
            Verdict::WillRetry => prop_assert!(!first && outcome == Outcome::Transient),
            Verdict::RetriesEnded => prop_assert!(!first),
        }
        prop_assert_eq!(is_accepted, matches!(verdict, Verdict::Accepted | Verdict::AlreadyAccepted));
        prop_assert_eq!(first && !is_accepted, verdict == Verdict::Rejected);
        prop_assert!(self.rejected <= self.signals);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of events: each signal causes a read, at once or within the policy's wait; only transient failures
    /// are retried, and not after the window; a rejected file is counted once; and the file read for the last signal is
    /// the one in use at the end.
    #[test]
    fn each_signal_causes_a_read_and_the_last_file_is_used(actions in proptest::collection::vec(actions(), 0..60)) {
        let (mut scheduler, mut model, mut now) = (ReloadScheduler::new(POLICY), Model::default(), 0);
        for action in actions {
            match action {
                Action::Signal => {
                    scheduler.signal(now);
                    model.signals += 1;
                    model.last_signal = now;
                    model.unread = model.unread.or(Some(now));
                }
                Action::End(index, outcome) => {
                    if let Some(&id) = model.running.iter().rev().nth(index) {
                        model.end(&mut scheduler, id, outcome, now)?;
                    }
                }
                Action::PassTime(span) => {
                    // The time stops at the next due step, so that no step is late.
                    now = match scheduler.next_step(now) {
                        Step::Wait(Some(until)) => until.min(now + span),
                        _ => now + span,
                    };
                }
            }
            model.execute_steps(&mut scheduler, now)?;
        }
        // From here on each read fails transiently, and the reloads must become idle before the window ends.
        let begun = now;
        for step in 0.. {
            prop_assert!(step < MAX_STEPS, "the reloads do not become idle");
            if let Some(&id) = model.running.first() {
                model.end(&mut scheduler, id, Outcome::Transient, now)?;
                model.execute_steps(&mut scheduler, now)?;
                continue;
            }
            match scheduler.next_step(now) {
                Step::Wait(Some(until)) => now = until,
                step => {
                    prop_assert_eq!(step, Step::Wait(None));
                    break;
                }
            }
            model.execute_steps(&mut scheduler, now)?;
        }
        prop_assert!(model.unread.is_none() && model.current.is_none());
        prop_assert!(now <= begun.max(model.last_signal + POLICY.window));
    }
}
