//! Order of trees, and views.

use super::*;

#[test]
fn longest_matching_subtree_decides_visibility() {
    let view = View { include: vec![vec![1, 3]], exclude: vec![vec![1, 3, 6], vec![1, 4]] };
    for (name, visible) in
        [(vec![1, 3, 5], true), (vec![1, 3, 6, 1], false), (vec![1, 4], false), (vec![2], false)]
    {
        assert_eq!(view.admits(&name), visible, "{name:?}");
    }
    assert!(View::default().admits(&[1, 3]));
    let all_but = View { exclude: vec![vec![1, 3, 6]], ..View::default() };
    assert!(all_but.admits(&[1, 3]) && !all_but.admits(&[1, 3, 6]));
}

#[test]
fn next_skips_hidden_objects() {
    let object = |arcs: &[u32]| (arcs.to_vec(), Value::Gauge(arcs[0]));
    let tree = Tree::new(vec![object(&[1, 3]), object(&[1, 1]), object(&[1, 2, 1]), object(&[1, 2, 2])]);
    let hidden = View { exclude: vec![vec![1, 2]], ..View::default() };
    assert_eq!(tree.next(&[1, 1], &hidden).map(|o| o.0.clone()), Some(vec![1, 3]));
    assert_eq!(tree.next(&[1, 1], &View::default()).map(|o| o.0.clone()), Some(vec![1, 2, 1]));
    assert_eq!(tree.next(&[1, 3], &View::default()), None);
    assert!(tree.has_below(&[1, 2]) && !tree.has_below(&[1, 4]) && tree.get(&[1, 2]).is_none());
}
