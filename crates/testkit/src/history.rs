//! A checker of linearizability for histories of registers, key by key (Wing and Gong's search with the memo of Lowe,
//! as in Porcupine): is there one order of the operations, each placed between its call and its completion, in which every
//! read returns the last write before it?
//!
//! An operation that has not completed (the client gave up, or its outcome is unknown) may have taken effect at any moment
//! after its call, or never. Keys are checked one by one, which is sound since a history is linearizable if and only if that
//! of each key is (locality, Herlihy and Wing).

use std::collections::{BTreeMap, HashSet};

/// What an operation did to its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Set this value.
    Write(Vec<u8>),
    /// Removed the key.
    Remove,
    /// Returned this value; none if the key was absent.
    Read(Option<Vec<u8>>),
}

/// One operation of a history. All times are of one clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The key.
    pub key: String,
    /// What it did.
    pub action: Action,
    /// When it was called.
    pub called_at: u64,
    /// When it completed; none if that is not known, and it may have taken effect or not.
    pub completed_at: Option<u64>,
}

/// Why a history is not linearizable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no order of the {} operations on {key} fits what clients saw", .operations.len())]
pub struct Violation {
    /// The key whose operations admit no order.
    pub key: String,
    /// Its operations, as given.
    pub operations: Vec<Operation>,
}

/// More operations on one key are not searched: a set of them is a bit mask of this width.
pub const MAX_OPERATIONS_PER_KEY: usize = 64;

/// Checks a history; returns how many keys it has.
///
/// # Errors
/// The first key, in order, whose operations admit no linear order. A key with more than [`MAX_OPERATIONS_PER_KEY`]
/// operations is returned as a violation too, so that a test never passes unchecked.
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

/// The operations that are placed already, as a bit mask, and the register's value after them.
type SearchState = (u64, Option<Vec<u8>>);

/// Searches depth-first for an order of the operations on one key.
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
        // An operation may be next only if it was called before every other one that is not placed has completed.
        let is_open = |&i: &usize| placed & bit(i) == 0;
        let first_completion = all.clone().filter(is_open).map(completion).min().unwrap_or(u64::MAX);
        for i in all.clone().filter(is_open) {
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
