use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards requests against those who close connections, in whatever order they come: none that has begun is cut off
    /// but by an eviction or where partial requests are ended, none is served after the end, and none is ended while it is
    /// served.
    #[test]
    fn no_request_is_served_after_the_end_or_ended_while_it_is_served(
        steps in proptest::collection::vec((0..6_u8, any::<bool>(), 0..5_u64), 0..60),
    ) {
        let mut connection = Connection::new(0);
        // The model: a partial request, a pending one, the end, and since when it is idle.
        let (mut now, mut partial, mut pending, mut ended, mut idle_since) = (0, false, false, None, 0);
        for (step, flag, wait) in steps {
            now += wait;
            match step {
                0 => {
                    partial = flag;
                    connection.set_partial_request(flag);
                }
                1 if !pending => {
                    pending = ended.is_none();
                    prop_assert_eq!(connection.begin_request(), pending);
                }
                2 if pending => {
                    (pending, idle_since) = (false, now);
                    connection.finish_request(now);
                }
                3 => {
                    let halves = wait % 2 == 1;
                    let may = ended.is_some() || !(partial && !halves || pending || flag);
                    ended = ended.or(may.then_some(now));
                    prop_assert_eq!(connection.end(now, flag, halves), may);
                }
                4 => {
                    let may = !pending && (!flag || ended.is_some());
                    ended = ended.or(may.then_some(now));
                    prop_assert_eq!(connection.evict(now, flag), may);
                    prop_assert!(connection.evicted() || !may);
                }
                _ => {}
            }
            prop_assert_eq!((connection.has_pending_request(), connection.ended()), (pending, ended));
            prop_assert_eq!(connection.idle_for(now), now - idle_since);
        }
    }
}
