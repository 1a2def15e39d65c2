use super::*;
use proptest::prelude::*;

const POLICY: RetryPolicy = RetryPolicy {
    window: 4000,
    first_pause: 50,
    longest_pause: 800,
    abandon_after: 1500,
    max_abandoned_reads: 2,
};

/// The next read and when it begins, from `now` on.
fn read(reloads: &mut Reloads, now: Time) -> (ReadId, Time) {
    match reloads.next_step(now) {
        Step::Read(id) => (id, now),
        Step::Wait(Some(due)) => read(reloads, due),
        other => panic!("{other:?} at {now}"),
    }
}

fn ended(reloads: &mut Reloads, id: ReadId, outcome: Outcome, now: Time) -> Verdict {
    let returned = reloads.returned(id).expect("a read under way");
    reloads.ended(returned, outcome, now)
}

/// Guards the times of the retries: soon, further and further apart, and none after the window.
#[test]
fn a_transient_failure_is_retried_within_the_window() {
    let mut reloads = Reloads::new(POLICY);
    reloads.signal(1000);
    let (mut now, mut times, mut verdicts) = (1000, Vec::new(), Vec::new());
    loop {
        match reloads.next_step(now) {
            Step::Read(id) => {
                times.push(now - 1000);
                verdicts.push(ended(&mut reloads, id, Outcome::Transient, now));
            }
            Step::Wait(Some(due)) => now = due,
            Step::Wait(None) => break,
            Step::Abandon(_) => unreachable!("no second signal has come"),
        }
    }
    assert_eq!(times, [0, 50, 150, 350, 750, 1550, 2350, 3150, 3950]);
    assert_eq!(verdicts[0], Verdict::Rejected);
    assert!(verdicts[1..8].iter().all(|v| *v == Verdict::WillRetry), "{verdicts:?}");
    assert_eq!(verdicts[8], Verdict::RetriesEnded);
}

/// Guards the count of files: one that a retry accepts just before its own signal comes is counted once, and each signal
/// after that counts again.
#[test]
fn a_file_accepted_ahead_of_its_signal_is_counted_once() {
    let mut reloads = Reloads::new(POLICY);
    let mut reload = |now: Time, outcomes: &[Outcome]| -> Vec<Verdict> {
        reloads.signal(now);
        let mut take = |outcome: &Outcome| {
            let (id, at) = read(&mut reloads, now);
            ended(&mut reloads, id, *outcome, at)
        };
        outcomes.iter().map(&mut take).collect()
    };
    let ahead = [Outcome::Transient, Outcome::Changed];
    assert_eq!(reload(0, &ahead), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(100, &[Outcome::Unchanged]), [Verdict::AcceptedBefore]);
    assert_eq!(reload(200, &[Outcome::Unchanged]), [Verdict::Accepted]);
    // Another file than the one taken ahead, and a signal long after it.
    assert_eq!(reload(300, &ahead), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(400, &[Outcome::Changed]), [Verdict::Accepted]);
    assert_eq!(reload(500, &ahead), [Verdict::Rejected, Verdict::Accepted]);
    assert_eq!(reload(9000, &[Outcome::Unchanged]), [Verdict::Accepted]);
}

/// Guards a newer signal: it ends the pause of an older one's retries at once, and after a while a read that does not end,
/// whose result is then not used.
#[test]
fn a_newer_signal_ends_a_pause_at_once_and_a_hung_read_after_a_while() {
    let mut reloads = Reloads::new(POLICY);
    reloads.signal(0);
    let (first, _) = read(&mut reloads, 0);
    ended(&mut reloads, first, Outcome::Transient, 0);
    assert_eq!(reloads.next_step(10), Step::Wait(Some(50)));
    reloads.signal(10);
    let hangs = read(&mut reloads, 10);
    assert_eq!(hangs.1, 10);
    reloads.signal(300);
    reloads.signal(900);
    assert_eq!(reloads.next_step(1000), Step::Wait(Some(1800)));
    assert_eq!(reloads.next_step(1800), Step::Abandon(Verdict::Rejected));
    let (second, at) = read(&mut reloads, 1800);
    assert_eq!(at, 1800);
    assert!(reloads.returned(hangs.0).is_none());
    assert_eq!(ended(&mut reloads, second, Outcome::Changed, 1801), Verdict::Accepted);
    assert_eq!(reloads.next_step(1801), Step::Wait(None));
}

/// Guards the bound of reads that do not end: beyond it, a signal waits until one of them has ended.
#[test]
fn hung_reads_are_abandoned_up_to_a_bound() {
    let mut reloads = Reloads::new(POLICY);
    let mut hang = Vec::new();
    for turn in 0..3 {
        reloads.signal(turn * 2000);
        if turn > 0 {
            assert_eq!(reloads.next_step(turn * 2000 + 1500), Step::Abandon(Verdict::Rejected));
        }
        hang.push(read(&mut reloads, turn * 2000 + 1500).0);
    }
    reloads.signal(9000);
    assert_eq!(reloads.next_step(20_000), Step::Wait(None));
    assert!(reloads.returned(hang[0]).is_none());
    assert_eq!(reloads.next_step(20_000), Step::Abandon(Verdict::Rejected));
}

/// More steps than the reloads can take to settle.
const MOST_STEPS: u32 = 100;

/// What the random steps do.
#[derive(Debug, Clone, Copy)]
enum Act {
    Signal,
    /// One of the reads that were begun ends: the one in progress, or one that was abandoned.
    End(usize, Outcome),
    Pass(Time),
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

fn acts() -> impl Strategy<Value = Act> {
    prop_oneof![
        2 => Just(Act::Signal),
        4 => (0..4_usize, outcomes()).prop_map(|(read, outcome)| Act::End(read, outcome)),
        3 => (0..900_u64).prop_map(Act::Pass),
    ]
}

/// What was seen of the reloads: a small model of what their users rely on.
#[derive(Default)]
struct Model {
    /// Reads that have not ended, abandoned ones included.
    running: Vec<ReadId>,
    /// The one whose result will be used, and whether it is the first of its signal.
    current: Option<(ReadId, bool)>,
    /// The first signal that no read has been begun for, and the last signal of all.
    unread: Option<Time>,
    last_signal: Time,
    signals: u32,
    rejected: u32,
    accepted: u32,
    /// The last result of the current sequence, none before its first one.
    result: Option<Outcome>,
}

impl Model {
    /// Carries out every step that is due.
    fn carry_out(&mut self, reloads: &mut Reloads, now: Time) -> Result<(), TestCaseError> {
        loop {
            match reloads.next_step(now) {
                Step::Read(id) => {
                    prop_assert!(self.current.is_none(), "two reads whose results count");
                    let first = self.unread.take().is_some();
                    if !first {
                        prop_assert_eq!(self.result, Some(Outcome::Transient), "retried without a cause");
                    }
                    self.result = self.result.filter(|_| !first);
                    self.current = Some((id, first));
                    self.running.push(id);
                    prop_assert!(self.running.len() <= POLICY.max_abandoned_reads + 1, "reads pile up");
                }
                Step::Abandon(verdict) => {
                    prop_assert!(self.unread.is_some_and(|at| now >= at + POLICY.abandon_after));
                    let (_, first) = self.current.take().expect("a read under way");
                    let expected = if first { Verdict::Rejected } else { Verdict::RetriesEnded };
                    prop_assert_eq!(verdict, expected);
                    self.rejected += u32::from(first);
                    // Whatever it failed for, a signal waits.
                    self.result = None;
                }
                Step::Wait(until) => {
                    prop_assert!(until.is_none_or(|at| at > now), "a wait for what is over: a busy loop");
                    if self.unread.is_some() {
                        let waits = self.current.is_some()
                            && (until.is_some() || self.running.len() > POLICY.max_abandoned_reads);
                        prop_assert!(waits, "a signal is not read for");
                    }
                    return Ok(());
                }
            }
        }
    }

    fn end(
        &mut self,
        reloads: &mut Reloads,
        id: ReadId,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), TestCaseError> {
        self.running.retain(|r| *r != id);
        let Some(returned) = reloads.returned(id) else {
            prop_assert!(self.current.is_none_or(|(current, _)| current != id), "a result was lost");
            return Ok(());
        };
        let (current, first) = self.current.take().expect("a read under way");
        prop_assert_eq!(current, id, "an old result was used");
        self.result = Some(outcome);
        let verdict = reloads.ended(returned, outcome, now);
        let good = matches!(outcome, Outcome::Changed | Outcome::Unchanged);
        match verdict {
            Verdict::Accepted => self.accepted += 1,
            Verdict::AcceptedBefore => prop_assert!(first && outcome == Outcome::Unchanged),
            Verdict::Rejected => self.rejected += 1,
            Verdict::WillRetry => prop_assert!(!first && outcome == Outcome::Transient),
            Verdict::RetriesEnded => prop_assert!(!first),
        }
        prop_assert_eq!(good, matches!(verdict, Verdict::Accepted | Verdict::AcceptedBefore));
        prop_assert_eq!(first && !good, verdict == Verdict::Rejected);
        prop_assert!(self.rejected <= self.signals);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards what reloads rely on, whatever comes in whatever order: each signal is read for, at once or within the
    /// policy's wait; only transient failures are retried, and not after the window; one rejected file is one count; and
    /// in the end the file that the last signal found holds.
    #[test]
    fn each_signal_causes_a_read_and_the_last_file_holds(acts in proptest::collection::vec(acts(), 0..60)) {
        let (mut reloads, mut model, mut now) = (Reloads::new(POLICY), Model::default(), 0);
        for act in acts {
            match act {
                Act::Signal => {
                    reloads.signal(now);
                    model.signals += 1;
                    model.last_signal = now;
                    model.unread = model.unread.or(Some(now));
                }
                Act::End(which, outcome) => {
                    if let Some(&id) = model.running.iter().rev().nth(which) {
                        model.end(&mut reloads, id, outcome, now)?;
                    }
                }
                Act::Pass(span) => {
                    // Not past what the reloads wait for: the next step is taken on time.
                    now = match reloads.next_step(now) {
                        Step::Wait(Some(until)) => until.min(now + span),
                        _ => now + span,
                    };
                }
            }
            model.carry_out(&mut reloads, now)?;
        }
        // From here on every read ends in a transient failure: the reloads settle in time.
        let begun = now;
        for step in 0.. {
            prop_assert!(step < MOST_STEPS, "it does not settle");
            if let Some(&id) = model.running.first() {
                model.end(&mut reloads, id, Outcome::Transient, now)?;
                model.carry_out(&mut reloads, now)?;
                continue;
            }
            match reloads.next_step(now) {
                Step::Wait(Some(until)) => now = until,
                step => {
                    prop_assert_eq!(step, Step::Wait(None));
                    break;
                }
            }
            model.carry_out(&mut reloads, now)?;
        }
        prop_assert!(model.unread.is_none() && model.current.is_none());
        prop_assert!(now <= begun.max(model.last_signal + POLICY.window));
    }
}
