use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Requests, ends and evictions occur in any order. An incomplete request is cut off only by an eviction or by an
    /// end that drops it.
    #[test]
    fn no_request_is_served_after_the_end_or_ended_while_it_is_served(
        steps in proptest::collection::vec((0..6_u8, any::<bool>(), 0..5_u64), 0..60),
    ) {
        let mut connection = Connection::new(0);
        // The model: whether a request is partial or pending, when the connection ended and when it became idle.
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
                    let drop_partial = wait % 2 == 1;
                    let ends = ended.is_some() || !(partial && !drop_partial || pending || flag);
                    ended = ended.or(ends.then_some(now));
                    prop_assert_eq!(connection.end(now, flag, drop_partial), ends);
                }
                4 => {
                    let evicts = !pending && (!flag || ended.is_some());
                    ended = ended.or(evicts.then_some(now));
                    prop_assert_eq!(connection.evict(now, flag), evicts);
                    prop_assert!(connection.is_evicted() || !evicts);
                }
                _ => {}
            }
            prop_assert_eq!((connection.has_pending_request(), connection.ended_at()), (pending, ended));
            prop_assert_eq!(connection.idle_for(now), now - idle_since);
        }
    }
}
