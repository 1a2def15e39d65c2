//! What the log says of updates of the endpoint list.

use curlewdeck_membership::{State, Update};

use crate::api::Nanos;
use crate::net::endpoints::{DiscoveryUpdate, ListedEndpoint};
use crate::net::log_limit::LogRateLimit;

/// The most names of draining or removed endpoints in one line.
const MAX_NAMES: usize = 8;

/// Bounds the lines on updates.
#[derive(Debug)]
pub(super) struct UpdateLog {
    applied: LogRateLimit,
    unreadable_lines: LogRateLimit,
}

impl UpdateLog {
    /// The least time between two lines on updates, and between two on unreadable lines.
    pub(super) fn new(applied_interval: Nanos, unreadable_interval: Nanos) -> Self {
        Self {
            applied: LogRateLimit::new(applied_interval),
            unreadable_lines: LogRateLimit::new(unreadable_interval),
        }
    }

    /// An update was applied: how many endpoints it names in each state, and the first that are not in service.
    pub(super) fn applied(&mut self, version: u64, update: &Update<ListedEndpoint>, now: Nanos) {
        let Some(updates) = self.applied.occurred(now) else { return };
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

    /// Logs the first line that cannot be used, of those that an interval lets through.
    pub(super) fn unreadable_lines(&mut self, update: &DiscoveryUpdate, now: Nanos) {
        let mut due = None;
        for error in update.unreadable_lines() {
            due = self.unreadable_lines.occurred(now).map(|times| (times, error)).or(due);
        }
        if let Some((times, error)) = due {
            log::warn!(error:% = error, lines_since_last_line = times; "endpoint list has an unreadable line");
        }
    }
}

fn names(update: &Update<ListedEndpoint>, state: State) -> impl Iterator<Item = &str> {
    update.lines.iter().filter(move |line| line.state == state).map(|line| line.uid.as_str())
}

fn count(update: &Update<ListedEndpoint>, state: State) -> usize {
    names(update, state).count()
}

fn first_names(update: &Update<ListedEndpoint>, state: State) -> String {
    names(update, state).take(MAX_NAMES).collect::<Vec<_>>().join(",")
}
