use super::*;
use proptest::prelude::*;

const MOST: usize = 4096;

/// What a watch tells: the versions of its objects, and empty lines.
fn told(bytes: &[u8], cuts: &[usize]) -> Vec<Option<u64>> {
    let (mut objects, mut rest, mut told) = (Objects::default(), bytes, Vec::new());
    for cut in cuts.iter().copied().chain([bytes.len()]) {
        let (piece, later) = rest.split_at(cut.min(rest.len()));
        objects.held().extend_from_slice(piece);
        rest = later;
        while let Some(object) = objects.next(MOST).unwrap() {
            told.push(object.map(|list| list.rev));
        }
    }
    told
}

/// Lists may come indented, and their texts may hold whatever braces they like.
#[test]
fn an_object_ends_where_it_ends() {
    let line = br#"{"rev":1,"all":false,"targets":[{"uid":"s}{\"\\","endpoint":"127.0.0.1:1","pod_group":0,"state":"up"}]}"#;
    let value: serde_json::Value = serde_json::from_slice(line).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    let text = [&line[..], b"\n\n  \r\n", indented.as_bytes(), b"\n", line].concat();
    assert_eq!(told(&text, &[]), [Some(1), None, None, Some(1), Some(1)]);
}

/// Guards against waiting for the end of what is no list, and against holding one that never ends.
#[test]
fn what_is_no_object_is_said_at_once() {
    for text in ["nonsense", "]", "\"rev\"", "{\"rev\":1}}", "[]", "{}", "{\"rev\":\"x\"}"] {
        let mut objects = Objects::default();
        objects.held().extend_from_slice(text.as_bytes());
        assert!((0..2).any(|_| objects.next(MOST).is_err()), "{text}");
    }
    let mut objects = Objects::default();
    objects.held().extend_from_slice(&[b' '; MOST + 1]);
    assert!(objects.next(MOST).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However a watch is cut, it tells the same.
    #[test]
    fn objects_do_not_depend_on_how_they_are_cut(
        order in proptest::collection::vec(0..3_u8, 1..12),
        cuts in proptest::collection::vec(1..30_usize, 0..60),
    ) {
        let mut text = Vec::new();
        for (rev, kind) in order.iter().enumerate() {
            match kind {
                0 => text.extend_from_slice(format!("{{\"rev\":{rev}}}\n").as_bytes()),
                1 => text.extend_from_slice(format!("{{\n  \"rev\": {rev},\n  \"targets\": [\n  ]\n}}\n").as_bytes()),
                _ => text.push(b'\n'),
            }
        }
        let whole: Vec<Option<u64>> = (0..).zip(&order).map(|(rev, kind)| (*kind < 2).then_some(rev)).collect();
        prop_assert_eq!(told(&text, &cuts), whole);
    }
}
