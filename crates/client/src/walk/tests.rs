//! Every walk ends, within its budget.

use super::*;
use proptest::prelude::*;

fn page(rows: usize, next: Option<&str>, whole: bool) -> Reply {
    let row = |n| format!(r#"{{"key":"k{n}","value":"1","exact":true}}"#);
    let rows: Vec<String> = (0..rows).map(row).collect();
    let next = next.map(|n| format!(r#","next":"{n}""#)).unwrap_or_default();
    let body = format!(
        r#"{{"op":"list","whole":{whole},"coverage":"1","ranges":[],"missing":[],"rows":[{}]{next}}}"#,
        rows.join(",")
    );
    Reply::read(200, None, &body)
}

fn all() -> Walk {
    Walk::new(Query::new("list"), Budget { pages: 0, ..Budget::default() }, 1)
}

#[test]
fn a_refusal_is_tried_again_from_the_same_cursor_and_no_earlier_than_told() {
    let mut walk = all();
    assert!(walk.handle_reply(page(2, Some("c1"), true)).is_some());
    assert!(walk.handle_reply(Reply::read(503, Some("2"), "{}")).is_none());
    let Step::Wait(ms) = *walk.step() else { panic!("{:?}", walk.step()) };
    assert!((2000..=3000).contains(&ms), "{ms}");
    walk.wait_elapsed();
    let Step::Request(query) = walk.step() else { panic!("{:?}", walk.step()) };
    assert_eq!(query.cursor.as_deref(), Some("c1"));
    walk.handle_reply(page(1, None, true));
    assert_eq!(*walk.step(), Step::End(End::Complete));
}

#[test]
fn ends_are_told_apart() {
    let end = |replies: Vec<Reply>| {
        let mut walk = all();
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
    assert_eq!(end((0..5).map(|_| Reply::read(503, None, "{}")).collect()), 3);
    assert_eq!(end((0..5).map(|_| Reply::read(504, None, "{}")).collect()), 4);
    assert_eq!(end((0..5).map(|_| Reply::Lost("gone".into())).collect()), 4);
    assert_eq!(end(vec![Reply::read(400, None, "{}")]), 5);
}

/// Guards against asking in a circle while the only ranges that still owe rows are missing.
#[test]
fn empty_pages_are_paused_for_and_end() {
    let mut walk = all();
    for _ in 0..100 {
        match walk.step().clone() {
            Step::Request(_) => drop(walk.handle_reply(page(0, Some("same"), false))),
            Step::Wait(_) => walk.wait_elapsed(),
            Step::End(end) => return assert_eq!(end, End::Partial),
        }
    }
    panic!("it does not end");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes: it ends, within its budget of waits, and a page that has come is never asked for again.
    #[test]
    fn every_walk_ends(replies in proptest::collection::vec(0..6u8, 0..200), seed in any::<u64>()) {
        let budget = Budget { attempts: 3, total_wait_ms: 2000, backoff_ms: 50, pages: 0 };
        let mut walk = Walk::new(Query::new("list"), budget, seed);
        let (mut waited, mut came, mut replies) = (0, 0, replies.into_iter());
        for _ in 0..1000 {
            match walk.step().clone() {
                Step::Request(query) => {
                    let at = (came > 0).then(|| format!("c{came}"));
                    prop_assert_eq!(query.cursor, at);
                    let Some(kind) = replies.next() else { return Ok(()) };
                    let next = format!("c{}", came + 1);
                    let reply = match kind {
                        0..=2 => page(1, Some(&next), true),
                        3 => Reply::read(503, Some("0.1"), "{}"),
                        4 => Reply::read(504, None, "{}"),
                        _ => Reply::Lost("gone".into()),
                    };
                    came += u32::from(walk.handle_reply(reply).is_some());
                }
                Step::Wait(ms) => {
                    waited += ms;
                    prop_assert!(waited <= 2000);
                    walk.wait_elapsed();
                }
                Step::End(_) => return Ok(()),
            }
        }
        prop_assert!(false, "it does not end");
    }
}
