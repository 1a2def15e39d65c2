//! State machine that pages through a query, without I/O and without a clock.
//!
//! A failed page request is retried: a rejection after the delay that the service gave, other failures after an
//! exponential backoff. Jitter keeps clients that failed together from retrying together. A listing continues from the
//! last cursor received, so no page is requested again once it is received.

use crate::query::{Page, Problem, Query, Reply};

/// Number of attempts after which the backoff stops doubling.
const MAX_ATTEMPTS_DOUBLED: u32 = 16;

/// Limits of the retries and pages of a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Maximum attempts for one page.
    pub attempts: u32,
    /// Maximum sum of all waits, in milliseconds.
    pub total_wait_ms: u64,
    /// First backoff in milliseconds, used if the service gives no delay.
    pub backoff_ms: u64,
    /// Maximum number of pages; 0 means no limit.
    pub pages: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { attempts: 5, total_wait_ms: 30_000, backoff_ms: 200, pages: 1 }
    }
}

/// The next action of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this request.
    Request(Query),
    /// Wait for this number of milliseconds, then call [`Walk::wait_elapsed`].
    Wait(u64),
    /// Stop: the walk has ended.
    End(End),
}

/// How a walk ended; each end has its own [exit status](End::status).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// All pages were received and are complete.
    Complete,
    /// All pages were received, and some are not complete.
    Partial,
    /// The service rejected the last attempt; the query can be retried later.
    Rejected(Problem),
    /// The last attempt failed, or the service could not be reached.
    Failed(String),
    /// The service considers the query invalid; a retry is of no use.
    InvalidQuery(Problem),
}

impl End {
    /// Exit status of the program: 0 complete, 2 partial, 3 rejected, 4 failed, 5 invalid query. 1 is reserved for the
    /// program's own errors.
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
    /// Creates a walk; `seed` initializes the jitter.
    pub fn new(query: Query, budget: Budget, seed: u64) -> Self {
        let next = Step::Request(query.clone());
        let rng = fastrand::Rng::with_seed(seed);
        Self { query, budget, rng, attempts: 0, waited_ms: 0, pages: 0, complete: true, next }
    }

    /// The action that the walk expects now.
    pub fn step(&self) -> &Step {
        &self.next
    }

    /// Cursor from which a later walk can continue the listing.
    pub fn cursor(&self) -> Option<&str> {
        self.query.cursor.as_deref()
    }

    /// Signals that the requested wait is over; the next step is the retry.
    pub fn wait_elapsed(&mut self) {
        if let Step::Wait(_) = self.next {
            self.next = Step::Request(self.query.clone());
        }
    }

    /// Handles the reply to the last request; returns the page if there is one.
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
            Reply::Failed(cause) => self.retry(None, End::Failed(cause)),
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
        // The last page has no cursor; the previous one is kept so that the listing can be continued from there.
        if more {
            self.query.cursor.clone_from(&page.next);
        }
        let limit_reached = self.budget.pages > 0 && self.pages >= self.budget.pages;
        self.next = match (more && !limit_reached, page.rows.is_empty()) {
            (false, _) => Step::End(if self.complete { End::Complete } else { End::Partial }),
            // An empty page means that only missing ranges are left. Repeating the request at once would flood the
            // service.
            (true, true) => return self.retry(None, End::Partial),
            (true, false) => Step::Request(self.query.clone()),
        };
    }

    /// Schedules a retry after the service's delay or a backoff, or ends the walk if the budget is exhausted.
    fn retry(&mut self, retry_after_ms: Option<u64>, end: End) {
        let doublings = self.attempts.clamp(1, MAX_ATTEMPTS_DOUBLED).saturating_sub(1);
        let backoff_ms = self.budget.backoff_ms.saturating_mul(1 << doublings);
        let base_ms = retry_after_ms.unwrap_or(backoff_ms).max(1);
        // Jitter only lengthens the wait: a retry before the service's delay would be rejected again.
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
