use super::*;
use proptest::prelude::*;

const TIMINGS: DrainTimings = DrainTimings { drain_notice: 10, idle_close_delay: 30, shared_listener: false };
const SHUTDOWN_LIMITS: ShutdownLimits = ShutdownLimits { accept_duration: 50, answer_duration: 80 };

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The state follows the operator's last command, for any order of commands and any time of SIGTERM.
    #[test]
    fn the_last_command_determines_the_state_until_the_process_finishes(
        shared in any::<bool>(),
        commands in proptest::collection::vec((any::<u8>(), 0..40_u64), 0..30),
    ) {
        let mut lifecycle = Lifecycle::new(DrainTimings { shared_listener: shared, ..TIMINGS });
        // The model: whether the process listens, and when its drain and its finishing began.
        let (mut now, mut listens, mut drained, mut finishing) = (0, false, None::<Time>, None::<Time>);
        for (command, wait) in commands {
            now += wait;
            let (result, changed) = match command % 4 {
                0 => {
                    lifecycle.listening();
                    listens = true;
                    (TransitionResult::Already, false)
                }
                1 => {
                    let is_first = drained.is_none() && finishing.is_none();
                    drained = drained.or(Some(now));
                    (lifecycle.start_drain(now), is_first)
                }
                2 => {
                    let changed = drained.take().is_some() && finishing.is_none();
                    listens |= changed;
                    (lifecycle.stop_drain(), changed)
                }
                _ => {
                    let first = finishing.is_none();
                    finishing = finishing.or(Some(now));
                    (lifecycle.terminate(now, SHUTDOWN_LIMITS), first)
                }
            };
            prop_assert_eq!(result == TransitionResult::Changed, changed);
            prop_assert_eq!(result.is_in_effect(), command % 4 != 2 || finishing.is_none());
            let serves = listens && drained.is_none() && finishing.is_none();
            prop_assert_eq!((lifecycle.is_serving(), lifecycle.not_serving_reason().is_none()), (serves, serves));
            prop_assert_eq!(lifecycle.is_shutting_down(), finishing.is_some());
            prop_assert_eq!(lifecycle.answered_by(), finishing.map_or(Time::MAX, |t| t + 80));
            for later in [now, now + 10, now + 30, now + 50] {
                let closing = match (finishing, drained) {
                    (Some(t), _) if later >= t + 50 => Closing::IdleAndAfterResponse,
                    (Some(_), _) if shared => Closing::AfterResponse,
                    (None, Some(t)) if later >= t + 30 => Closing::IdleAndAfterResponse,
                    (None, Some(t)) if later >= t + 10 => Closing::AfterResponse,
                    _ => Closing::None,
                };
                prop_assert_eq!(lifecycle.closing(later), closing);
            }
        }
    }

    /// A reload during the shutdown that drops a long deadline must not leave the process the time of the old one. For
    /// any order of newer limits, the shortest since SIGTERM apply; those from before SIGTERM are replaced by its own.
    #[test]
    fn the_shortest_limits_since_sigterm_apply(
        shared in any::<bool>(),
        terminated_at in 0..40_u64,
        before in (0..100_u64, 0..100_u64),
        at_sigterm in (0..100_u64, 0..100_u64),
        newer in proptest::collection::vec((0..100_u64, 0..100_u64), 0..10),
    ) {
        let limits = |(accept_duration, answer_duration)| ShutdownLimits { accept_duration, answer_duration };
        let mut lifecycle = Lifecycle::new(DrainTimings { shared_listener: shared, ..TIMINGS });
        lifecycle.listening();
        prop_assert_eq!(lifecycle.shorten_shutdown(limits(before)), TransitionResult::Already);
        prop_assert!(lifecycle.is_serving());
        lifecycle.terminate(terminated_at, limits(at_sigterm));
        let (mut accept, mut answer) = at_sigterm;
        for newer in newer {
            let is_shorter = newer.0 < accept || newer.1 < answer;
            let changes = lifecycle.changes();
            let result = lifecycle.shorten_shutdown(limits(newer));
            prop_assert_eq!(result == TransitionResult::Changed, is_shorter);
            prop_assert_eq!(lifecycle.changes() > changes, is_shorter);
            (accept, answer) = (accept.min(newer.0), answer.min(newer.1));
            prop_assert!(lifecycle.is_shutting_down());
            prop_assert_eq!(lifecycle.answered_by(), terminated_at + answer);
            let open = if shared { Closing::AfterResponse } else { Closing::None };
            for later in 0..100 {
                let closing = if later >= accept { Closing::IdleAndAfterResponse } else { open };
                prop_assert_eq!(lifecycle.closing(terminated_at + later), closing);
            }
        }
    }
}
