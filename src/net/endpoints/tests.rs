use super::*;
use curlewdeck_membership::State as MemberState;
use proptest::prelude::*;

const MOST: usize = 4096;

/// An event of a watch, in short.
#[derive(Debug, Clone, PartialEq)]
enum ParsedEvent {
    Version(u64),
    Heartbeat,
    Unreadable,
}

fn short(event: WatchEvent) -> ParsedEvent {
    match event {
        WatchEvent::Update(update) => ParsedEvent::Version(update.version),
        WatchEvent::Heartbeat => ParsedEvent::Heartbeat,
        WatchEvent::Unreadable(_) => ParsedEvent::Unreadable,
    }
}

/// The events of a watch whose bytes come cut in these places. What has been parsed is not held any more.
fn parse(bytes: &[u8], cuts: &[usize]) -> Result<Vec<ParsedEvent>, LineError> {
    let (mut parser, mut rest, mut events) = (WatchParser::default(), bytes, Vec::new());
    for cut in cuts.iter().copied().chain([bytes.len()]) {
        let (piece, later) = rest.split_at(cut.min(rest.len()));
        parser.buffer().extend_from_slice(piece);
        rest = later;
        while let Some(event) = parser.next_event(MOST)? {
            events.push(short(event));
        }
        assert!(parser.buffer().len() <= MOST);
    }
    Ok(events)
}

/// A line with the fields that are needed, of which some are others.
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

type Named<'a> = Vec<(&'a str, EndpointState)>;

/// An update's lines for the table of what is in force.
fn table(update: DiscoveryUpdate) -> Update<ListedEndpoint> {
    update.into()
}

/// Name and state of the lines for the table, and the same of those that are known in part.
fn states(update: &Update<ListedEndpoint>) -> (Named<'_>, Named<'_>) {
    let of = |complete: bool| {
        let lines = update.lines.iter().filter(move |line| line.member.is_some() == complete);
        lines.map(|line| (line.uid.as_str(), endpoint_state(line.state))).collect()
    };
    (of(true), of(false))
}

// ---- Lines. ----

/// Guards against a line that is turned down for a field that may be left out, or for the form of a number.
#[test]
fn a_line_is_complete_without_optional_fields_and_with_numbers_in_any_form() {
    let same = entry();
    let complete: &[(&[(&str, &str)], EndpointEntry)] = &[
        (&[], same.clone()),
        (&[("az", "null")], EndpointEntry { zone: None, ..same.clone() }),
        (&[("az", "")], EndpointEntry { zone: None, ..same.clone() }),
        (&[("az", "5")], EndpointEntry { zone: None, ..same.clone() }),
        (&[("model", "null")], same.clone()),
        (&[("model", "")], same.clone()),
        (&[("boot_ms", "null")], EndpointEntry { started_at_ms: 0, ..same.clone() }),
        (&[("boot_ms", "")], EndpointEntry { started_at_ms: 0, ..same.clone() }),
        (&[("boot_ms", "7.0")], same.clone()),
        (&[("boot_ms", "7e0")], same.clone()),
        (&[("pod_group", "3.0")], same.clone()),
        (&[("capacity_hint", "2e0")], same.clone()),
        (&[("capacity_hint", "2")], same.clone()),
        (&[("capacity_hint", "0")], EndpointEntry { capacity: 0.0, ..same.clone() }),
        (&[("capacity_hint", "")], EndpointEntry { capacity: 1.0, ..same.clone() }),
        (&[("capacity_hint", "null")], EndpointEntry { capacity: 1.0, ..same.clone() }),
        (&[("capacity_hint", "-1")], EndpointEntry { capacity: 1.0, ..same.clone() }),
        (&[("capacity_hint", "1e999")], EndpointEntry { capacity: 1.0, ..same.clone() }),
        (&[("capacity_hint", r#""2""#)], EndpointEntry { capacity: 1.0, ..same.clone() }),
        (&[("extra", r#"{"a":[1,"\ud800",1e999]}"#)], same.clone()),
        (
            &[("endpoint", r#""[::1]:9""#)],
            EndpointEntry { address: "[::1]:9".parse().unwrap(), ..same.clone() },
        ),
        (&[("state", r#""removed""#)], EndpointEntry { state: MemberState::Removed, ..same.clone() }),
        (&[("state", r#""resting""#)], EndpointEntry { state: MemberState::Draining, ..same.clone() }),
    ];
    for (changes, expected) in complete {
        let text = line_with(changes);
        assert_eq!(EndpointLine::read(&text), EndpointLine::Complete(expected.clone()), "{text}");
    }
}

/// Guards against a line that loses its name and state for another field.
#[test]
fn a_line_that_is_not_complete_still_gives_its_name_and_state() {
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
        for (word, said) in
            [("up", MemberState::Up), ("draining", MemberState::Draining), ("removed", MemberState::Removed)]
        {
            let text = line_with(&[("state", &format!("{word:?}")), (key, value)]);
            match EndpointLine::read(&text) {
                EndpointLine::Partial { name, state, started_at_ms, reason } => {
                    assert_eq!((name.as_str(), state, reason.fault()), ("s-1", said, fault), "{text}");
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

/// Guards against a name that is guessed.
#[test]
fn a_line_without_a_name_is_unreadable() {
    let names = ["null", "", "5", r#""""#, "{}", r#""\ud800""#, "\"\u{fffd}\""];
    let lines = names.map(|name| line_with(&[("uid", name)]));
    let no_lines = ["null", "5", "[]", r#""s-1""#].map(str::to_string);
    for text in lines.iter().chain(&no_lines) {
        assert!(matches!(EndpointLine::read(text), EndpointLine::Unreadable(_)), "{text}");
    }
}

/// Guards against a gate that is opened by one of two values of the same field.
#[test]
fn a_field_that_is_given_twice_counts_as_unreadable() {
    let twice = |field: &str| line_with(&[]).replacen('{', &format!("{{{field},"), 1);
    let line = |field: &str| EndpointLine::read(&twice(field));
    assert!(matches!(line(r#""uid":"s-2""#), EndpointLine::Unreadable(_)));
    assert!(matches!(
        line(r#""state":"draining""#),
        EndpointLine::Partial { state: MemberState::Draining, .. }
    ));
    assert!(matches!(line(r#""endpoint":"127.0.0.1:1""#), EndpointLine::Partial { .. }));
    assert_eq!(line(r#""az":"b""#), EndpointLine::Complete(EndpointEntry { zone: None, ..entry() }));
}

/// Guards against what a peer wrote being logged without a bound or as it is.
#[test]
fn an_error_is_short_and_names_the_cause() {
    let long = format!(r#""{}""#, "x\u{1b}\u{202e}".repeat(10_000));
    for (key, value) in [("endpoint", long.as_str()), ("uid", &long), ("state", &long), ("uid", "null")] {
        for second in ["null", &long] {
            let text = line_with(&[("pod_group", second), (key, value)]);
            if let Some(error) = EndpointLine::read(&text).error() {
                let said = error.to_string();
                assert!(said.len() < 200, "{} bytes", said.len());
                assert!(said.chars().all(|c| c.is_ascii() && !c.is_ascii_control()), "{said}");
            }
        }
    }
    let said =
        |changes: &[(&str, &str)]| EndpointLine::read(&line_with(changes)).error().unwrap().to_string();
    assert_eq!(said(&[("endpoint", "null")]), "data node 's-1': endpoint is no address: null");
    assert_eq!(said(&[("pod_group", "")]), "data node 's-1': pod_group is no cell: missing");
    assert_eq!(said(&[("uid", "5")]), "uid is no name: 5");
    let object = DiscoveryUpdate::read(format!(r#"{{"rev":1,"targets":{long}}}"#).as_bytes()).unwrap_err();
    assert!(object.to_string().len() < 200);
}

// ---- Updates. ----

/// Guards against one line that costs the changes of all others.
#[test]
fn one_line_that_cannot_be_read_costs_that_line_only() {
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
            assert_eq!(states(&table(update)).0, [("s-1", EndpointState::Draining)], "{bad}");
        }
    }
    // Bytes that are no text at all.
    let text =
        [br#"{"rev":1,"targets":[{"uid":"s-"#, &b"\xff\xfe"[..], br#"","state":"up"},"#, good.as_bytes()];
    let update = DiscoveryUpdate::read(&[&text.concat()[..], b"]}"].concat()).unwrap();
    assert_eq!(update.unreadable_lines().count(), 1);
    assert_eq!(states(&table(update)).0, [("s-1", EndpointState::Draining)]);
}

/// What is known of an object as a whole.
#[test]
fn an_object_needs_a_version_and_a_list() {
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
    let no_updates = [
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
    for text in no_updates {
        assert!(read(text).is_err(), "{text}");
    }
}

/// Lines that are known in part are handed on by name and state.
#[test]
fn lines_that_are_known_in_part_are_handed_on() {
    let lines = [
        line_with(&[]),
        line_with(&[("uid", r#""s-2""#), ("endpoint", "null")]),
        line_with(&[("uid", r#""s-3""#), ("endpoint", "null"), ("state", r#""removed""#)]),
        line_with(&[("uid", r#""s-4""#), ("state", "null")]),
        line_with(&[("uid", "null")]),
    ];
    let update = update(&lines.each_ref().map(String::as_str));
    assert_eq!(update.unreadable_lines().count(), 4);
    let applied = table(update);
    let partial = vec![
        ("s-2", EndpointState::Active),
        ("s-3", EndpointState::Removed),
        ("s-4", EndpointState::Draining),
    ];
    assert_eq!(states(&applied), (vec![("s-1", EndpointState::Active)], partial));
    assert_eq!(applied.lines[0].member.as_ref().unwrap().0.started_at, 7_000_000);
}

/// Of lines of the same data node the last counts, but none opens the gate that another one shuts, unless it tells of a
/// newer start: in which order discovery writes changes is not known, and a rest too long breaks no rule.
#[test]
fn no_line_opens_the_gate_that_another_of_its_object_shuts() {
    let line = |state: &str, started_at_ms: &str| {
        line_with(&[("state", &format!("{state:?}")), ("boot_ms", started_at_ms)])
    };
    let part = |state: &str| line_with(&[("state", &format!("{state:?}")), ("endpoint", "null")]);
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
        (vec![line("up", "7"), part("draining")], EndpointState::Draining),
        (vec![line("up", "7"), part("up")], EndpointState::Active),
        (vec![line("draining", "7"), part("up")], EndpointState::Draining),
        (vec![part("draining"), line("up", "7")], EndpointState::Draining),
        (vec![part("draining"), line("up", "8")], EndpointState::Active),
        (vec![part("up"), line("up", "7")], EndpointState::Active),
        (vec![line("draining", r#""x""#), line("up", "8")], EndpointState::Draining),
    ];
    for (lines, phase) in cases {
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        assert_eq!(states(&table(update(&lines))), (vec![("s-1", phase)], vec![]), "{lines:?}");
    }
    // Without any whole line.
    let (down, up) = (part("draining"), part("up"));
    assert_eq!(states(&table(update(&[&down, &up]))), (vec![], vec![("s-1", EndpointState::Draining)]));
    assert_eq!(states(&table(update(&[&up, &down]))), (vec![], vec![("s-1", EndpointState::Draining)]));
}

// ---- The stream of a watch. ----

/// Lines may come indented, and their texts may hold whatever braces they like.
#[test]
fn an_object_ends_where_it_ends() {
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

/// Guards against waiting for the end of what is no list, and against holding one that never ends.
#[test]
fn what_is_no_object_is_said_at_once() {
    for text in ["nonsense", "]", "\"rev\"", "{\"rev\":1}}", "[]", "{}", "{\"rev\":\"x\"}"] {
        let mut parser = WatchParser::default();
        parser.buffer().extend_from_slice(text.as_bytes());
        assert!(
            (0..2).any(|_| matches!(parser.next_event(MOST), Ok(Some(WatchEvent::Unreadable(_))))),
            "{text}"
        );
    }
    for byte in [b' ', b'[', b'{'] {
        let mut parser = WatchParser::default();
        parser.buffer().extend_from_slice(&[byte; MOST]);
        assert!(matches!(parser.next_event(MOST), Ok(None)));
        parser.buffer().push(byte);
        assert_eq!(parser.next_event(MOST).unwrap_err().fault(), LineFault::TooLong);
    }
}

/// Guards against an object whose length counts only where it comes in many pieces.
#[test]
fn the_limit_of_an_object_does_not_depend_on_how_it_is_cut() {
    let text = |len: usize| format!(r#"{{"rev":1,"x":"{}"}}"#, "y".repeat(len - r#"{"rev":1,"x":""}"#.len()));
    for cuts in [vec![], vec![1; MOST], vec![1000; 5]] {
        assert_eq!(parse(text(MOST).as_bytes(), &cuts).unwrap(), [ParsedEvent::Version(1)]);
        assert_eq!(parse(text(MOST + 1).as_bytes(), &cuts).unwrap_err().fault(), LineFault::TooLong);
    }
}

/// A line that is no object, and one that was cut off within a text, cost no other line, wherever the stream is cut.
#[test]
fn what_follows_a_line_that_is_no_object_is_heard() {
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
        let shown = String::from_utf8_lossy(text);
        for first in 0..text.len() {
            assert_eq!(parse(text, &[first]).unwrap(), *expected, "{shown} cut at {first}");
        }
        assert_eq!(parse(text, &vec![1; text.len()]).unwrap(), *expected, "{shown}");
    }
}

/// Guards against holding a line that is no object and never ends.
#[test]
fn a_line_that_is_skipped_is_not_held() {
    let mut parser = WatchParser::default();
    parser.buffer().push(b'x');
    assert!(matches!(parser.next_event(MOST), Ok(Some(WatchEvent::Unreadable(_)))));
    for _ in 0..10 {
        parser.buffer().extend_from_slice(&[b'{'; MOST]);
        assert!(matches!(parser.next_event(MOST), Ok(None)));
        assert!(parser.buffer().is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However a watch is cut, it tells the same.
    #[test]
    fn objects_do_not_depend_on_how_they_are_cut(
        order in proptest::collection::vec(0..7_u8, 1..12),
        cuts in proptest::collection::vec(1..30_usize, 0..60),
    ) {
        let (mut text, mut whole) = (Vec::new(), Vec::new());
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
            whole.push(event);
        }
        prop_assert_eq!(parse(&text, &cuts).unwrap(), whole);
    }

    /// Whatever bytes come, however they are cut: the same is told, and nothing grows or panics.
    #[test]
    fn any_bytes_tell_the_same_however_they_are_cut(
        text in proptest::collection::vec(
            prop_oneof![Just(b'{'), Just(b'}'), Just(b'['), Just(b']'), Just(b'"'), Just(b'\\'), Just(b'\n'),
                Just(b'1'), Just(b' '), Just(0xef), Just(0xbb), Just(0xbf), any::<u8>()], 0..200),
        cuts in proptest::collection::vec(1..20_usize, 0..60),
    ) {
        let whole = parse(&text, &[]);
        prop_assert_eq!(parse(&text, &cuts), whole.clone());
        // A good line that follows an end of a line outside of any object is heard.
        let later = [&text[..], b"\n{\"rev\":77}\n"].concat();
        prop_assert_eq!(parse(&later, &cuts), parse(&later, &[]));
    }

    /// Any values in the fields of one line cost that line at most, and never open the gate of another state.
    #[test]
    fn any_values_in_a_line_cost_that_line_at_most(
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
        let (good, other) = (line_with(&[("state", r#""draining""#)]), line_with(&changes));
        let lines = if first { [other.as_str(), &good] } else { [&good, other.as_str()] };
        let applied = table(update(&lines));
        prop_assert!(states(&applied).0.contains(&("s-1", EndpointState::Draining)));
        let said_up = changes.iter().all(|change| change.0 != "state");
        let up = |lines: &[(&str, EndpointState)]| lines.iter().any(|l| l.1 == EndpointState::Active);
        let (whole, partial) = states(&applied);
        prop_assert!(said_up || !(up(&whole) || up(&partial)));
    }
}
