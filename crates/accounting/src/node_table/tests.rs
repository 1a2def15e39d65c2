use super::*;

fn names(nodes: &mut NodeTable, now: Nanos) -> Vec<(u32, String)> {
    nodes.rows(now).into_iter().map(|r| (r.index, r.name)).collect()
}

/// Replacing a thousand nodes one by one must neither grow the table without bound nor reuse an index.
#[test]
fn replaced_nodes_use_a_bounded_number_of_rows() {
    let mut nodes = NodeTable::new(NodeBounds { max_rows: 8, retention: 5 });
    let mut seen = std::collections::BTreeSet::new();
    for n in 0..1000u32 {
        nodes.update_state(n.into(), ServerId(n), &format!("s{n}"), EndpointState::Active);
        if n >= 4 {
            nodes.update_state(n.into(), ServerId(n - 4), "", EndpointState::Removed);
            nodes.mark_removed(n.into(), ServerId(n - 4));
        }
        let rows = nodes.rows(n.into());
        assert!(rows.len() <= 8 && rows.iter().any(|r| r.name == format!("s{n}")));
        seen.extend(rows.iter().map(|r| (r.index, r.name.clone())));
    }
    assert_eq!(seen.len(), 1000, "an index was reused, or a node had two");
    assert_eq!((nodes.by_id.len(), nodes.unlisted()), (4, 0));
    assert!(nodes.evicted() > 0);
}

#[test]
fn removed_node_keeps_its_row_for_the_retention() {
    let mut nodes = NodeTable::new(NodeBounds { max_rows: 2, retention: 10 });
    nodes.update_state(0, ServerId(1), "a", EndpointState::Active);
    nodes.update_state(1, ServerId(1), "a", EndpointState::Draining);
    nodes.update_state(2, ServerId(1), "a", EndpointState::Draining);
    nodes.mark_removed(3, ServerId(1));
    let row = nodes.rows(13).remove(0);
    assert_eq!((row.drains, row.state, row.removed_at), (1, EndpointState::Removed, Some(3)));
    assert!(names(&mut nodes, 14).is_empty());
    // The same name with a new id gets a new row.
    nodes.update_state(20, ServerId(2), "a", EndpointState::Active);
    assert_eq!(names(&mut nodes, 20), [(2, "a".to_string())]);
    // The table is full of present nodes, so a further node gets no row. Once a node is removed, its row can be
    // evicted.
    nodes.update_state(21, ServerId(3), "b", EndpointState::Active);
    nodes.update_state(21, ServerId(4), "c", EndpointState::Active);
    assert_eq!((names(&mut nodes, 21).len(), nodes.unlisted()), (2, 1));
    nodes.mark_removed(22, ServerId(2));
    // A node without a row stays without one: it may have attempts in flight that no row has counted.
    nodes.update_state(22, ServerId(4), "c", EndpointState::Active);
    nodes.update_state(22, ServerId(5), "d", EndpointState::Active);
    assert_eq!(names(&mut nodes, 22), [(3, "b".to_string()), (4, "d".to_string())]);
    assert_eq!((nodes.evicted(), nodes.unlisted()), (1, 1));
}
