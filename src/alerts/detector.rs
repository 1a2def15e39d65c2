//! Detects changes between two observations of the process that raise an alert. Performs no I/O.

use std::collections::BTreeMap;

use curlewdeck_accounting::node_table::NodeRow;
use curlewdeck_accounting::{LedgerSnapshot, QueryEnd};
use curlewdeck_snmp::notify::Notice;
use curlewdeck_snmp::registry::Module;
use curlewdeck_snmp::tree::Value;

use crate::api::{EndpointState, Nanos};
use crate::mib;

/// The ratio of rejected queries is computed over this time...
const REJECTION_WINDOW_NS: Nanos = 10_000_000_000;
/// ...and raises an alert only if at least this many queries were received in it.
const REJECTION_MIN_QUERIES: u64 = 20;
/// The alert on low descriptors is raised when more than this many tenths of the limit are in use.
const LOW_DESCRIPTORS_TENTHS: usize = 9;

/// The state of the process at one point in time.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Observation {
    pub(super) ledger: LedgerSnapshot,
    /// How often updates of the endpoint list were overdue.
    pub(super) list_overdue: u64,
    /// The number of SNMP requests that were denied for security reasons.
    pub(super) snmp_denied: u64,
    pub(super) descriptors: DescriptorUse,
}

/// The number of open descriptors of the process, and their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DescriptorUse {
    pub(super) open: usize,
    pub(super) limit: usize,
}

impl DescriptorUse {
    fn is_low(self) -> bool {
        self.open * 10 > self.limit * LOW_DESCRIPTORS_TENTHS
    }
}

/// The state of a data node in the last observation.
#[derive(Debug, Clone, Copy)]
struct ObservedNode {
    state: EndpointState,
    drains: u64,
}

impl ObservedNode {
    /// A data node that was added since the last observation counts as previously active.
    const ADDED: Self = Self { state: EndpointState::Active, drains: 0 };

    fn of(row: &NodeRow) -> Self {
        Self { state: row.state, drains: row.drains }
    }
}

/// The query counts at the beginning of the window over which the ratio of rejected queries is computed.
#[derive(Debug, Clone, Copy)]
struct RejectionWindow {
    since: Nanos,
    rejected: u64,
    received: u64,
}

/// Compares each observation with the previous one.
pub(super) struct AlertDetector {
    module: Module,
    max_rejection_ratio: f64,
    /// Data nodes by index. `None` before the first observation, which raises no alerts about data nodes.
    nodes: Option<BTreeMap<u32, ObservedNode>>,
    rejections: Option<RejectionWindow>,
    list_overdue: u64,
    snmp_denied: u64,
    descriptors_low: bool,
}

impl AlertDetector {
    /// Creates a detector without observations. It raises an alert when the ratio of rejected queries exceeds the given
    /// one.
    pub(super) fn new(max_rejection_ratio: f64) -> Self {
        Self {
            module: mib::module(),
            max_rejection_ratio,
            nodes: None,
            rejections: None,
            list_overdue: 0,
            snmp_denied: 0,
            descriptors_low: false,
        }
    }

    /// Builds the notification of this name. Objects are given as name, instance and value.
    pub(super) fn notice(&self, name: &str, subject: &str, objects: &[(&str, u32, Value)]) -> Notice {
        let object = |(name, instance, value): &(&str, u32, Value)| {
            let oid = self.module.oid_of(name).unwrap_or_default();
            ([&oid[..], &[*instance]].concat(), value.clone())
        };
        let oid = self.module.notification(name).unwrap_or_default();
        Notice { oid, subject: subject.to_string(), objects: objects.iter().map(object).collect() }
    }

    /// The name of a notification; empty if the MIB module does not define it.
    pub(super) fn notification_name(&self, notice: &Notice) -> &'static str {
        self.module.notification_of(&notice.oid).map_or("", |notification| notification.name)
    }

    /// Returns the alerts about changes since the last observation.
    pub(super) fn detect(&mut self, observation: &Observation) -> Vec<Notice> {
        let mut notices = self.detect_node_changes(&observation.ledger);
        notices.extend(self.detect_rejections(&observation.ledger));
        notices.extend(self.detect_list_overdue(observation.list_overdue));
        notices.extend(self.detect_snmp_denied(observation.snmp_denied));
        notices.extend(self.detect_low_descriptors(observation.descriptors));
        notices
    }

    fn detect_node_changes(&mut self, ledger: &LedgerSnapshot) -> Vec<Notice> {
        let mut notices = Vec::new();
        for row in &ledger.nodes {
            let before = match &self.nodes {
                None => ObservedNode::of(row),
                Some(observed) => observed.get(&row.index).copied().unwrap_or(ObservedNode::ADDED),
            };
            let node_name = [("cdNodeName", row.index, Value::Text(row.name.clone().into_bytes()))];
            if row.drains > before.drains {
                notices.push(self.notice("cdNodeDraining", &row.name, &node_name));
            }
            if row.state == EndpointState::Removed && before.state != EndpointState::Removed {
                notices.push(self.notice("cdNodeLost", &row.name, &node_name));
            }
        }
        self.nodes = Some(ledger.nodes.iter().map(|row| (row.index, ObservedNode::of(row))).collect());
        notices
    }

    fn detect_rejections(&mut self, ledger: &LedgerSnapshot) -> Option<Notice> {
        let rejected_by_policy = ledger.sum(|class| class.ended_with(QueryEnd::Rejected));
        let rejected_queue_full = ledger.sum(|class| class.queue_full);
        let now = RejectionWindow {
            since: ledger.at,
            rejected: rejected_by_policy + rejected_queue_full,
            received: ledger.sum(|class| class.accepted) + rejected_queue_full,
        };
        let Some(before) = self.rejections else {
            self.rejections = Some(now);
            return None;
        };
        if now.since.saturating_sub(before.since) < REJECTION_WINDOW_NS {
            return None;
        }
        self.rejections = Some(now);
        let received = now.received.saturating_sub(before.received);
        let rejected = now.rejected.saturating_sub(before.rejected);
        let is_high = rejected as f64 > self.max_rejection_ratio * received as f64;
        if received < REJECTION_MIN_QUERIES || !is_high {
            return None;
        }
        let counts = [
            ("cdQueriesRefused", 0, Value::Counter64(rejected_by_policy)),
            ("cdQueriesFull", 0, Value::Counter64(rejected_queue_full)),
        ];
        Some(self.notice("cdRefusalsHigh", "", &counts))
    }

    fn detect_list_overdue(&mut self, count: u64) -> Option<Notice> {
        let before = std::mem::replace(&mut self.list_overdue, count);
        let object = ("cdListOverdue", 0, Value::Counter64(count));
        (count > before).then(|| self.notice("cdListSilent", "", &[object]))
    }

    fn detect_snmp_denied(&mut self, count: u64) -> Option<Notice> {
        let before = std::mem::replace(&mut self.snmp_denied, count);
        let object = ("cdSnmpDenied", 0, Value::Counter64(count));
        (count > before).then(|| self.notice("cdSecurityFailure", "", &[object]))
    }

    fn detect_low_descriptors(&mut self, descriptors: DescriptorUse) -> Option<Notice> {
        let was_low = std::mem::replace(&mut self.descriptors_low, descriptors.is_low());
        (self.descriptors_low && !was_low).then(|| self.notice("cdDescriptorsLow", "", &[]))
    }
}

#[cfg(test)]
mod tests;
