use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards requests against those who close connections, in whatever order they come: none that has begun is cut off
    /// but by an eviction or where halves are ended, none is served after the end, and none that is being served is ended.
    #[test]
    fn nothing_is_served_after_the_end_nor_ended_while_it_is_served(
        steps in proptest::collection::vec((0..6_u8, any::<bool>(), 0..5_u64), 0..60),
    ) {
        let mut machine = Connection::new(0);
        // The model: the beginning of a request, a request that is served, the end, and since when it rests.
        let (mut now, mut part, mut served, mut ended, mut since) = (0, false, false, None, 0);
        for (step, flag, wait) in steps {
            now += wait;
            match step {
                0 => {
                    part = flag;
                    machine.part(flag);
                }
                1 if !served => {
                    served = ended.is_none();
                    prop_assert_eq!(machine.request(), served);
                }
                2 if served => {
                    (served, since) = (false, now);
                    machine.answered(now);
                }
                3 => {
                    let halves = wait % 2 == 1;
                    let may = ended.is_some() || !(part && !halves || served || flag);
                    ended = ended.or(may.then_some(now));
                    prop_assert_eq!(machine.end(now, flag, halves), may);
                }
                4 => {
                    let may = !served && (!flag || ended.is_some());
                    ended = ended.or(may.then_some(now));
                    prop_assert_eq!(machine.evict(now, flag), may);
                    prop_assert!(machine.evicted() || !may);
                }
                _ => {}
            }
            prop_assert_eq!((machine.busy(), machine.ended()), (served, ended));
            prop_assert_eq!(machine.rested(now), now - since);
        }
    }
}
