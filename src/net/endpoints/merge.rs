//! Prepares an update for the table of what is in force: each data node is named once.
//!
//! A later line of a data node replaces an earlier one, but a drain gate that one line closes is not opened by another
//! line of the same update, unless that one tells of a newer start. Discovery doesn't say in which order it writes
//! changes: if `up` is the older of the two, a node that drains would get new work; if it is the newer, one node is idle
//! until the next snapshot or change, which breaks no rule.

use std::collections::HashMap;

use curlewdeck_membership::{Line, State, Update};

use super::{endpoint_state, DiscoveryUpdate, EndpointEntry, EndpointLine, ListedEndpoint};
use crate::engine::Endpoint;

const NANOS_PER_MS: u64 = 1_000_000;

impl From<DiscoveryUpdate> for Update<ListedEndpoint> {
    /// Lines that do not say which data node they are of are left out.
    fn from(update: DiscoveryUpdate) -> Self {
        let mut merged = MergedLines::default();
        update.lines.into_iter().for_each(|line| merged.add(line));
        let lines = merged.lines.into_iter().filter_map(table_line).collect();
        Self { version: update.version, complete: update.complete, lines }
    }
}

/// A line for the table; none where it is not known which data node it is of.
fn table_line(line: EndpointLine) -> Option<Line<ListedEndpoint>> {
    match line {
        EndpointLine::Complete(entry) => Some(Line {
            uid: entry.name.clone(),
            state: entry.state,
            boot: Some(entry.started_at_ms),
            member: Some(listed_endpoint(entry)),
        }),
        EndpointLine::Partial { name, state, started_at_ms, .. } => {
            Some(Line { uid: name, state, boot: started_at_ms, member: None })
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

/// The lines of an update, with one line for each data node.
#[derive(Default)]
struct MergedLines {
    lines: Vec<EndpointLine>,
    /// By the data node's name: the index of its line.
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

/// What two lines of the same data node say together.
fn merge(earlier: &EndpointLine, later: EndpointLine) -> EndpointLine {
    match (earlier, later) {
        // It cannot open a gate, and says nothing else.
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

/// Whether a data node that is up by its later line may be sent new work, whatever its earlier line says.
fn may_reopen(earlier: &EndpointLine, later: &EndpointEntry) -> bool {
    let is_newer_start = |started_at_ms| later.started_at_ms > started_at_ms;
    earlier.state() == State::Up || earlier.started_at_ms().is_some_and(is_newer_start)
}
