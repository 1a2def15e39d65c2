//! Logs updates of the endpoint list.

use curlewdeck_membership::{State, Update};

use crate::api::Nanos;
use crate::net::endpoints::{DiscoveryUpdate, ListedEndpoint};
use crate::net::log_limit::LogRateLimit;

/// Maximum number of draining, or of removed, endpoints that a log line names.
const MAX_NAMES: usize = 8;

/// Limits the rate of log lines on updates.
#[derive(Debug)]
pub(super) struct UpdateLog {
    applied: LogRateLimit,
    unreadable_lines: LogRateLimit,
}

impl UpdateLog {
    /// Takes the minimum intervals between log lines on updates, and between log lines on unreadable lines.
    pub(super) fn new(applied_interval: Nanos, unreadable_interval: Nanos) -> Self {
        Self {
            applied: LogRateLimit::new(applied_interval),
            unreadable_lines: LogRateLimit::new(unreadable_interval),
        }
    }

    /// Logs an applied update: the number of endpoints in each state, and the first names of those not in service.
    pub(super) fn applied(&mut self, version: u64, update: &Update<ListedEndpoint>, now: Nanos) {
        let Some(updates) = self.applied.record(now) else { return };
        log::info!(
            version = version,
            kind = if update.complete { "snapshot" } else { "change" },
            up = count(update, State::Up),
            draining = count(update, State::Draining),
            draining_names = first_names(update, State::Draining).as_str(),
            removed = count(update, State::Removed),
            removed_names = first_names(update, State::Removed).as_str(),
            updates_since_last_line = updates;
            "endpoint list updated"
        );
    }

    /// Counts the update's unreadable lines; logs one of them if the interval allows it.
    pub(super) fn unreadable_lines(&mut self, update: &DiscoveryUpdate, now: Nanos) {
        let mut due = None;
        for error in update.unreadable_lines() {
            due = self.unreadable_lines.record(now).map(|times| (times, error)).or(due);
        }
        if let Some((times, error)) = due {
            log::warn!(error:% = error, lines_since_last_line = times; "endpoint list has an unreadable line");
        }
    }
}

fn names(update: &Update<ListedEndpoint>, state: State) -> impl Iterator<Item = &str> {
    update.lines.iter().filter(move |line| line.state == state).map(|line| line.name.as_str())
}

fn count(update: &Update<ListedEndpoint>, state: State) -> usize {
    names(update, state).count()
}

fn first_names(update: &Update<ListedEndpoint>, state: State) -> String {
    names(update, state).take(MAX_NAMES).collect::<Vec<_>>().join(",")
}
