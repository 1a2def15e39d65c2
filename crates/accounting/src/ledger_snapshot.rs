//! All counts at one moment, and what must hold among them.

use curlewdeck_core::api::Nanos;

use crate::attempt_counts::AttemptCounts;
use crate::class_totals::ClassRow;
use crate::node_table::NodeRow;

/// All counts at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerSnapshot {
    /// The moment.
    pub at: Nanos,
    /// By class, in the order of the settings.
    pub classes: Vec<ClassRow>,
    /// All attempts, including those at nodes that were removed since.
    pub attempts: AttemptCounts,
    /// By node, in the order of their indices.
    pub nodes: Vec<NodeRow>,
    /// Rows of removed nodes that were evicted before their retention was over.
    pub nodes_evicted: u64,
    /// Nodes for which there was no row; their attempts count in the totals only.
    pub nodes_unlisted: u64,
}

/// What does not hold in a [`LedgerSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InconsistentLedger {
    /// More queries of a class have ended than were accepted.
    #[error("class {class}: {ended} ended of {accepted} taken")]
    MoreQueriesEnded {
        /// The class's name.
        class: String,
        /// Queries that have ended.
        ended: u64,
        /// Queries that were accepted.
        accepted: u64,
    },
    /// More value of a class was served than was requested.
    #[error("class {class}: {served} earned of {requested} asked")]
    MoreValueServed {
        /// The class's name.
        class: String,
        /// Value served, in millionths.
        served: u64,
        /// Value requested, in millionths.
        requested: u64,
    },
    /// More attempts have ended than were started.
    #[error("{ended} attempts ended of {started} started")]
    MoreAttemptsEnded {
        /// Attempts that have ended.
        ended: u64,
        /// Attempts that were started.
        started: u64,
    },
    /// More attempts at a node have ended than were started there.
    #[error("node {node}: more attempts ended than started")]
    MoreAttemptsEndedAtNode {
        /// The node's name.
        node: String,
    },
    /// More attempts were started at all nodes together than in total.
    #[error("{at_nodes} attempts at nodes of {started} in all")]
    MoreAttemptsAtNodes {
        /// Attempts started at nodes.
        at_nodes: u64,
        /// Attempts started in total.
        started: u64,
    },
}

impl LedgerSnapshot {
    /// A count summed over all classes.
    pub fn sum(&self, count: impl Fn(&ClassRow) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }

    /// Checks what must hold in every snapshot.
    ///
    /// # Errors
    /// The first thing that does not hold.
    pub fn check(&self) -> Result<(), InconsistentLedger> {
        self.classes.iter().try_for_each(check_class)?;
        let (started, ended) = (self.attempts.started, self.attempts.total_ended());
        if ended > started {
            return Err(InconsistentLedger::MoreAttemptsEnded { ended, started });
        }
        for node in &self.nodes {
            if node.attempts.total_ended() > node.attempts.started {
                return Err(InconsistentLedger::MoreAttemptsEndedAtNode { node: node.name.clone() });
            }
        }
        let at_nodes: u64 = self.nodes.iter().map(|n| n.attempts.started).sum();
        if at_nodes > started {
            return Err(InconsistentLedger::MoreAttemptsAtNodes { at_nodes, started });
        }
        Ok(())
    }
}

fn check_class(row: &ClassRow) -> Result<(), InconsistentLedger> {
    let ended: u64 = row.ended.iter().sum();
    if ended > row.accepted {
        let (class, accepted) = (row.name.clone(), row.accepted);
        return Err(InconsistentLedger::MoreQueriesEnded { class, ended, accepted });
    }
    if row.value_served > row.value_requested {
        let (class, served, requested) = (row.name.clone(), row.value_served, row.value_requested);
        return Err(InconsistentLedger::MoreValueServed { class, served, requested });
    }
    Ok(())
}
