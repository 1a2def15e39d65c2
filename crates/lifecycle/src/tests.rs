use super::*;
use proptest::prelude::*;

const SPANS: Spans = Spans { drain_notice: 10, drain_rest: 30, shared_listener: false };
const FINISH: Finish = Finish { accept: 50, answered: 80 };

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards what operators rely on, whatever they call in whatever order and whenever SIGTERM comes.
    #[test]
    fn the_last_word_counts_until_the_end(
        shared in any::<bool>(),
        calls in proptest::collection::vec((any::<u8>(), 0..40_u64), 0..30),
    ) {
        let mut machine = Lifecycle::new(Spans { shared_listener: shared, ..SPANS });
        // The model: whether it listens, and since when it is drained or ends.
        let (mut now, mut open, mut drained, mut ended) = (0, false, None::<Time>, None::<Time>);
        for (call, wait) in calls {
            now += wait;
            let (called, changed) = match call % 4 {
                0 => {
                    machine.listening();
                    open = true;
                    (Called::Already, false)
                }
                1 => {
                    let fresh = drained.is_none() && ended.is_none();
                    drained = drained.or(Some(now));
                    (machine.drain_start(now), fresh)
                }
                2 => {
                    let changed = drained.take().is_some() && ended.is_none();
                    open |= changed;
                    (machine.drain_stop(), changed)
                }
                _ => {
                    let first = ended.is_none();
                    ended = ended.or(Some(now));
                    (machine.term(now, FINISH), first)
                }
            };
            prop_assert_eq!(called == Called::Changed, changed);
            prop_assert_eq!(called.yes(), call % 4 != 2 || ended.is_none());
            let serves = open && drained.is_none() && ended.is_none();
            prop_assert_eq!((machine.wants_clients(), machine.why_not().is_none()), (serves, serves));
            prop_assert_eq!(machine.finishing(), ended.is_some());
            prop_assert_eq!(machine.answered_by(), ended.map_or(Time::MAX, |t| t + 80));
            for later in [now, now + 10, now + 30, now + 50] {
                let closing = match (ended, drained) {
                    (Some(t), _) if later >= t + 50 => Closing::Resting,
                    (Some(_), _) if shared => Closing::Answered,
                    (None, Some(t)) if later >= t + 30 => Closing::Resting,
                    (None, Some(t)) if later >= t + 10 => Closing::Answered,
                    _ => Closing::None,
                };
                prop_assert_eq!(machine.closing(later), closing);
            }
        }
    }
}
