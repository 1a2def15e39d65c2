//! What a client does next: a state machine without I/O and without a clock.
//!
//! A page is requested until it is received: a rejection is retried after the time that the service gave, other failures
//! with exponential backoff, with jitter so that clients that failed together do not retry together. A listing continues
//! from the last cursor received, so no page is requested twice.

use crate::query::{Page, Problem, Query, Reply};

/// Attempts after which the backoff no longer doubles.
const MAX_ATTEMPTS_DOUBLED: u32 = 16;

/// Limits of the retries and pages of a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Attempts of one page.
    pub attempts: u32,
    /// Milliseconds of all waits together.
    pub total_wait_ms: u64,
    /// Milliseconds of the first backoff, where the service gives no time.
    pub backoff_ms: u64,
    /// Pages; 0: all.
    pub pages: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { attempts: 5, total_wait_ms: 30_000, backoff_ms: 200, pages: 1 }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this request.
    Request(Query),
    /// Wait for so many milliseconds, then continue.
    Wait(u64),
    /// The walk has ended.
    End(End),
}

/// How a walk ended; its exit status tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// All pages were received and are complete.
    Complete,
    /// All pages were received, and some are not complete.
    Partial,
    /// The service rejected the last attempt; a later one is safe.
    Rejected(Problem),
    /// The service failed or could not be reached at the last attempt.
    Failed(String),
    /// The query is not valid.
    InvalidQuery(Problem),
}

impl End {
    /// The exit status of a program: 0 complete, 2 partial, 3 rejected, 4 failed, 5 an invalid query. 1 is left for its
    /// own errors.
    pub fn status(&self) -> u8 {
        match self {
            Self::Complete => 0,
            Self::Partial => 2,
            Self::Rejected(_) => 3,
            Self::Failed(_) => 4,
            Self::InvalidQuery(_) => 5,
        }
    }
}

/// A walk over the pages of a query.
#[derive(Debug, Clone)]
pub struct Walk {
    query: Query,
    budget: Budget,
    rng: fastrand::Rng,
    attempts: u32,
    waited_ms: u64,
    pages: u32,
    complete: bool,
    next: Step,
}

impl Walk {
    /// A walk that has not begun; `seed` is for the jitter.
    pub fn new(query: Query, budget: Budget, seed: u64) -> Self {
        let next = Step::Request(query.clone());
        let rng = fastrand::Rng::with_seed(seed);
        Self { query, budget, rng, attempts: 0, waited_ms: 0, pages: 0, complete: true, next }
    }

    /// What to do now.
    pub fn step(&self) -> &Step {
        &self.next
    }

    /// The cursor from which a later walk continues the listing.
    pub fn cursor(&self) -> Option<&str> {
        self.query.cursor.as_deref()
    }

    /// The wait is over.
    pub fn wait_elapsed(&mut self) {
        if let Step::Wait(_) = self.next {
            self.next = Step::Request(self.query.clone());
        }
    }

    /// Handles the reply to the last request; returns its page, if it has one.
    pub fn handle_reply(&mut self, reply: Reply) -> Option<Box<Page>> {
        self.attempts += 1;
        match reply {
            Reply::Page(page) => {
                self.advance(&page);
                return Some(page);
            }
            Reply::Problem(503, problem, retry_after_ms) => {
                self.retry(retry_after_ms, End::Rejected(problem))
            }
            Reply::Problem(status, problem, _) if (400..500).contains(&status) => {
                self.next = Step::End(End::InvalidQuery(problem));
            }
            Reply::Problem(status, problem, retry_after_ms) => {
                self.retry(retry_after_ms, End::Failed(format!("{status}: {}", problem.detail)));
            }
            Reply::Lost(why) => self.retry(None, End::Failed(why)),
        }
        None
    }

    fn advance(&mut self, page: &Page) {
        if !page.rows.is_empty() {
            self.attempts = 0;
        }
        self.pages += 1;
        self.complete &= page.complete;
        let more = page.next.is_some();
        // At the end the last cursor stays: there is nowhere else to continue from.
        if more {
            self.query.cursor.clone_from(&page.next);
        }
        let enough = self.budget.pages > 0 && self.pages >= self.budget.pages;
        self.next = match (more && !enough, page.rows.is_empty()) {
            (false, _) => Step::End(if self.complete { End::Complete } else { End::Partial }),
            // Only missing ranges are left: an immediate request would flood the service.
            (true, true) => return self.retry(None, End::Partial),
            (true, false) => Step::Request(self.query.clone()),
        };
    }

    /// Retries after the time that the service gave, or after a backoff; ends the walk if the budget is used up.
    fn retry(&mut self, retry_after_ms: Option<u64>, end: End) {
        let doublings = self.attempts.clamp(1, MAX_ATTEMPTS_DOUBLED).saturating_sub(1);
        let backoff_ms = self.budget.backoff_ms.saturating_mul(1 << doublings);
        let base_ms = retry_after_ms.unwrap_or(backoff_ms).max(1);
        // Never earlier than the service allows.
        let wait_ms = base_ms.saturating_add(self.rng.u64(0..=base_ms / 2));
        let total_wait_ms = self.waited_ms.saturating_add(wait_ms);
        if self.attempts >= self.budget.attempts || total_wait_ms > self.budget.total_wait_ms {
            self.next = Step::End(end);
            return;
        }
        self.waited_ms = total_wait_ms;
        self.next = Step::Wait(wait_ms);
    }
}

#[cfg(test)]
mod tests;
