//! A linearizability checker for histories of registers (Wing and Gong's search with Lowe's memoization, as in
//! Porcupine). A history is linearizable if its operations have a total order in which each operation takes effect
//! between its call and its completion, and every read returns the last write before it.
//!
//! An operation that has not completed (the client gave up, or its outcome is unknown) may take effect at any time
//! after its call, or never. Keys are checked separately, which is sound because a history is linearizable if and only
//! if the history of each key is (locality, Herlihy and Wing).

use std::collections::{BTreeMap, HashSet};

/// The effect of an operation on its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Sets the key to this value.
    Write(Vec<u8>),
    /// Removes the key.
    Remove,
    /// Returns this value; `None` if the key is absent.
    Read(Option<Vec<u8>>),
}

/// One operation of a history. All times are from the same clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The register that the operation reads or writes.
    pub key: String,
    /// The effect of the operation, and the value that a read returned.
    pub action: Action,
    /// When the client started the operation.
    pub called_at: u64,
    /// When the operation completed; `None` if its outcome is unknown.
    pub completed_at: Option<u64>,
}

/// A key whose history is not linearizable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the {} operations on {key} are not linearizable", .operations.len())]
pub struct Violation {
    /// The key whose operations have no valid order.
    pub key: String,
    /// The operations on the key, in the order of the history.
    pub operations: Vec<Operation>,
}

/// Maximum number of operations per key, since the search represents a set of operations as a 64-bit mask.
pub const MAX_OPERATIONS_PER_KEY: usize = 64;

/// Checks a history and returns its number of keys.
///
/// # Errors
/// Returns the first key, in lexical order, whose operations are not linearizable. A key with more than
/// [`MAX_OPERATIONS_PER_KEY`] operations is also reported as a violation, so that no test passes unchecked.
pub fn check(history: &[Operation]) -> Result<usize, Violation> {
    let mut by_key: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in history {
        by_key.entry(&operation.key).or_default().push(operation);
    }
    for (key, operations) in &by_key {
        if operations.len() > MAX_OPERATIONS_PER_KEY || !is_linearizable(operations) {
            return Err(Violation {
                key: (*key).to_owned(),
                operations: operations.iter().map(|operation| (*operation).clone()).collect(),
            });
        }
    }
    Ok(by_key.len())
}

/// The set of operations already placed in the order, as a bit mask, and the register's value after them.
type SearchState = (u64, Option<Vec<u8>>);

/// Searches depth-first for a valid order of the operations on one key.
fn is_linearizable(operations: &[&Operation]) -> bool {
    let bit = |i: usize| 1_u64 << i;
    let all = 0..operations.len();
    let completion = |i: usize| operations[i].completed_at.unwrap_or(u64::MAX);
    let completed: u64 =
        all.clone().filter(|&i| operations[i].completed_at.is_some()).fold(0, |mask, i| mask | bit(i));
    let mut visited: HashSet<SearchState> = HashSet::new();
    let mut stack: Vec<SearchState> = vec![(0, None)];
    while let Some((placed, value)) = stack.pop() {
        if placed & completed == completed {
            return true;
        }
        if !visited.insert((placed, value.clone())) {
            continue;
        }
        // An operation can be placed next only if it was called before the first completion among the unplaced ones.
        let is_unplaced = |&i: &usize| placed & bit(i) == 0;
        let first_completion = all.clone().filter(is_unplaced).map(completion).min().unwrap_or(u64::MAX);
        for i in all.clone().filter(is_unplaced) {
            if operations[i].called_at > first_completion {
                continue;
            }
            let next = match &operations[i].action {
                Action::Write(written) => Some(written.clone()),
                Action::Remove => None,
                Action::Read(returned) if *returned == value => value.clone(),
                Action::Read(_) => continue,
            };
            stack.push((placed | bit(i), next));
        }
    }
    false
}
