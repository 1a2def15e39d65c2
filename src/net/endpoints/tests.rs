use super::*;
use curlewdeck_membership::State as MemberState;
use proptest::prelude::*;

const MAX_BYTES: usize = 4096;

/// A [`WatchEvent`] without its contents.
#[derive(Debug, Clone, PartialEq)]
enum ParsedEvent {
    Version(u64),
    Heartbeat,
    Unreadable,
}

fn parsed(event: WatchEvent) -> ParsedEvent {
    match event {
        WatchEvent::Update(update) => ParsedEvent::Version(update.version),
        WatchEvent::Heartbeat => ParsedEvent::Heartbeat,
        WatchEvent::Unreadable(_) => ParsedEvent::Unreadable,
    }
}

/// Parses a stream that arrives in chunks of these lengths, the last of which is the remainder. Checks that parsed
/// bytes are discarded.
fn parse(bytes: &[u8], chunk_lengths: &[usize]) -> Result<Vec<ParsedEvent>, LineError> {
    let (mut parser, mut rest, mut events) = (WatchParser::default(), bytes, Vec::new());
    for length in chunk_lengths.iter().copied().chain([bytes.len()]) {
        let (chunk, remainder) = rest.split_at(length.min(rest.len()));
        parser.buffer().extend_from_slice(chunk);
        rest = remainder;
        while let Some(event) = parser.next_event(MAX_BYTES)? {
            events.push(parsed(event));
        }
        assert!(parser.buffer().len() <= MAX_BYTES);
    }
    Ok(events)
}

/// A complete line with some of its fields replaced; an empty value removes the field.
fn line_with(changes: &[(&str, &str)]) -> String {
    let mut fields = vec![
        ("uid", r#""s-1""#),
        ("endpoint", r#""127.0.0.1:9000""#),
        ("az", r#""a""#),
        ("model", r#""m2""#),
        ("pod_group", "3"),
        ("state", r#""up""#),
        ("capacity_hint", "2.0"),
        ("boot_ms", "7"),
    ];
    for &(key, value) in changes {
        fields.retain(|field| field.0 != key);
        if !value.is_empty() {
            fields.push((key, value));
        }
    }
    let fields: Vec<String> = fields.iter().map(|(key, value)| format!(r#""{key}":{value}"#)).collect();
    format!("{{{}}}", fields.join(","))
}

fn entry() -> EndpointEntry {
    EndpointEntry {
        name: "s-1".to_string(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: Some("a".to_string()),
        partition_group: 3,
        state: MemberState::Up,
        capacity: 2.0,
        started_at_ms: 7,
    }
}

fn update(lines: &[&str]) -> DiscoveryUpdate {
    let text = format!(r#"{{"rev":41,"all":false,"targets":[{}]}}"#, lines.join(","));
    DiscoveryUpdate::read(text.as_bytes()).unwrap()
}

type NamedStates<'a> = Vec<(&'a str, EndpointState)>;

fn table_update(update: DiscoveryUpdate) -> Update<ListedEndpoint> {
    update.into()
}

/// Names and states of the complete lines, and of the partial lines.
fn states(update: &Update<ListedEndpoint>) -> (NamedStates<'_>, NamedStates<'_>) {
    let named_states = |complete: bool| {
        let lines = update.lines.iter().filter(move |line| line.details.is_some() == complete);
        lines.map(|line| (line.name.as_str(), endpoint_state(line.state))).collect()
    };
    (named_states(true), named_states(false))
}

// Lines.

/// Rejecting a line for a missing optional field or for the notation of a number would lose a usable data node.
#[test]
fn a_line_is_complete_without_optional_fields_and_with_numbers_in_any_form() {
    let unchanged = entry();
    let complete: &[(&[(&str, &str)], EndpointEntry)] = &[
        (&[], unchanged.clone()),
        (&[("az", "null")], EndpointEntry { zone: None, ..unchanged.clone() }),
        (&[("az", "")], EndpointEntry { zone: None, ..unchanged.clone() }),
        (&[("az", "5")], EndpointEntry { zone: None, ..unchanged.clone() }),
        (&[("model", "null")], unchanged.clone()),
        (&[("model", "")], unchanged.clone()),
        (&[("boot_ms", "null")], EndpointEntry { started_at_ms: 0, ..unchanged.clone() }),
        (&[("boot_ms", "")], EndpointEntry { started_at_ms: 0, ..unchanged.clone() }),
        (&[("boot_ms", "7.0")], unchanged.clone()),
        (&[("boot_ms", "7e0")], unchanged.clone()),
        (&[("pod_group", "3.0")], unchanged.clone()),
        (&[("capacity_hint", "2e0")], unchanged.clone()),
        (&[("capacity_hint", "2")], unchanged.clone()),
        (&[("capacity_hint", "0")], EndpointEntry { capacity: 0.0, ..unchanged.clone() }),
        (&[("capacity_hint", "")], EndpointEntry { capacity: 1.0, ..unchanged.clone() }),
        (&[("capacity_hint", "null")], EndpointEntry { capacity: 1.0, ..unchanged.clone() }),
        (&[("capacity_hint", "-1")], EndpointEntry { capacity: 1.0, ..unchanged.clone() }),
        (&[("capacity_hint", "1e999")], EndpointEntry { capacity: 1.0, ..unchanged.clone() }),
        (&[("capacity_hint", r#""2""#)], EndpointEntry { capacity: 1.0, ..unchanged.clone() }),
        (&[("extra", r#"{"a":[1,"\ud800",1e999]}"#)], unchanged.clone()),
        (
            &[("endpoint", r#""[::1]:9""#)],
            EndpointEntry { address: "[::1]:9".parse().unwrap(), ..unchanged.clone() },
        ),
        (&[("state", r#""removed""#)], EndpointEntry { state: MemberState::Removed, ..unchanged.clone() }),
        (&[("state", r#""resting""#)], EndpointEntry { state: MemberState::Draining, ..unchanged.clone() }),
    ];
    for (changes, expected) in complete {
        let text = line_with(changes);
        assert_eq!(EndpointLine::read(&text), EndpointLine::Complete(expected.clone()), "{text}");
    }
}

/// An unreadable field must not discard the line's name and state: the state may have to close a gate.
#[test]
fn an_incomplete_line_keeps_its_name_and_state() {
    use LineFault::{Address, PartitionGroup, StartTime, State};
    let partial = [
        ("endpoint", "null", Address),
        ("endpoint", "", Address),
        ("endpoint", r#""nowhere""#, Address),
        ("endpoint", r#""127.0.0.1""#, Address),
        ("endpoint", r#""127.0.0.1:99999""#, Address),
        ("endpoint", "[]", Address),
        ("pod_group", "null", PartitionGroup),
        ("pod_group", "", PartitionGroup),
        ("pod_group", "-1", PartitionGroup),
        ("pod_group", "1.5", PartitionGroup),
        ("pod_group", "4294967296", PartitionGroup),
        ("pod_group", "1e999", PartitionGroup),
        ("boot_ms", "-1", StartTime),
        ("boot_ms", r#""x""#, StartTime),
    ];
    for (key, value, fault) in partial {
        for (state_text, expected_state) in
            [("up", MemberState::Up), ("draining", MemberState::Draining), ("removed", MemberState::Removed)]
        {
            let text = line_with(&[("state", &format!("{state_text:?}")), (key, value)]);
            match EndpointLine::read(&text) {
                EndpointLine::Partial { name, state, started_at_ms, reason } => {
                    assert_eq!(
                        (name.as_str(), state, reason.fault()),
                        ("s-1", expected_state, fault),
                        "{text}"
                    );
                    assert_eq!(started_at_ms, (fault != StartTime).then_some(7), "{text}");
                }
                other => panic!("{text}: {other:?}"),
            }
        }
    }
    for value in ["null", "", "5", "[]", r#""\ud800""#] {
        let text = line_with(&[("state", value)]);
        match EndpointLine::read(&text) {
            EndpointLine::Partial { name, state, reason, .. } => {
                let expected = ("s-1", MemberState::Draining, State);
                assert_eq!((name.as_str(), state, reason.fault()), expected, "{text}");
            }
            other => panic!("{text}: {other:?}"),
        }
    }
}

/// A line without a readable name must not be attributed to any data node.
#[test]
fn a_line_without_a_name_is_unreadable() {
    let names = ["null", "", "5", r#""""#, "{}", r#""\ud800""#, "\"\u{fffd}\""];
    let lines = names.map(|name| line_with(&[("uid", name)]));
    let non_objects = ["null", "5", "[]", r#""s-1""#].map(str::to_string);
    for text in lines.iter().chain(&non_objects) {
        assert!(matches!(EndpointLine::read(text), EndpointLine::Unreadable(_)), "{text}");
    }
}

/// With two conflicting values of a field, the parser could pick the one that opens a gate.
#[test]
fn a_duplicated_field_is_unreadable() {
    let with_duplicate = |field: &str| line_with(&[]).replacen('{', &format!("{{{field},"), 1);
    let line = |field: &str| EndpointLine::read(&with_duplicate(field));
    assert!(matches!(line(r#""uid":"s-2""#), EndpointLine::Unreadable(_)));
    assert!(matches!(
        line(r#""state":"draining""#),
        EndpointLine::Partial { state: MemberState::Draining, .. }
    ));
    assert!(matches!(line(r#""endpoint":"127.0.0.1:1""#), EndpointLine::Partial { .. }));
    assert_eq!(line(r#""az":"b""#), EndpointLine::Complete(EndpointEntry { zone: None, ..entry() }));
}

/// Errors are logged, so they must neither grow with the peer's input nor contain its control characters.
#[test]
fn an_error_is_short_and_names_the_cause() {
    let long = format!(r#""{}""#, "x\u{1b}\u{202e}".repeat(10_000));
    for (key, value) in [("endpoint", long.as_str()), ("uid", &long), ("state", &long), ("uid", "null")] {
        for second in ["null", &long] {
            let text = line_with(&[("pod_group", second), (key, value)]);
            if let Some(error) = EndpointLine::read(&text).error() {
                let message = error.to_string();
                assert!(message.len() < 200, "{} bytes", message.len());
                assert!(message.chars().all(|c| c.is_ascii() && !c.is_ascii_control()), "{message}");
            }
        }
    }
    let message =
        |changes: &[(&str, &str)]| EndpointLine::read(&line_with(changes)).error().unwrap().to_string();
    assert_eq!(message(&[("endpoint", "null")]), "data node 's-1': endpoint is not an address: null");
    assert_eq!(message(&[("pod_group", "")]), "data node 's-1': pod_group is not a partition group: missing");
    assert_eq!(message(&[("uid", "5")]), "uid is not a name: 5");
    let object = DiscoveryUpdate::read(format!(r#"{{"rev":1,"targets":{long}}}"#).as_bytes()).unwrap_err();
    assert!(object.to_string().len() < 200);
}

// Updates.

/// If an unreadable line invalidated its update, a draining data node in another line would get new work.
#[test]
fn an_unreadable_line_does_not_affect_other_lines() {
    let good = line_with(&[("state", r#""draining""#)]);
    let deep = format!("{}{}", "[".repeat(1000), "]".repeat(1000));
    let bad = [
        "null".to_string(),
        "5".to_string(),
        deep,
        line_with(&[("uid", "null")]),
        line_with(&[("uid", r#""s-2""#), ("endpoint", "null")]),
        line_with(&[("uid", r#""s-2""#), ("state", "null")]),
        line_with(&[("uid", r#""s-2""#), ("pod_group", "-1")]),
        line_with(&[("uid", r#""\ud800""#)]),
        line_with(&[("uid", r#""s-2""#), ("boot_ms", "1e999")]),
    ];
    for bad in &bad {
        for lines in [[good.as_str(), bad], [bad, good.as_str()]] {
            let update = update(&lines);
            assert_eq!(update.unreadable_lines().count(), 1, "{bad}");
            assert_eq!(states(&table_update(update)).0, [("s-1", EndpointState::Draining)], "{bad}");
        }
    }
    // Bytes that are not UTF-8.
    let text =
        [br#"{"rev":1,"targets":[{"uid":"s-"#, &b"\xff\xfe"[..], br#"","state":"up"},"#, good.as_bytes()];
    let update = DiscoveryUpdate::read(&[&text.concat()[..], b"]}"].concat()).unwrap();
    assert_eq!(update.unreadable_lines().count(), 1);
    assert_eq!(states(&table_update(update)).0, [("s-1", EndpointState::Draining)]);
}

/// `targets` and `all` may be missing, but `rev` is required; each of them must have the right type.
#[test]
fn an_update_needs_a_version_and_valid_optional_fields() {
    let read = |text: &str| DiscoveryUpdate::read(text.as_bytes());
    for text in [
        r#"{"rev":41}"#,
        r#"{"rev":41.0,"all":null,"targets":null,"more":1e999}"#,
        r#" {"rev":41,"targets":[]}"#,
    ] {
        let update = read(text).unwrap();
        assert_eq!((update.version, update.complete, update.lines.len()), (41, false, 0), "{text}");
    }
    assert!(read(r#"{"rev":41,"all":true}"#).unwrap().complete);
    let invalid_updates = [
        "{}",
        "[]",
        "[41]",
        "[41,true,[]]",
        "null",
        "",
        r#"{"rev":null}"#,
        r#"{"rev":-1}"#,
        r#"{"rev":"41"}"#,
        r#"{"rev":1.5}"#,
        r#"{"rev":1,"targets":{}}"#,
        r#"{"rev":1,"targets":5}"#,
        r#"{"rev":1,"all":1}"#,
        r#"{"rev":1,"rev":2}"#,
    ];
    for text in invalid_updates {
        assert!(read(text).is_err(), "{text}");
    }
}

/// A line without a usable address still has to close the data node's gate if its state requires that.
#[test]
fn partial_lines_reach_the_table_with_name_and_state() {
    let lines = [
        line_with(&[]),
        line_with(&[("uid", r#""s-2""#), ("endpoint", "null")]),
        line_with(&[("uid", r#""s-3""#), ("endpoint", "null"), ("state", r#""removed""#)]),
        line_with(&[("uid", r#""s-4""#), ("state", "null")]),
        line_with(&[("uid", "null")]),
    ];
    let update = update(&lines.each_ref().map(String::as_str));
    assert_eq!(update.unreadable_lines().count(), 4);
    let applied = table_update(update);
    let partial = vec![
        ("s-2", EndpointState::Active),
        ("s-3", EndpointState::Removed),
        ("s-4", EndpointState::Draining),
    ];
    assert_eq!(states(&applied), (vec![("s-1", EndpointState::Active)], partial));
    assert_eq!(applied.lines[0].details.as_ref().unwrap().0.started_at, 7_000_000);
}

/// The order of the lines in an update is unspecified: an `up` line after a `draining` line may be the older state, and
/// opening the gate would then send new work to a draining data node.
#[test]
fn only_a_newer_start_reopens_a_gate_that_the_same_update_closes() {
    let line = |state: &str, started_at_ms: &str| {
        line_with(&[("state", &format!("{state:?}")), ("boot_ms", started_at_ms)])
    };
    let partial = |state: &str| line_with(&[("state", &format!("{state:?}")), ("endpoint", "null")]);
    let cases = [
        (vec![line("up", "7"), line("draining", "7")], EndpointState::Draining),
        (vec![line("draining", "7"), line("up", "7")], EndpointState::Draining),
        (vec![line("draining", "7"), line("up", "6")], EndpointState::Draining),
        (vec![line("draining", "7"), line("up", "8")], EndpointState::Active),
        (vec![line("removed", "7"), line("up", "7")], EndpointState::Removed),
        (vec![line("removed", "7"), line("up", "8")], EndpointState::Active),
        (vec![line("up", "8"), line("removed", "7")], EndpointState::Removed),
        (vec![line("draining", "7"), line("removed", "7")], EndpointState::Removed),
        (vec![line("draining", "7"), line("up", "7"), line("up", "7")], EndpointState::Draining),
        (vec![line("up", "7"), partial("draining")], EndpointState::Draining),
        (vec![line("up", "7"), partial("up")], EndpointState::Active),
        (vec![line("draining", "7"), partial("up")], EndpointState::Draining),
        (vec![partial("draining"), line("up", "7")], EndpointState::Draining),
        (vec![partial("draining"), line("up", "8")], EndpointState::Active),
        (vec![partial("up"), line("up", "7")], EndpointState::Active),
        (vec![line("draining", r#""x""#), line("up", "8")], EndpointState::Draining),
    ];
    for (lines, expected) in cases {
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        assert_eq!(states(&table_update(update(&lines))), (vec![("s-1", expected)], vec![]), "{lines:?}");
    }
    // Without any complete line.
    let (draining, up) = (partial("draining"), partial("up"));
    assert_eq!(
        states(&table_update(update(&[&draining, &up]))),
        (vec![], vec![("s-1", EndpointState::Draining)])
    );
    assert_eq!(
        states(&table_update(update(&[&up, &draining]))),
        (vec![], vec![("s-1", EndpointState::Draining)])
    );
}

// The stream of a watch.

/// Braces inside strings and line feeds between fields do not end an object.
#[test]
fn objects_may_be_indented_and_have_braces_in_strings() {
    let line = br#"{"rev":1,"all":false,"targets":[{"uid":"s}{\"\\","endpoint":"127.0.0.1:1","pod_group":0,"state":"up"}]}"#;
    let value: serde_json::Value = serde_json::from_slice(line).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    let text = [&line[..], b"\n\n  \r\n", indented.as_bytes(), b"\n", line].concat();
    let expected = [
        ParsedEvent::Version(1),
        ParsedEvent::Heartbeat,
        ParsedEvent::Heartbeat,
        ParsedEvent::Version(1),
        ParsedEvent::Version(1),
    ];
    assert_eq!(parse(&text, &[]).unwrap(), expected);
}

/// Waiting for the end of invalid input would delay the error, and an endless object would exhaust the memory.
#[test]
fn invalid_input_is_reported_without_waiting_for_more() {
    for text in ["nonsense", "]", "\"rev\"", "{\"rev\":1}}", "[]", "{}", "{\"rev\":\"x\"}"] {
        let mut parser = WatchParser::default();
        parser.buffer().extend_from_slice(text.as_bytes());
        assert!(
            (0..2).any(|_| matches!(parser.next_event(MAX_BYTES), Ok(Some(WatchEvent::Unreadable(_))))),
            "{text}"
        );
    }
    for byte in [b' ', b'[', b'{'] {
        let mut parser = WatchParser::default();
        parser.buffer().extend_from_slice(&[byte; MAX_BYTES]);
        assert!(matches!(parser.next_event(MAX_BYTES), Ok(None)));
        parser.buffer().push(byte);
        assert_eq!(parser.next_event(MAX_BYTES).unwrap_err().fault(), LineFault::TooLong);
    }
}

/// An object that arrives in a single chunk is limited like one that arrives in many.
#[test]
fn the_object_size_limit_does_not_depend_on_chunk_boundaries() {
    let text = |len: usize| format!(r#"{{"rev":1,"x":"{}"}}"#, "y".repeat(len - r#"{"rev":1,"x":""}"#.len()));
    for chunk_lengths in [vec![], vec![1; MAX_BYTES], vec![1000; 5]] {
        assert_eq!(parse(text(MAX_BYTES).as_bytes(), &chunk_lengths).unwrap(), [ParsedEvent::Version(1)]);
        assert_eq!(
            parse(text(MAX_BYTES + 1).as_bytes(), &chunk_lengths).unwrap_err().fault(),
            LineFault::TooLong
        );
    }
}

/// The parser resumes on the next line after invalid input and after an object that was truncated inside a string.
#[test]
fn lines_after_an_invalid_line_are_parsed() {
    use ParsedEvent::{Heartbeat, Unreadable, Version};
    let cases: &[(&[u8], &[ParsedEvent])] = &[
        (b"nonsense {\"rev\":9}\n{\"rev\":1}\n", &[Unreadable, Version(1)]),
        (b"\"rev\": {\r\n\r\n{\"rev\":1}\r\n", &[Unreadable, Heartbeat, Version(1)]),
        (b"{\"rev\":1}}{\n{\"rev\":2}\n\n", &[Version(1), Unreadable, Version(2), Heartbeat]),
        (b"{\"rev\":1]\n{\"rev\":2}\n", &[Unreadable, Version(2)]),
        (b"{\"rev\":\"\\\n{\"rev\":2}\n", &[Unreadable, Version(2)]),
        (b"{\"rev\":1,\"targets\":[{\"uid\":\"s-\n\n{\"rev\":2}\n", &[Unreadable, Heartbeat, Version(2)]),
        (b"\xef\xbb\xbf{\"rev\":1}\n{\"rev\":2}\n", &[Version(1), Version(2)]),
        (b"{\"rev\":1}\n\xef\xbb\xbf{\"rev\":2}\n\n", &[Version(1), Unreadable, Heartbeat]),
        (
            b"\xff\x00\n\n{\"rev\":1} \t\r\n{\"rev\":2}{\"rev\":3}\n",
            &[Unreadable, Heartbeat, Version(1), Version(2), Version(3)],
        ),
    ];
    for (text, expected) in cases {
        let printable = String::from_utf8_lossy(text);
        for first in 0..text.len() {
            assert_eq!(parse(text, &[first]).unwrap(), *expected, "{printable} split at {first}");
        }
        assert_eq!(parse(text, &vec![1; text.len()]).unwrap(), *expected, "{printable}");
    }
}

/// An invalid line without an end would otherwise exhaust the memory.
#[test]
fn skipped_bytes_are_not_buffered() {
    let mut parser = WatchParser::default();
    parser.buffer().push(b'x');
    assert!(matches!(parser.next_event(MAX_BYTES), Ok(Some(WatchEvent::Unreadable(_)))));
    for _ in 0..10 {
        parser.buffer().extend_from_slice(&[b'{'; MAX_BYTES]);
        assert!(matches!(parser.next_event(MAX_BYTES), Ok(None)));
        assert!(parser.buffer().is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A chunk boundary at any byte must not lose or change an event.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        order in proptest::collection::vec(0..7_u8, 1..12),
        chunk_lengths in proptest::collection::vec(1..30_usize, 0..60),
    ) {
        let (mut text, mut expected) = (Vec::new(), Vec::new());
        for (rev, kind) in (0..).zip(&order) {
            let (line, event) = match kind {
                0 => (format!("{{\"rev\":{rev}}}\n"), ParsedEvent::Version(rev)),
                1 => (format!("{{\n  \"rev\": {rev},\n  \"targets\": [\n  ]\n}}\n"), ParsedEvent::Version(rev)),
                2 => (format!("{{\"rev\":{rev},\"targets\":[{{\"uid\":\"a\",\"endpoint\":null}}]}}\r\n"), ParsedEvent::Version(rev)),
                3 => (format!("nonsense {{\"rev\":{rev}}}\n"), ParsedEvent::Unreadable),
                4 => (format!("{{\"rev\":{rev},\"all\":\"{{\\\"\n"), ParsedEvent::Unreadable),
                5 => ("\r\n".to_string(), ParsedEvent::Heartbeat),
                _ => ("\n".to_string(), ParsedEvent::Heartbeat),
            };
            text.extend_from_slice(line.as_bytes());
            expected.push(event);
        }
        prop_assert_eq!(parse(&text, &chunk_lengths).unwrap(), expected);
    }

    /// Arbitrary input must not cause a panic, an unbounded buffer, or events that depend on chunk boundaries.
    #[test]
    fn arbitrary_bytes_are_parsed_the_same_for_all_chunk_boundaries(
        text in proptest::collection::vec(
            prop_oneof![Just(b'{'), Just(b'}'), Just(b'['), Just(b']'), Just(b'"'), Just(b'\\'), Just(b'\n'),
                Just(b'1'), Just(b' '), Just(0xef), Just(0xbb), Just(0xbf), any::<u8>()], 0..200),
        chunk_lengths in proptest::collection::vec(1..20_usize, 0..60),
    ) {
        let unsplit = parse(&text, &[]);
        prop_assert_eq!(parse(&text, &chunk_lengths), unsplit.clone());
        // The same with a valid update on a line after the arbitrary bytes.
        let extended = [&text[..], b"\n{\"rev\":77}\n"].concat();
        prop_assert_eq!(parse(&extended, &chunk_lengths), parse(&extended, &[]));
    }

    /// No combination of field values affects another line, or opens a gate without the state `up`.
    #[test]
    fn arbitrary_field_values_affect_only_their_own_line(
        values in proptest::collection::vec((0..8_usize, 0..12_usize), 0..6),
        first in any::<bool>(),
    ) {
        const KEYS: [&str; 8] =
            ["uid", "endpoint", "az", "model", "pod_group", "state", "capacity_hint", "boot_ms"];
        const VALUES: [&str; 12] = [
            "", "null", "true", "-1", "1e999", "1.5", r#""""#, r#""\ud800""#, "[]", "{}", r#""draining""#, "[[{}]]",
        ];
        let mut changes = vec![("uid", r#""s-2""#)];
        changes.extend(values.iter().map(|&(key, value)| (KEYS[key], VALUES[value])));
        let (valid, other) = (line_with(&[("state", r#""draining""#)]), line_with(&changes));
        let lines = if first { [other.as_str(), &valid] } else { [&valid, other.as_str()] };
        let applied = table_update(update(&lines));
        prop_assert!(states(&applied).0.contains(&("s-1", EndpointState::Draining)));
        let state_unchanged = changes.iter().all(|change| change.0 != "state");
        let any_active = |lines: &[(&str, EndpointState)]| lines.iter().any(|l| l.1 == EndpointState::Active);
        let (complete, partial) = states(&applied);
        prop_assert!(state_unchanged || !(any_active(&complete) || any_active(&partial)));
    }
}
