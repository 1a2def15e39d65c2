use super::*;
use crate::tree::{Value, View};

fn tree(n: u32) -> Tree {
    Tree::new(vec![(vec![1, 1], Value::Gauge(n)), (vec![1, 2], Value::Gauge(n))])
}

const BOUNDS: Bounds = Bounds { walkers: 2, objects: 100, idle: 100, age: 1000, fresh: 10 };

fn number(from: From) -> Option<u32> {
    match from {
        From::Tree(t) => match t.get(&[1, 1]) {
            Some(Value::Gauge(n)) => Some(*n),
            _ => None,
        },
        From::Make => None,
    }
}

#[test]
fn a_walk_sees_one_tree_and_a_new_one_the_newest() {
    let mut w = Walkers::new(BOUNDS);
    assert_eq!(w.from(0, &'a', Some(&[1])), From::Make);
    w.made(0, &'a', Some(&[1]), tree(1));
    assert_eq!(number(w.from(5, &'b', Some(&[1]))), Some(1), "walkers who come together share");
    assert_eq!(w.from(50, &'c', None), From::Make, "an old tree answers nobody else");
    w.made(50, &'c', None, tree(2));
    assert_eq!(number(w.from(60, &'a', Some(&[1, 1]))), Some(1), "its walk goes on");
    assert_eq!(number(w.from(60, &'a', Some(&[1]))), Some(2), "a new walk");
    assert_eq!(w.from(161, &'a', Some(&[1, 1])), From::Make, "after a long silence");
}

#[test]
fn walkers_are_bounded() {
    let mut w = Walkers::new(BOUNDS);
    for who in 0..1000u32 {
        if w.from(who.into(), &who, Some(&[1])) == From::Make {
            w.made(who.into(), &who, Some(&[1]), tree(who));
        }
        assert!(w.len() <= 2);
    }
    assert_eq!(tree(1).next(&[1, 2], &View::default()), None);
}

/// Guards memory where there are many data nodes and managers: each of many walks may hold a tree of its own.
#[test]
fn trees_are_bounded_by_their_objects() {
    let mut w = Walkers::new(Bounds { walkers: 64, objects: 5, idle: 1_000_000, ..BOUNDS });
    for who in 0..64u32 {
        let now = u64::from(who) * 20;
        assert_eq!(w.from(now, &who, Some(&[1])), From::Make);
        w.made(now, &who, Some(&[1]), tree(who));
        // The newest, and as many older ones of two objects as fit.
        assert_eq!(w.len(), 3.min(who as usize + 1));
    }
    assert_eq!(number(w.from(1270, &62, Some(&[1, 1]))), Some(62), "the latest walks go on");
    assert_eq!(w.from(1290, &3, Some(&[1, 1])), From::Make, "the oldest ones with a newer tree");
}
