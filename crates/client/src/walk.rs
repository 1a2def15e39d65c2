//! What a client does next: a machine without I/O and without a clock.
//!
//! A page is asked for until it has come: a refusal is tried again after the time that the service said, all else after
//! a pause that doubles, with jitter so that clients that failed together do not come back together. A listing goes on
//! from the last cursor that came, so nothing that came is asked for again.

use crate::query::{Page, Problem, Query, Reply};

/// How hard a walk tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Tries of one page.
    pub tries: u32,
    /// Milliseconds that all waits together may take.
    pub wait_ms: u64,
    /// Milliseconds of the first pause where the service says none.
    pub pause_ms: u64,
    /// Pages; 0: all.
    pub pages: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tries: 5, wait_ms: 30_000, pause_ms: 200, pages: 1 }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask this.
    Ask(Query),
    /// Wait for so many milliseconds, then go on.
    Wait(u64),
    /// Nothing more.
    End(End),
}

/// How a walk ended; its exit status tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// All that was asked for came, whole.
    Whole,
    /// All came, and some of it was not whole.
    Partial,
    /// The service refused to the end: trying again later is harmless.
    Refused(Problem),
    /// The service gave up, or could not be reached, to the end.
    Failed(String),
    /// The query is at fault.
    BadQuery(Problem),
}

impl End {
    /// The exit status of a program: 0 whole, 2 partial, 3 refused, 4 failed, 5 the query is at fault. 1 is left for
    /// its own faults.
    pub fn status(&self) -> u8 {
        match self {
            Self::Whole => 0,
            Self::Partial => 2,
            Self::Refused(_) => 3,
            Self::Failed(_) => 4,
            Self::BadQuery(_) => 5,
        }
    }
}

/// A walk over the pages of a query.
#[derive(Debug, Clone)]
pub struct Walk {
    query: Query,
    budget: Budget,
    rng: fastrand::Rng,
    tries: u32,
    waited_ms: u64,
    pages: u32,
    whole: bool,
    next: Step,
}

impl Walk {
    /// A walk that has not begun; `seed` is for the jitter.
    pub fn new(query: Query, budget: Budget, seed: u64) -> Self {
        let next = Step::Ask(query.clone());
        let rng = fastrand::Rng::with_seed(seed);
        Self { query, budget, rng, tries: 0, waited_ms: 0, pages: 0, whole: true, next }
    }

    /// What to do now.
    pub fn step(&self) -> &Step {
        &self.next
    }

    /// Where the listing goes on: what to ask with after an end.
    pub fn cursor(&self) -> Option<&str> {
        self.query.cursor.as_deref()
    }

    /// The wait is over.
    pub fn waited(&mut self) {
        if let Step::Wait(_) = self.next {
            self.next = Step::Ask(self.query.clone());
        }
    }

    /// What came for the query that was asked. Returns the page, if one came.
    pub fn came(&mut self, reply: Reply) -> Option<Box<Page>> {
        self.tries += 1;
        match reply {
            Reply::Page(page) => {
                self.take(&page);
                return Some(page);
            }
            Reply::Problem(503, problem, pause) => self.again(pause, End::Refused(problem)),
            Reply::Problem(status, problem, _) if (400..500).contains(&status) => {
                self.next = Step::End(End::BadQuery(problem));
            }
            Reply::Problem(status, problem, pause) => {
                self.again(pause, End::Failed(format!("{status}: {}", problem.detail)));
            }
            Reply::Lost(why) => self.again(None, End::Failed(why)),
        }
        None
    }

    fn take(&mut self, page: &Page) {
        if !page.rows.is_empty() {
            self.tries = 0;
        }
        self.pages += 1;
        self.whole &= page.whole;
        let more = page.next.is_some();
        // At the end the last cursor stays: there is nowhere else to go on from.
        if more {
            self.query.cursor.clone_from(&page.next);
        }
        let enough = self.budget.pages > 0 && self.pages >= self.budget.pages;
        self.next = match (more && !enough, page.rows.is_empty()) {
            (false, _) => Step::End(if self.whole { End::Whole } else { End::Partial }),
            // Nothing came but the news that ranges are missing: asking at once would only be a flood.
            (true, true) => return self.again(None, End::Partial),
            (true, false) => Step::Ask(self.query.clone()),
        };
    }

    /// Tries again after a pause, as long as the budget allows.
    fn again(&mut self, pause: Option<u64>, end: End) {
        let doubled = self.budget.pause_ms.saturating_mul(1 << self.tries.clamp(1, 16).saturating_sub(1));
        let pause = pause.unwrap_or(doubled).max(1);
        // Never earlier than the service said.
        let pause = pause.saturating_add(self.rng.u64(0..=pause / 2));
        if self.tries >= self.budget.tries || self.waited_ms.saturating_add(pause) > self.budget.wait_ms {
            self.next = Step::End(end);
            return;
        }
        self.waited_ms += pause;
        self.next = Step::Wait(pause);
    }
}

#[cfg(test)]
mod tests {
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
        assert!(walk.came(page(2, Some("c1"), true)).is_some());
        assert!(walk.came(Reply::read(503, Some("2"), "{}")).is_none());
        let Step::Wait(ms) = *walk.step() else { panic!("{:?}", walk.step()) };
        assert!((2000..=3000).contains(&ms), "{ms}");
        walk.waited();
        let Step::Ask(query) = walk.step() else { panic!("{:?}", walk.step()) };
        assert_eq!(query.cursor.as_deref(), Some("c1"));
        walk.came(page(1, None, true));
        assert_eq!(*walk.step(), Step::End(End::Whole));
    }

    #[test]
    fn ends_are_told_apart() {
        let end = |replies: Vec<Reply>| {
            let mut walk = all();
            for reply in replies {
                walk.came(reply);
                walk.waited();
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
                Step::Ask(_) => drop(walk.came(page(0, Some("same"), false))),
                Step::Wait(_) => walk.waited(),
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
            let budget = Budget { tries: 3, wait_ms: 2000, pause_ms: 50, pages: 0 };
            let mut walk = Walk::new(Query::new("list"), budget, seed);
            let (mut waited, mut came, mut replies) = (0, 0, replies.into_iter());
            for _ in 0..1000 {
                match walk.step().clone() {
                    Step::Ask(query) => {
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
                        came += u32::from(walk.came(reply).is_some());
                    }
                    Step::Wait(ms) => {
                        waited += ms;
                        prop_assert!(waited <= 2000);
                        walk.waited();
                    }
                    Step::End(_) => return Ok(()),
                }
            }
            prop_assert!(false, "it does not end");
        }
    }
}
