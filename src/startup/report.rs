//! The report that the process logs on SIGUSR1 and at exit. Scripts parse it, so its words are an interface.

use curlewdeck_accounting::node_table::NodeRow;
use curlewdeck_accounting::{query_value, ClassRow, LedgerSnapshot, QueryEnd, ATTEMPT_OUTCOMES};

use crate::api::EndpointState;

/// The indexes of the median and the 99th percentile in a class's latency quantiles.
const MEDIAN_INDEX: usize = 0;
const P99_INDEX: usize = 3;

/// Formats a snapshot of the request ledger: a line for each class, then a line for each data node.
pub(super) fn ledger_report(snapshot: &LedgerSnapshot) -> String {
    let classes = snapshot.classes.iter().map(class_line);
    let nodes = snapshot.nodes.iter().map(node_line);
    classes.chain(nodes).map(|line| line + "\n").collect()
}

fn class_line(class: &ClassRow) -> String {
    let query_ends: Vec<String> =
        QueryEnd::ALL.iter().zip(class.ended).map(|(end, count)| format!("{}={count}", end.name())).collect();
    let latency = class
        .latency_ms
        .map(|quantiles| format!(" p50_ms={} p99_ms={}", quantiles[MEDIAN_INDEX], quantiles[P99_INDEX]))
        .unwrap_or_default();
    format!(
        "class {} taken={} open={} full={} {} asked={} earned={}{latency}",
        class.name,
        class.accepted,
        class.open(),
        class.queue_full,
        query_ends.join(" "),
        class.value_requested as f64 / query_value::MILLIONTHS,
        class.value_served as f64 / query_value::MILLIONTHS,
    )
}

fn node_line(node: &NodeRow) -> String {
    let attempts = &node.attempts;
    let outcomes: Vec<String> = ATTEMPT_OUTCOMES
        .iter()
        .zip(attempts.ended)
        .map(|(outcome, count)| format!("{}={count}", outcome.1))
        .collect();
    format!(
        "node {} {} {} drains={} started={} repeats={} copies={} out={} {}",
        node.index,
        node.name,
        state_word(node.state),
        node.drains,
        attempts.started,
        attempts.retries,
        attempts.hedges,
        attempts.in_flight(),
        outcomes.join(" "),
    )
}

/// The report's word for the state of a data node.
fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Active => "In",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Out",
    }
}
