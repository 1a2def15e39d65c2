//! Retries, ends and budgets of walks.

use super::*;
use proptest::prelude::*;

fn page(rows: usize, next: Option<&str>, complete: bool) -> Reply {
    let row = |n| format!(r#"{{"key":"k{n}","value":"1","exact":true}}"#);
    let rows: Vec<String> = (0..rows).map(row).collect();
    let next = next.map(|n| format!(r#","next":"{n}""#)).unwrap_or_default();
    let body = format!(
        r#"{{"op":"list","whole":{complete},"coverage":"1","ranges":[],"missing":[],"rows":[{}]{next}}}"#,
        rows.join(",")
    );
    Reply::parse(200, None, &body)
}

fn unlimited_walk() -> Walk {
    Walk::new(Query::new("list"), Budget { pages: 0, ..Budget::default() }, 1)
}

#[test]
fn rejected_request_is_retried_with_the_same_cursor_after_the_service_delay() {
    let mut walk = unlimited_walk();
    assert!(walk.handle_reply(page(2, Some("c1"), true)).is_some());
    assert!(walk.handle_reply(Reply::parse(503, Some("2"), "{}")).is_none());
    let Step::Wait(ms) = *walk.step() else { panic!("{:?}", walk.step()) };
    assert!((2000..=3000).contains(&ms), "{ms}");
    walk.wait_elapsed();
    let Step::Request(query) = walk.step() else { panic!("{:?}", walk.step()) };
    assert_eq!(query.cursor.as_deref(), Some("c1"));
    walk.handle_reply(page(1, None, true));
    assert_eq!(*walk.step(), Step::End(End::Complete));
}

#[test]
fn each_end_has_its_own_exit_status() {
    let end = |replies: Vec<Reply>| {
        let mut walk = unlimited_walk();
        for reply in replies {
            walk.handle_reply(reply);
            walk.wait_elapsed();
        }
        match walk.step() {
            Step::End(end) => end.status(),
            step => panic!("{step:?}"),
        }
    };
    assert_eq!(end(vec![page(1, None, true)]), 0);
    assert_eq!(end(vec![page(1, Some("c"), false), page(1, None, true)]), 2);
    assert_eq!(end((0..5).map(|_| Reply::parse(503, None, "{}")).collect()), 3);
    assert_eq!(end((0..5).map(|_| Reply::parse(504, None, "{}")).collect()), 4);
    assert_eq!(end((0..5).map(|_| Reply::Failed("connection closed".into())).collect()), 4);
    assert_eq!(end(vec![Reply::parse(400, None, "{}")]), 5);
}

/// Empty pages whose cursor does not advance, because only missing ranges have rows left, must not cause an endless
/// loop of requests.
#[test]
fn empty_pages_are_retried_after_waits_until_the_budget_ends() {
    let mut walk = unlimited_walk();
    for _ in 0..100 {
        match walk.step().clone() {
            Step::Request(_) => drop(walk.handle_reply(page(0, Some("same"), false))),
            Step::Wait(_) => walk.wait_elapsed(),
            Step::End(end) => return assert_eq!(end, End::Partial),
        }
    }
    panic!("the walk does not end");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of replies, the walk stays within its wait budget and never requests a received page again.
    #[test]
    fn walk_ends_within_its_budget_for_any_replies(replies in proptest::collection::vec(0..6u8, 0..200), seed in any::<u64>()) {
        let budget = Budget { attempts: 3, total_wait_ms: 2000, backoff_ms: 50, pages: 0 };
        let mut walk = Walk::new(Query::new("list"), budget, seed);
        let (mut waited_ms, mut received, mut replies) = (0, 0, replies.into_iter());
        for _ in 0..1000 {
            match walk.step().clone() {
                Step::Request(query) => {
                    let cursor = (received > 0).then(|| format!("c{received}"));
                    prop_assert_eq!(query.cursor, cursor);
                    let Some(kind) = replies.next() else { return Ok(()) };
                    let next = format!("c{}", received + 1);
                    let reply = match kind {
                        0..=2 => page(1, Some(&next), true),
                        3 => Reply::parse(503, Some("0.1"), "{}"),
                        4 => Reply::parse(504, None, "{}"),
                        _ => Reply::Failed("connection closed".into()),
                    };
                    received += u32::from(walk.handle_reply(reply).is_some());
                }
                Step::Wait(ms) => {
                    waited_ms += ms;
                    prop_assert!(waited_ms <= 2000);
                    walk.wait_elapsed();
                }
                Step::End(_) => return Ok(()),
            }
        }
        prop_assert!(false, "the walk does not end");
    }
}
