//! The one table of truth of what a coordinator has served.
//!
//! Each query is booked when it is taken and at its one end, by class and outcome, with the worth that was asked for and
//! earned; each attempt when it is started and at its one end, by kind and by node. In every [`LedgerSnapshot`] taken = ended
//! + open, for queries by class and for attempts by node, and earned <= asked. Nothing here reads a clock.

pub mod node_table;
pub mod process_stats;
pub mod query_value;
pub mod saved;

use std::collections::HashMap;

use curlewdeck_core::api::{Class, ClassId, EndpointState, Nanos, Outcome, QueryId, ServerId};
use hdrhistogram::Histogram;

use node_table::{NodeBounds, NodeRow, NodeTable};
use query_value::QueryValue;
use saved::{Saved, SavedClass};

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryEnd {
    /// Answered whole, within the class's aim.
    CompleteInTime,
    /// Answered whole, after it.
    CompleteLate,
    /// Answered in part.
    Partial,
    /// Refused: trying again is harmless.
    Rejected,
    /// Given up.
    Failed,
    /// Its client left.
    ClientDisconnected,
}

impl QueryEnd {
    /// All ends, in the order of their tables.
    pub const ALL: [Self; 6] = [
        Self::CompleteInTime,
        Self::CompleteLate,
        Self::Partial,
        Self::Rejected,
        Self::Failed,
        Self::ClientDisconnected,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::CompleteInTime => "wholeInTime",
            Self::CompleteLate => "wholeLate",
            Self::Partial => "partial",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::ClientDisconnected => "gone",
        }
    }
}

/// How an attempt ended, in the order of its tables.
pub const ATTEMPT_OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Success, "pass"),
    (Outcome::ServerError, "fault"),
    (Outcome::Rejected, "noRoom"),
    (Outcome::TimedOut, "tooSlow"),
    (Outcome::ConnectFailed, "noRoute"),
    (Outcome::ConnectionReset, "cut"),
    (Outcome::MalformedResponse, "spoilt"),
    (Outcome::Cancelled, "undone"),
    (Outcome::NotSent, "staleSend"),
];

/// An outcome's place among [`ATTEMPT_OUTCOMES`].
fn place(outcome: Outcome) -> usize {
    ATTEMPT_OUTCOMES.iter().position(|o| o.0 == outcome).unwrap_or(ATTEMPT_OUTCOMES.len() - 1)
}

/// Attempts by what they were and how they ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptCounts {
    /// Started.
    pub started: u64,
    /// Of them: a part's second or later one.
    pub retries: u64,
    /// Of them: while another of the part was out.
    pub hedges: u64,
    /// Ended, by kind, in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
}

impl AttemptCounts {
    fn start(&mut self, number: u32, hedge: bool) {
        self.started += 1;
        self.retries += u64::from(number > 0);
        self.hedges += u64::from(hedge);
    }

    fn end(&mut self, outcome: Outcome) {
        self.ended[place(outcome)] += 1;
    }

    /// All that ended.
    pub fn total_ended(&self) -> u64 {
        self.ended.iter().sum()
    }

    /// Those that are out.
    pub fn in_flight(&self) -> u64 {
        self.started - self.total_ended()
    }

    /// Ended with this outcome.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[place(outcome)]
    }
}

/// One class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRow {
    /// Its name.
    pub name: String,
    /// Queries taken.
    pub accepted: u64,
    /// Queries turned away over the limit, which were not taken.
    pub queue_full: u64,
    /// Ended, in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Worth asked for, in millionths: of all that were taken.
    pub value_requested: u64,
    /// Worth earned, in millionths.
    pub value_served: u64,
    /// Latencies of answers in milliseconds: the least of each of these shares of them in thousandths
    /// ([`LATENCY_QUANTILES`]); none where there is no answer.
    pub latency_ms: Option<[u64; LATENCY_QUANTILES.len()]>,
    /// Sum of the latencies of answers, in milliseconds.
    pub latency_sum_ms: u64,
}

impl ClassRow {
    /// Queries that are open.
    pub fn open(&self) -> u64 {
        self.accepted - self.ended.iter().sum::<u64>()
    }

    /// Ended so.
    pub fn ended_with(&self, end: QueryEnd) -> u64 {
        Self::nth(&self.ended, end)
    }

    /// Ended so, of figures in the order of [`QueryEnd::ALL`].
    pub fn nth(ended: &[u64; QueryEnd::ALL.len()], end: QueryEnd) -> u64 {
        QueryEnd::ALL.iter().zip(ended).find(|(e, _)| **e == end).map_or(0, |(_, n)| *n)
    }
}

/// Shares of answers, in thousandths, whose latency a snapshot gives.
pub const LATENCY_QUANTILES: [u32; 5] = [500, 900, 950, 990, 1000];

/// All figures at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerSnapshot {
    /// When.
    pub at: Nanos,
    /// By class, in the order of the settings.
    pub classes: Vec<ClassRow>,
    /// All attempts, of nodes that are gone too.
    pub attempts: AttemptCounts,
    /// By node, in the order of their indices.
    pub nodes: Vec<NodeRow>,
    /// Node rows that went to make room for others before their time.
    pub nodes_evicted: u64,
    /// Nodes that found no room in the table; they count in the totals.
    pub nodes_unlisted: u64,
}

impl LedgerSnapshot {
    /// A figure over all classes.
    pub fn sum(&self, of: impl Fn(&ClassRow) -> u64) -> u64 {
        self.classes.iter().map(of).sum()
    }

    /// What must hold in every snapshot.
    ///
    /// # Errors
    /// Names what does not.
    pub fn check(&self) -> Result<(), String> {
        for class in &self.classes {
            let ended: u64 = class.ended.iter().sum();
            if ended > class.accepted {
                return Err(format!("class {}: {ended} ended of {} taken", class.name, class.accepted));
            }
            if class.value_served > class.value_requested {
                return Err(format!(
                    "class {}: {} earned of {} asked",
                    class.name, class.value_served, class.value_requested
                ));
            }
        }
        let total = |a: &AttemptCounts| (a.started, a.total_ended());
        let (started, ended) = total(&self.attempts);
        if ended > started {
            return Err(format!("{ended} attempts ended of {started} started"));
        }
        for node in &self.nodes {
            if node.attempts.total_ended() > node.attempts.started {
                return Err(format!("node {}: more attempts ended than started", node.name));
            }
        }
        let of_nodes: u64 = self.nodes.iter().map(|n| n.attempts.started).sum();
        match of_nodes > started {
            true => Err(format!("{of_nodes} attempts at nodes of {started} in all")),
            false => Ok(()),
        }
    }
}

struct ClassLedger {
    class: Class,
    row: ClassRow,
    value: QueryValue,
    latency: Histogram<u64>,
    /// Of `row.full`: what an earlier process had counted.
    restored_queue_full: u64,
}

/// Latencies of more than an hour are counted as one.
const LONGEST_MS: u64 = 3_600_000;
/// Two significant digits: about 10 KB a class.
const DIGITS: u8 = 2;

/// The account of one process.
pub struct RequestLedger {
    classes: Vec<ClassLedger>,
    /// Queries that are open: their class and when they were taken. As many as the core holds.
    open: HashMap<QueryId, (ClassId, Nanos)>,
    attempts: AttemptCounts,
    nodes: NodeTable,
}

impl RequestLedger {
    /// An account of these classes that has booked nothing.
    pub fn new(classes: &[Class], names: &[String], bounds: NodeBounds) -> Self {
        let mut account = Self {
            classes: Vec::new(),
            open: HashMap::new(),
            attempts: AttemptCounts::default(),
            nodes: NodeTable::new(bounds),
        };
        account.add_classes(classes, names);
        account
    }

    /// Takes in the classes behind those that it has: their indices are never given again.
    pub fn add_classes(&mut self, classes: &[Class], names: &[String]) {
        let account = |(class, name): (&Class, &String)| ClassLedger {
            class: class.clone(),
            row: ClassRow {
                name: name.clone(),
                accepted: 0,
                queue_full: 0,
                ended: [0; QueryEnd::ALL.len()],
                value_requested: 0,
                value_served: 0,
                latency_ms: None,
                latency_sum_ms: 0,
            },
            value: QueryValue::of_class(class),
            restored_queue_full: 0,
            // The bounds are constants that a histogram can have.
            latency: Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).expect("bounds of a histogram"),
        };
        self.classes.extend(classes.iter().zip(names).skip(self.classes.len()).map(account));
    }

    /// The classes as they stand, without latencies.
    pub fn rows(&self) -> impl Iterator<Item = &ClassRow> {
        self.classes.iter().map(|c| &c.row)
    }

    /// A query was taken.
    pub fn query_accepted(&mut self, now: Nanos, query: QueryId, class: ClassId) {
        let Some(account) = self.classes.get_mut(class.0) else { return };
        account.row.accepted += 1;
        account.row.value_requested = account.row.value_requested.saturating_add(account.value.full);
        self.open.insert(query, (class, now));
    }

    /// So many queries of a class were turned away over the limit, in all.
    pub fn queries_rejected_queue_full(&mut self, class: ClassId, count: u64) {
        if let Some(account) = self.classes.get_mut(class.0) {
            account.row.queue_full =
                account.row.queue_full.max(account.restored_queue_full.saturating_add(count));
        }
    }

    /// A query was answered, with this share of its ranges' weight in. Only its first end counts.
    pub fn query_answered(
        &mut self,
        now: Nanos,
        query: QueryId,
        complete: bool,
        coverage: f64,
    ) -> Option<QueryEnd> {
        let (class, taken) = self.open.remove(&query)?;
        let account = self.classes.get_mut(class.0)?;
        let latency = now.saturating_sub(taken);
        let in_time = latency <= account.class.latency_objective;
        let end = match (complete, in_time) {
            (true, true) => QueryEnd::CompleteInTime,
            (true, false) => QueryEnd::CompleteLate,
            (false, _) => QueryEnd::Partial,
        };
        let value_served = account.value.served(complete, in_time, coverage);
        account.row.value_served = account.row.value_served.saturating_add(value_served);
        let ms = (latency / 1_000_000).clamp(1, LONGEST_MS);
        account.latency.saturating_record(ms);
        account.row.latency_sum_ms = account.row.latency_sum_ms.saturating_add(ms);
        account.record(end);
        Some(end)
    }

    /// A query ended without an answer. Only its first end counts.
    pub fn query_ended(&mut self, query: QueryId, end: QueryEnd) -> Option<QueryEnd> {
        let (class, _) = self.open.remove(&query)?;
        self.classes.get_mut(class.0)?.record(end);
        Some(end)
    }

    /// An attempt was started at a node: the part's number of it, and whether another of the part is out.
    pub fn attempt_started(&mut self, node: ServerId, number: u32, hedge: bool) {
        self.attempts.start(number, hedge);
        if let Some(row) = self.nodes.row_to_start(node) {
            row.attempts.start(number, hedge);
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, node: ServerId, outcome: Outcome) {
        self.attempts.end(outcome);
        if let Some(row) = self.nodes.row(node) {
            row.attempts.end(outcome);
        }
    }

    /// The list says this of a node.
    pub fn node_state(&mut self, now: Nanos, node: ServerId, name: &str, state: EndpointState) {
        self.nodes.update_state(now, node, name, state);
    }

    /// A node was forgotten by the core: nothing of it is out, and its id is not given again.
    pub fn node_removed(&mut self, now: Nanos, node: ServerId) {
        self.nodes.removed(now, node);
    }

    /// What outlives the process: what has ended. What is open now will not be answered by the next one.
    pub fn save(&self) -> Saved {
        let class = |c: &ClassLedger| {
            let (row, open) = (&c.row, c.row.open());
            SavedClass {
                name: row.name.clone(),
                full: row.queue_full,
                ended: row.ended,
                asked: row.value_requested.saturating_sub(c.value.full.saturating_mul(open)),
                earned: row.value_served,
                latency_sum_ms: row.latency_sum_ms,
            }
        };
        let attempts = &self.attempts;
        let ended = attempts.total_ended();
        Saved {
            classes: self.classes.iter().map(class).collect(),
            repeats: attempts.retries.min(ended),
            copies: attempts.hedges.min(ended),
            ended: attempts.ended,
            next_node: self.nodes.next(),
            nodes_evicted: self.nodes.evicted(),
            nodes_unlisted: self.nodes.unlisted(),
        }
    }

    /// Goes on from what an earlier process had saved: totals, by the names of classes, and the nodes' indices, which
    /// are not given again. To be called before anything is booked.
    pub fn restore(&mut self, saved: &Saved) {
        for account in &mut self.classes {
            let Some(class) = saved.classes.iter().find(|c| c.name == account.row.name) else { continue };
            let row = &mut account.row;
            row.ended = class.ended;
            row.accepted = class.ended.iter().fold(0, |sum, n| sum.saturating_add(*n));
            (row.queue_full, row.latency_sum_ms) = (class.full, class.latency_sum_ms);
            (row.value_requested, row.value_served) = (class.asked, class.earned.min(class.asked));
            account.restored_queue_full = class.full;
        }
        self.attempts.ended = saved.ended;
        self.attempts.started = saved.ended.iter().fold(0, |sum, n| sum.saturating_add(*n));
        self.attempts.retries = saved.repeats.min(self.attempts.started);
        self.attempts.hedges = saved.copies.min(self.attempts.started);
        self.nodes.restore(saved.next_node, saved.nodes_evicted, saved.nodes_unlisted);
    }

    /// Queries that are open.
    pub fn open_queries(&self) -> usize {
        self.open.len()
    }

    /// All attempts.
    pub fn attempts(&self) -> &AttemptCounts {
        &self.attempts
    }

    /// A figure over all classes, without a snapshot.
    pub fn sum(&self, of: impl Fn(&ClassRow) -> u64) -> u64 {
        self.classes.iter().map(|c| of(&c.row)).sum()
    }

    /// All figures as they stand.
    pub fn snapshot(&mut self, now: Nanos) -> LedgerSnapshot {
        let class = |c: &ClassLedger| {
            let quantile = |q: u32| c.latency.value_at_quantile(f64::from(q) / 1000.0);
            let latency_ms = (!c.latency.is_empty()).then(|| LATENCY_QUANTILES.map(quantile));
            ClassRow { latency_ms, ..c.row.clone() }
        };
        LedgerSnapshot {
            at: now,
            classes: self.classes.iter().map(class).collect(),
            attempts: self.attempts,
            nodes: self.nodes.rows(now),
            nodes_evicted: self.nodes.evicted(),
            nodes_unlisted: self.nodes.unlisted(),
        }
    }
}

impl ClassLedger {
    fn record(&mut self, end: QueryEnd) {
        let at = QueryEnd::ALL.iter().position(|e| *e == end).unwrap_or(0);
        self.row.ended[at] += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewdeck_core::api::RetrySafety;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    pub(crate) fn class() -> Class {
        Class {
            latency_objective: 100 * MS,
            deadline: 1000 * MS,
            priority_weight: 3.0,
            late_value_ratio: 0.3,
            retry_safety: RetrySafety::Idempotent,
            retry_window: 0,
            min_coverage: 0.8,
            complete_coverage: 1.0,
            partial_value_ratio: Some(0.8),
            second_phase_parts: 0,
            max_attempts: 4,
            retired: false,
        }
    }

    fn account() -> RequestLedger {
        let bounds = NodeBounds { max_rows: 4, retention: 10 * MS };
        RequestLedger::new(&[class(), class()], &["a".into(), "b".into()], bounds)
    }

    #[test]
    fn an_end_is_booked_once_with_its_worth() {
        let mut a = account();
        for n in 0..4 {
            a.query_accepted(0, QueryId(n), ClassId(0));
        }
        assert_eq!(a.query_answered(50 * MS, QueryId(0), true, 1.0), Some(QueryEnd::CompleteInTime));
        assert_eq!(a.query_answered(50 * MS, QueryId(0), true, 1.0), None, "a second end");
        assert_eq!(a.query_answered(101 * MS, QueryId(1), true, 1.0), Some(QueryEnd::CompleteLate));
        assert_eq!(a.query_answered(60 * MS, QueryId(2), false, 0.9), Some(QueryEnd::Partial));
        assert_eq!(a.query_ended(QueryId(2), QueryEnd::ClientDisconnected), None);
        let s = a.snapshot(0);
        let row = &s.classes[0];
        assert_eq!((row.accepted, row.open(), row.value_requested), (4, 1, 12_000_000));
        // 3 in time, 3 * 0.3 late, 3 * 0.8 * 0.9 in part.
        assert_eq!(row.value_served, 3_000_000 + 900_000 + 2_160_000);
        assert_eq!(row.latency_ms.map(|l| (l[0], l[4])), Some((60, 101)));
        assert_eq!(s.classes[1].accepted, 0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever is booked in whatever order: every snapshot holds, and counts never fall.
        #[test]
        fn every_snapshot_holds(steps in proptest::collection::vec((0..9u8, 0..12u64, 0..300u64), 0..200)) {
            let (mut a, mut now, mut next) = (account(), 0, 0u64);
            let mut out: Vec<(ServerId, u64)> = Vec::new();
            let mut before = a.snapshot(0);
            // The core gives an id once, and forgets a node only when nothing of it is out.
            let mut ids = [0, 1, 2, 3, 4, 5, 6];
            for (kind, pick, span) in steps {
                now += span * MS / 10;
                let query = QueryId(pick);
                let node = ServerId(ids[pick as usize % 7]);
                match kind {
                    0 | 1 => {
                        a.query_accepted(now, QueryId(next), ClassId(pick as usize % 3));
                        next += 1;
                    }
                    2 => drop(a.query_answered(now, query, pick % 2 == 0, 0.9)),
                    3 => drop(a.query_ended(query, QueryEnd::ALL[3 + pick as usize % 3])),
                    4 => {
                        a.attempt_started(node, pick as u32 % 3, pick % 2 == 0);
                        out.push((node, pick));
                    }
                    5 => {
                        if let Some((node, pick)) = out.pop() {
                            a.attempt_ended(node, ATTEMPT_OUTCOMES[pick as usize % ATTEMPT_OUTCOMES.len()].0);
                        }
                    }
                    6 => a.node_state(now, node, &format!("s{}", node.0), [EndpointState::Active, EndpointState::Draining, EndpointState::Removed][pick as usize % 3]),
                    7 if out.iter().all(|o| o.0 != node) => {
                        a.node_removed(now, node);
                        ids[pick as usize % 7] += 7;
                    }
                    _ => a.queries_rejected_queue_full(ClassId(pick as usize % 2), pick),
                }
                let s = a.snapshot(now);
                prop_assert_eq!(s.check(), Ok(()));
                prop_assert_eq!(s.sum(ClassRow::open), a.open_queries() as u64);
                prop_assert_eq!(s.attempts.in_flight(), out.len() as u64);
                prop_assert!(s.nodes.len() <= 4);
                prop_assert!(s.nodes.windows(2).all(|w| w[0].index < w[1].index));
                for (b, n) in before.classes.iter().zip(&s.classes) {
                    prop_assert!(b.accepted <= n.accepted && b.value_served <= n.value_served && b.ended.iter().zip(&n.ended).all(|(b, n)| b <= n));
                }
                before = s;
            }
        }
    }

    /// After a restart figures go on from what was saved, never above what was served, and hold as ever.
    #[test]
    fn a_restart_goes_on_from_what_had_ended() {
        let mut a = account();
        for n in 0..3 {
            a.query_accepted(0, QueryId(n), ClassId(0));
        }
        a.query_answered(50 * MS, QueryId(0), true, 1.0);
        a.queries_rejected_queue_full(ClassId(0), 4);
        a.node_state(0, ServerId(0), "s", EndpointState::Active);
        a.attempt_started(ServerId(0), 0, false);
        a.attempt_started(ServerId(0), 1, true);
        a.attempt_ended(ServerId(0), Outcome::Success);
        let saved = a.save();
        let mut b = account();
        b.restore(&saved);
        let s = b.snapshot(0);
        assert_eq!(s.check(), Ok(()));
        let row = &s.classes[0];
        assert_eq!(
            (row.accepted, row.open(), row.value_requested, row.value_served, row.queue_full),
            (1, 0, 3_000_000, 3_000_000, 4)
        );
        assert_eq!((s.attempts.started, s.attempts.in_flight()), (1, 0));
        b.queries_rejected_queue_full(ClassId(0), 1);
        b.node_state(0, ServerId(0), "s", EndpointState::Active);
        let s = b.snapshot(0);
        assert_eq!((s.classes[0].queue_full, s.nodes[0].index), (5, 2));
        assert_eq!(b.save().next_node, 3);
        // Another deployment's classes are not mixed in.
        let mut c =
            RequestLedger::new(&[class()], &["other".into()], NodeBounds { max_rows: 1, retention: 1 });
        c.restore(&saved);
        assert_eq!(c.snapshot(0).classes[0].accepted, 0);
    }

    /// The check itself must be able to fail.
    #[test]
    fn a_snapshot_that_does_not_hold_is_named() {
        let mut a = account();
        a.query_accepted(0, QueryId(0), ClassId(0));
        a.node_state(0, ServerId(0), "s", EndpointState::Active);
        let good = a.snapshot(0);
        let spoil = |change: fn(&mut LedgerSnapshot)| {
            let mut s = good.clone();
            change(&mut s);
            s.check().unwrap_err()
        };
        assert!(spoil(|s| s.classes[0].ended[0] = 2).contains("2 ended of 1 taken"));
        assert!(spoil(|s| s.classes[0].value_served = u64::MAX).contains("earned"));
        assert!(spoil(|s| s.attempts.ended[0] = 1).contains("attempts ended"));
        assert!(spoil(|s| s.nodes[0].attempts.ended[0] = 1).contains("node s"));
        assert!(spoil(|s| s.nodes[0].attempts.started = 1).contains("at nodes"));
    }
}
