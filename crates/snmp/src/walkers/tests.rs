use super::*;
use crate::tree::{Value, View};

fn tree(n: u32) -> Tree {
    Tree::new(vec![(vec![1, 1], Value::Gauge(n)), (vec![1, 2], Value::Gauge(n))])
}

const BOUNDS: Bounds =
    Bounds { max_walkers: 2, max_objects: 100, idle_timeout: 100, max_walk_age: 1000, max_shared_age: 10 };

fn number(source: TreeSource) -> Option<u32> {
    match source {
        TreeSource::Existing(t) => match t.get(&[1, 1]) {
            Some(Value::Gauge(n)) => Some(*n),
            _ => None,
        },
        TreeSource::New => None,
    }
}

#[test]
fn a_walk_sees_one_tree_and_a_new_one_the_newest() {
    let mut w = Walkers::new(BOUNDS);
    assert_eq!(w.tree_for(0, &'a', Some(&[1])), TreeSource::New);
    w.add_tree(0, &'a', Some(&[1]), tree(1));
    assert_eq!(number(w.tree_for(5, &'b', Some(&[1]))), Some(1), "walkers who come together share");
    assert_eq!(w.tree_for(50, &'c', None), TreeSource::New, "an old tree answers nobody else");
    w.add_tree(50, &'c', None, tree(2));
    assert_eq!(number(w.tree_for(60, &'a', Some(&[1, 1]))), Some(1), "its walk goes on");
    assert_eq!(number(w.tree_for(60, &'a', Some(&[1]))), Some(2), "a new walk");
    assert_eq!(w.tree_for(161, &'a', Some(&[1, 1])), TreeSource::New, "after a long silence");
}

#[test]
fn walkers_are_bounded() {
    let mut w = Walkers::new(BOUNDS);
    for who in 0..1000u32 {
        if w.tree_for(who.into(), &who, Some(&[1])) == TreeSource::New {
            w.add_tree(who.into(), &who, Some(&[1]), tree(who));
        }
        assert!(w.len() <= 2);
    }
    assert_eq!(tree(1).next(&[1, 2], &View::default()), None);
}

/// Guards memory where there are many data nodes and managers: each of many walks may hold a tree of its own.
#[test]
fn trees_are_bounded_by_their_objects() {
    let mut w = Walkers::new(Bounds { max_walkers: 64, max_objects: 5, idle_timeout: 1_000_000, ..BOUNDS });
    for who in 0..64u32 {
        let now = u64::from(who) * 20;
        assert_eq!(w.tree_for(now, &who, Some(&[1])), TreeSource::New);
        w.add_tree(now, &who, Some(&[1]), tree(who));
        // The newest, and as many older ones of two objects as fit.
        assert_eq!(w.len(), 3.min(who as usize + 1));
    }
    assert_eq!(number(w.tree_for(1270, &62, Some(&[1, 1]))), Some(62), "the latest walks go on");
    assert_eq!(w.tree_for(1290, &3, Some(&[1, 1])), TreeSource::New, "the oldest ones with a newer tree");
}
