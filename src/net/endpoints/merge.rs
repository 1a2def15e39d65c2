//! Prepares an update for the membership table by merging the lines of each data node into one.
//!
//! A later line of a data node replaces an earlier one. However, if one line closes the drain gate, another line of the
//! same update opens it only if it reports a newer start. The order in which discovery writes changes is unspecified:
//! if `up` were the older state, a draining node would get new work. If it is the newer one, the node stays idle until
//! the next snapshot or delta, which does not violate the drain rule.

use std::collections::HashMap;

use curlewdeck_membership::{Line, State, Update};

use super::{endpoint_state, DiscoveryUpdate, EndpointEntry, EndpointLine, ListedEndpoint};
use crate::engine::Endpoint;

const NANOS_PER_MS: u64 = 1_000_000;

impl From<DiscoveryUpdate> for Update<ListedEndpoint> {
    /// Omits lines without a readable name.
    fn from(update: DiscoveryUpdate) -> Self {
        let mut merged = MergedLines::default();
        update.lines.into_iter().for_each(|line| merged.add(line));
        let lines = merged.lines.into_iter().filter_map(table_line).collect();
        Self { version: update.version, complete: update.complete, lines }
    }
}

/// Converts a line for the table; returns `None` if its data node is unknown.
fn table_line(line: EndpointLine) -> Option<Line<ListedEndpoint>> {
    match line {
        EndpointLine::Complete(entry) => Some(Line {
            name: entry.name.clone(),
            state: entry.state,
            started_at: Some(entry.started_at_ms),
            details: Some(listed_endpoint(entry)),
        }),
        EndpointLine::Partial { name, state, started_at_ms, .. } => {
            Some(Line { name, state, started_at: started_at_ms, details: None })
        }
        EndpointLine::Unreadable(_) => None,
    }
}

fn listed_endpoint(entry: EndpointEntry) -> ListedEndpoint {
    let endpoint = Endpoint {
        name: entry.name,
        partition_group: entry.partition_group,
        started_at: entry.started_at_ms.saturating_mul(NANOS_PER_MS),
        capacity: entry.capacity,
        state: endpoint_state(entry.state),
        zone: entry.zone,
    };
    (endpoint, entry.address)
}

/// The merged lines of an update, one for each data node.
#[derive(Default)]
struct MergedLines {
    lines: Vec<EndpointLine>,
    /// Index in `lines` by the data node's name.
    indices: HashMap<String, usize>,
}

impl MergedLines {
    fn add(&mut self, line: EndpointLine) {
        let Some(name) = line.name() else { return };
        match self.indices.get(name) {
            Some(&index) => {
                let earlier = &mut self.lines[index];
                *earlier = merge(earlier, line);
            }
            None => {
                self.indices.insert(name.to_string(), self.lines.len());
                self.lines.push(line);
            }
        }
    }
}

/// Merges two lines of the same data node.
fn merge(earlier: &EndpointLine, later: EndpointLine) -> EndpointLine {
    match (earlier, later) {
        // A partial line cannot open a gate, and `Up` carries no other information.
        (_, EndpointLine::Partial { state: State::Up, .. }) => earlier.clone(),
        (EndpointLine::Complete(before), EndpointLine::Partial { state, .. }) => {
            EndpointLine::Complete(EndpointEntry { state, ..before.clone() })
        }
        (_, EndpointLine::Complete(entry)) if entry.state == State::Up && !may_reopen(earlier, &entry) => {
            EndpointLine::Complete(EndpointEntry { state: earlier.state(), ..entry })
        }
        (_, later) => later,
    }
}

/// Returns whether a later line in state `Up` may open the gate despite the earlier line.
fn may_reopen(earlier: &EndpointLine, later: &EndpointEntry) -> bool {
    let is_newer_start = |started_at_ms| later.started_at_ms > started_at_ms;
    earlier.state() == State::Up || earlier.started_at_ms().is_some_and(is_newer_start)
}
