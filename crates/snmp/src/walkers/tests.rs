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
fn walk_keeps_its_tree_and_new_walk_gets_the_newest() {
    let mut w = Walkers::new(BOUNDS);
    assert_eq!(w.tree_for(0, &'a', Some(&[1])), TreeSource::New);
    w.add_tree(0, &'a', Some(&[1]), tree(1));
    assert_eq!(number(w.tree_for(5, &'b', Some(&[1]))), Some(1), "walks that begin together share a tree");
    assert_eq!(w.tree_for(50, &'c', None), TreeSource::New, "an old tree is not used for new requests");
    w.add_tree(50, &'c', None, tree(2));
    assert_eq!(number(w.tree_for(60, &'a', Some(&[1, 1]))), Some(1), "the walk continues with its tree");
    assert_eq!(number(w.tree_for(60, &'a', Some(&[1]))), Some(2), "a new walk");
    assert_eq!(w.tree_for(161, &'a', Some(&[1, 1])), TreeSource::New, "the walk was idle for too long");
}

#[test]
fn number_of_walkers_is_bounded() {
    let mut w = Walkers::new(BOUNDS);
    for walker in 0..1000u32 {
        if w.tree_for(walker.into(), &walker, Some(&[1])) == TreeSource::New {
            w.add_tree(walker.into(), &walker, Some(&[1]), tree(walker));
        }
        assert!(w.len() <= 2);
    }
    assert_eq!(tree(1).next(&[1, 2], &View::default()), None);
}

/// With many data nodes and managers, each walk may hold its own large tree; their total size must stay bounded.
#[test]
fn held_trees_are_bounded_by_their_number_of_objects() {
    let mut w = Walkers::new(Bounds { max_walkers: 64, max_objects: 5, idle_timeout: 1_000_000, ..BOUNDS });
    for walker in 0..64u32 {
        let now = u64::from(walker) * 20;
        assert_eq!(w.tree_for(now, &walker, Some(&[1])), TreeSource::New);
        w.add_tree(now, &walker, Some(&[1]), tree(walker));
        // The newest tree, and as many older trees of two objects as fit.
        assert_eq!(w.len(), 3.min(walker as usize + 1));
    }
    assert_eq!(number(w.tree_for(1270, &62, Some(&[1, 1]))), Some(62), "the latest walks keep their tree");
    assert_eq!(w.tree_for(1290, &3, Some(&[1, 1])), TreeSource::New, "the oldest walks get a newer tree");
}
