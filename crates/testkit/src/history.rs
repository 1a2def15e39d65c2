//! A checker of linearizability for histories of registers, key by key (Wing and Gong's search with the memo of Lowe,
//! as in Porcupine): is there one order of the operations, each placed between its call and its answer, in which every
//! read sees the last write before it?
//!
//! An operation without an answer (the client gave up, or was told "unknown") may have taken effect at any moment after
//! its call, or never. Keys are judged one by one, which is sound since a register's history is linearizable if and only
//! if each key's is (locality, Herlihy and Wing).

use std::collections::{BTreeMap, HashSet};
use std::fmt;

/// What an operation did to its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Op {
    /// Set the value.
    Write(Vec<u8>),
    /// Remove the key.
    Remove,
    /// Saw this value (none: the key was absent).
    Read(Option<Vec<u8>>),
}

/// One operation of a history: its key, what it did, when it was called and when it was answered, on one clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// What it did; a read's value is what it saw.
    pub op: Op,
    /// When it was called.
    pub call: u64,
    /// When it was answered as done; none if it never was (it may have happened, or not).
    pub done: Option<u64>,
}

/// Why a history is not linearizable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The key whose operations admit no order.
    pub key: String,
    /// Its operations, as given.
    pub events: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no order of the {} operations on {} fits what clients saw", self.events.len(), self.key)
    }
}

impl std::error::Error for Violation {}

/// Operations on one key at most that are searched; more on one key is refused rather than searched for long.
pub const MOST_ON_A_KEY: usize = 64;

/// Judges a history.
///
/// # Errors
/// The first key, in order, whose operations admit no linear order; or one with more than [`MOST_ON_A_KEY`] operations,
/// which is not searched and is given back as a violation too, so that a test never passes unchecked.
pub fn check(events: &[Event]) -> Result<usize, Violation> {
    let mut keys: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    for e in events {
        keys.entry(&e.key).or_default().push(e);
    }
    for (key, ops) in &keys {
        if ops.len() > MOST_ON_A_KEY || !linearizable(ops) {
            return Err(Violation {
                key: (*key).to_owned(),
                events: ops.iter().map(|e| (*e).clone()).collect(),
            });
        }
    }
    Ok(keys.len())
}

fn linearizable(ops: &[&Event]) -> bool {
    let n = ops.len();
    let ret = |i: usize| ops[i].done.unwrap_or(u64::MAX);
    let mut memo: HashSet<(u64, Option<Vec<u8>>)> = HashSet::new();
    // Depth-first over the linearized set (a bitmask of at most 64) and the register's value.
    let mut stack: Vec<(u64, Option<Vec<u8>>)> = vec![(0, None)];
    let answered: u64 = (0..n).filter(|&i| ops[i].done.is_some()).fold(0, |m, i| m | 1 << i);
    while let Some((done, value)) = stack.pop() {
        if done & answered == answered {
            return true;
        }
        if !memo.insert((done, value.clone())) {
            continue;
        }
        // An operation may go next only if it was called before every other open one was answered.
        let first_ret = (0..n).filter(|&i| done & 1 << i == 0).map(ret).min().unwrap_or(u64::MAX);
        for i in (0..n).filter(|&i| done & 1 << i == 0 && ops[i].call <= first_ret) {
            let next = match &ops[i].op {
                Op::Write(v) => Some(Some(v.clone())),
                Op::Remove => Some(None),
                Op::Read(seen) => (seen == &value).then(|| value.clone()),
            };
            if let Some(next) = next {
                stack.push((done | 1 << i, next));
            }
        }
    }
    false
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ev(key: &str, op: Op, call: u64, done: Option<u64>) -> Event {
        Event { key: key.into(), op, call, done }
    }

    fn w(v: &str) -> Op {
        Op::Write(v.as_bytes().to_vec())
    }

    fn r(v: Option<&str>) -> Op {
        Op::Read(v.map(|v| v.as_bytes().to_vec()))
    }

    #[test]
    fn a_read_after_a_write_must_see_it() {
        assert!(check(&[ev("a", w("1"), 0, Some(2)), ev("a", r(Some("1")), 3, Some(4))]).is_ok());
        assert!(check(&[ev("a", w("1"), 0, Some(2)), ev("a", r(None), 3, Some(4))]).is_err());
    }

    #[test]
    fn overlapping_operations_may_go_either_way() {
        assert!(check(&[ev("a", w("1"), 0, Some(5)), ev("a", r(None), 1, Some(2))]).is_ok());
        assert!(check(&[ev("a", w("1"), 0, Some(5)), ev("a", r(Some("1")), 1, Some(2))]).is_ok());
    }

    #[test]
    fn reads_may_not_go_back() {
        let h = [
            ev("a", w("1"), 0, Some(1)),
            ev("a", w("2"), 2, None),
            ev("a", r(Some("2")), 3, Some(4)),
            ev("a", r(Some("1")), 5, Some(6)),
        ];
        assert!(check(&h).is_err(), "stale read after a newer one was seen");
    }

    #[test]
    fn an_unanswered_write_may_land_late_or_never() {
        let late =
            [ev("a", w("1"), 0, None), ev("a", r(None), 1, Some(2)), ev("a", r(Some("1")), 10, Some(11))];
        assert!(check(&late).is_ok());
        let never = [ev("a", w("1"), 0, None), ev("a", r(None), 10, Some(11))];
        assert!(check(&never).is_ok());
        let from_nowhere = [ev("a", r(Some("9")), 0, Some(1))];
        assert!(check(&from_nowhere).is_err());
    }

    #[test]
    fn keys_are_judged_apart_and_too_many_on_one_key_is_refused() {
        let ok = [ev("a", w("1"), 0, Some(1)), ev("b", r(None), 2, Some(3))];
        assert_eq!(check(&ok), Ok(2));
        let many: Vec<Event> = (0..=MOST_ON_A_KEY as u64).map(|i| ev("a", w("x"), i, Some(i))).collect();
        assert!(check(&many).is_err());
    }
}
