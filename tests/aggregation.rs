//! The desk frontend on loopback, against stand-in data nodes with known data. The tests make data nodes fail, lag
//! behind or return corrupt values, compare the answers with the exact ones, and check that every query is counted
//! once.

#[allow(unreachable_pub)]
#[path = "../crates/merge/examples/merge_check/checker.rs"]
mod checker;
mod harness;
#[allow(unreachable_pub)]
#[path = "../crates/merge/examples/merge_check/stand_in.rs"]
mod stand_in;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use checker::{CheckedQuery, PageChecker};
use curlewdeck::startup::Coordinator;
use harness::stand_in::{get, post_bytes, read_answer, send_request, Answer, DataNode, Discovery, NodeReply};
use harness::{member, wait_until, wait_until_healthy, TestCluster};
use serde_json::{json, Value as Json};
use stand_in::{replica_value, History, Row, ValueOptions};

const EDGE: &str = r#"
[desk]
listen = "127.0.0.1:0"
[[desk.sets]]
id = "passages"
title = "Passages"
class = "plaza-ranking"
measures = [{ name = "fee", scale = 2 }, { name = "axles" }]
[[desk.sets]]
id = "accounts"
title = "Accounts"
class = "tag-lookup"
measures = [{ name = "balance", scale = 2 }]
"#;
const RANGES: usize = 4;

/// How a data node replies.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Healthy,
    /// Fails each part.
    Failing,
    /// Answers from data that is this many versions old.
    Stale(u64),
    /// Stops in the middle of each answer.
    Truncated,
    /// Answers with a value in which the first occurrence of one text is replaced with the other.
    Corrupt(&'static str, &'static str),
    /// Answers with more than a frame may hold.
    Oversized,
    /// Reports that its first row is larger than a value may be.
    RowTooLarge,
}

/// State shared by the data nodes.
struct FleetState {
    data: Vec<History>,
    /// Number of served parts after which all data nodes fail.
    fail_from: usize,
    served: usize,
    modes: BTreeMap<u32, Mode>,
}

type SharedState = Arc<Mutex<FleetState>>;

/// Four ranges on four partition groups; range r is held by the groups r and r + 1.
struct Fleet {
    coordinator: Coordinator,
    discovery: Discovery,
    state: SharedState,
    nodes: Vec<DataNode>,
    desk: SocketAddr,
}

fn serve(state: &SharedState, cell: u32, part: &harness::stand_in::Part) -> NodeReply {
    let mut state = state.lock().unwrap();
    if state.served >= state.fail_from {
        return NodeReply::Answer(500, 0, String::new());
    }
    state.served += 1;
    let (history, mode) = (&state.data[part.shard as usize], state.modes[&cell]);
    let behind = if let Mode::Stale(n) = mode { n } else { 0 };
    let version = history.latest().saturating_sub(behind).max(1);
    let options = ValueOptions {
        max_bytes: if mode == Mode::RowTooLarge { 301 } else { 200_000 },
        ..ValueOptions::default()
    };
    let Some(value) = replica_value(history.snapshot(version), version, &part.text, options) else {
        return NodeReply::Answer(500, 0, String::new());
    };
    match mode {
        Mode::Failing => NodeReply::Answer(500, 0, String::new()),
        Mode::Truncated => {
            let line = format!("{} 200 0 -\n{value}", part.id);
            let mut bytes = (line.len() as u32 + 1).to_le_bytes().to_vec();
            bytes.push(b'O');
            bytes.extend_from_slice(&line.as_bytes()[..line.len() / 2]);
            NodeReply::Raw(bytes)
        }
        Mode::Corrupt(from, to) => NodeReply::Answer(200, 0, value.replacen(from, to, 1)),
        Mode::Oversized => NodeReply::Answer(200, 0, format!("{value}\n{}", "x".repeat(300_000))),
        Mode::Healthy | Mode::Stale(_) | Mode::RowTooLarge => NodeReply::Answer(200, 0, value),
    }
}

impl Fleet {
    fn start(rows: usize) -> Self {
        Self::with_edge(rows, EDGE)
    }

    fn with_edge(rows: usize, edge: &str) -> Self {
        let mut data = vec![History::default(); RANGES];
        for (range, history) in data.iter_mut().enumerate() {
            history.change(|snapshot| {
                for n in 0..rows {
                    let (measure, body) =
                        ((n * 37 + range * 101) as i64 % 250 - 20, format!(r#"{{"n": {n}}}"#));
                    snapshot.insert(format!("k{:03}#{range}", n), Row { measure, body: Some(body) });
                }
            });
        }
        let modes = (0..RANGES as u32).map(|cell| (cell, Mode::Healthy)).collect();
        let state = Arc::new(Mutex::new(FleetState { data, modes, fail_from: usize::MAX, served: 0 }));
        let nodes: Vec<DataNode> = (0..RANGES as u32)
            .map(|cell| {
                let state = state.clone();
                DataNode::start(move |part| serve(&state, cell, part))
            })
            .collect();
        let members = (0..).zip(&nodes).map(|(c, n)| member(&format!("s{c}"), c, n.addr)).collect();
        let discovery = Discovery::start("127.0.0.1:0", members);
        let cluster = TestCluster { partition_groups: 4, replicas: 2, ..TestCluster::default() };
        let coordinator = cluster.start(discovery.addr, edge);
        wait_until_healthy(&coordinator);
        let desk = coordinator.aggregation.unwrap();
        Self { coordinator, discovery, state, nodes, desk }
    }

    fn set_mode(&self, cell: u32, mode: Mode) {
        self.state.lock().unwrap().modes.insert(cell, mode);
    }

    fn change(&self, range: usize, change: impl FnOnce(&mut stand_in::Snapshot)) {
        self.state.lock().unwrap().data[range].change(change);
    }

    fn data(&self) -> Vec<History> {
        self.state.lock().unwrap().data.clone()
    }

    fn send_query(&self, set: &str, body: &Json) -> Answer {
        send_request(self.desk, &post_bytes(&format!("/v1/sets/{set}/query"), &body.to_string())).unwrap()
    }

    /// Repeats the query until the answer is the expected one. After a change of modes this takes a while, since the
    /// engine avoids data nodes that failed until it tries them again.
    fn query_until(&self, set: &str, body: &Json, expected: impl Fn(&Json) -> bool) -> Json {
        let last = Mutex::new(Json::Null);
        wait_until("the expected answer", || {
            let answer = self.send_query(set, body);
            let answer = if answer.status == 200 { validated_json(&answer) } else { Json::Null };
            let is_expected = expected(&answer);
            *last.lock().unwrap() = answer;
            is_expected
        });
        last.into_inner().unwrap()
    }

    fn count(&self, counter: impl Fn(&curlewdeck::counters::Counters) -> &AtomicU64) -> u64 {
        counter(&self.coordinator.core.counters).load(Ordering::SeqCst)
    }

    /// Asserts that every accepted query has exactly one outcome.
    fn assert_each_query_counted_once(&self) {
        let outcomes = || {
            self.count(|c| &c.answers_complete)
                + self.count(|c| &c.answers_partial)
                + self.count(|c| &c.queries_failed)
                + self.count(|c| &c.queries_rejected)
                + self.count(|c| &c.clients_disconnected)
        };
        assert_eq!(self.count(|c| &c.queries_accepted), outcomes());
    }
}

fn schema(name: &str) -> jsonschema::Validator {
    let mut document: Json = serde_json::from_str(include_str!("../docs/desk-openapi.json"))
        .expect("the OpenAPI document is JSON");
    document["$ref"] = format!("#/components/schemas/{name}").into();
    jsonschema::draft202012::new(&document).expect("the schemas of the OpenAPI document are valid")
}

/// Parses an answer and validates it against the published OpenAPI document.
fn validated_json(answer: &Answer) -> Json {
    let json: Json = serde_json::from_str(&answer.body).unwrap_or_else(|e| panic!("{e}: {}", answer.body));
    let name = match answer.header("content-type") {
        Some("application/problem+json") => "Problem",
        _ if json.get("sets").is_some() => "Sets",
        _ => "Answer",
    };
    if let Err(fault) = schema(name).validate(&json) {
        panic!("the answer violates the published schema: {fault} at {}", fault.instance_path());
    }
    json
}

fn problem(answer: &Answer) -> (u16, String, String) {
    let json = validated_json(answer);
    let text = |name: &str| json[name].as_str().unwrap_or("").to_string();
    (answer.status, text("field"), text("detail"))
}

fn request(op: &'static str, grouped: bool, limit: usize, min_coverage: f64) -> CheckedQuery {
    CheckedQuery { op, descending: true, grouped, limit, min_coverage }
}

#[test]
fn answers_are_exact_and_match_the_published_schema() {
    let fleet = Fleet::start(30);
    let mut count = 0;
    for op in ["rank", "sum", "count", "min", "max", "mean"] {
        for grouped in [false, true] {
            let body = json!({"op": op, "grouped": grouped, "limit": 500, "filter": {"month": "2026-11"}});
            let answer = fleet.send_query("passages", &body);
            assert_eq!(answer.status, 200, "{op}: {}", answer.body);
            let json = validated_json(&answer);
            assert_eq!((&json["whole"], &json["coverage"]), (&true.into(), &"1.000000".into()), "{op}");
            checker::check(&request(op, grouped, 500, 0.5), &json, &fleet.data()).unwrap();
            if grouped && op != "rank" {
                PageChecker::default()
                    .check_page(&request(op, true, 500, 0.5), &json, &fleet.data())
                    .unwrap();
            }
            count += 1;
        }
    }
    assert_eq!((fleet.count(|c| &c.queries_accepted), fleet.count(|c| &c.answers_complete)), (count, count));
    fleet.assert_each_query_counted_once();
    // Each part's text names the part's own range.
    for node in &fleet.nodes {
        assert!(node
            .received_parts()
            .iter()
            .all(|p| p.text.contains(&format!("\"range\":{},", p.shard).replace(",", ""))));
    }
    assert_eq!(validated_json(&get(fleet.desk, "/v1/sets").unwrap())["sets"][0]["leastShare"], 0.5);
    let document = get(fleet.desk, "/openapi.json").unwrap();
    assert_eq!(document.body, include_str!("../docs/desk-openapi.json"));
}

#[test]
fn rejected_request_names_the_invalid_field() {
    let fleet = Fleet::start(3);
    for (body, field, why) in [
        (r#"{"op":"rank","limit":0}"#, "limit", "1 to 1000"),
        (r#"{"op":"rank","limit":"ten"}"#, "limit", "invalid type"),
        (r#"{"op":"rang"}"#, "op", "unknown variant"),
        (r#"{"limit":3}"#, "", "missing field `op`"),
        (r#"{"op":"rank","colour":1}"#, "colour", "unknown field"),
        (r#"{"op":"rank","measure":"toll"}"#, "measure", "no such measure"),
        (r#"{"op":"list","grouped":true}"#, "grouped", "no groups"),
        (r#"{"op":"rank","cursor":"AAAA"}"#, "cursor", "have pages"),
        (r#"{"op":"list","cursor":"AAAA"}"#, "cursor", "malformed"),
        (r#"{"op":"sum","timeoutMs":0}"#, "timeoutMs", "above 0"),
        (r#"{"op":"sum","filter":{"a":1}}"#, "filter.a", "invalid type"),
        (r#"{"op":"sum"} x"#, "", "after the object"),
        ("", "", "EOF"),
    ] {
        let answer = send_request(fleet.desk, &post_bytes("/v1/sets/passages/query", body)).unwrap();
        let (status, at, detail) = problem(&answer);
        assert!((status, at.as_str()) == (400, field) && detail.contains(why), "{body}: {at}: {detail}");
    }
    for (bytes, status) in [
        (post_bytes("/v1/sets/none/query", "{}"), 404),
        (post_bytes("/v1/sets", "{}"), 405),
        (b"GET /v1/sets/passages/query HTTP/1.1\r\n\r\n".to_vec(), 405),
        (b"GET /v2 HTTP/1.1\r\n\r\n".to_vec(), 404),
        (b"nonsense\r\n\r\n".to_vec(), 400),
    ] {
        assert_eq!(problem(&send_request(fleet.desk, &bytes).unwrap()).0, status);
    }
    assert_eq!(fleet.count(|c| &c.queries_accepted), 0);
}

/// A cursor is rejected with the reason if it was modified, belongs to another query, or was signed with an unknown
/// key.
#[test]
fn invalid_cursors_are_rejected_with_the_reason() {
    let fleet = Fleet::start(9);
    let list = json!({"op": "list", "limit": 5});
    let next = validated_json(&fleet.send_query("passages", &list))["next"].as_str().unwrap().to_string();
    let with = |query: &Json, cursor: &str| {
        let mut query = query.clone();
        query["cursor"] = cursor.into();
        let (status, field, detail) = problem(&fleet.send_query("passages", &query));
        assert_eq!((status, field.as_str()), (400, "cursor"));
        detail
    };
    // Changes one character of the record, after the key's name.
    let other = if &next[10..11] == "A" { "B" } else { "A" };
    let flipped = format!("{}{other}{}", &next[..10], &next[11..]);
    assert!(with(&list, &flipped).contains("changed or made elsewhere"));
    assert!(with(&json!({"op": "list", "measure": "axles"}), &next).contains("another query"));
    assert!(with(&json!({"op": "list", "filter": {"a": "b"}}), &next).contains("another query"));
    // Another instance, or the same one after a restart, without a key file.
    let other = Fleet::start(9);
    let foreign = validated_json(&other.send_query("passages", &list))["next"].as_str().unwrap().to_string();
    assert!(with(&list, &foreign).contains("not known here"));
    // The page size may change between pages.
    let wider = fleet.send_query("passages", &json!({"op": "list", "limit": 500, "cursor": next}));
    assert_eq!(validated_json(&wider)["rows"].as_array().unwrap().len(), RANGES * 9 - 5);
}

/// With a key file a cursor is valid at another instance; a retired key is rejected; the file must be private.
#[test]
fn cursors_remain_valid_at_another_instance_with_a_key_file() {
    use std::os::unix::fs::PermissionsExt;
    let directory = std::env::temp_dir().join(format!("curlewdeck-desk-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("cursor.keys");
    let edge = EDGE.replace(
        "[[desk.sets]]\nid = \"passages\"",
        &format!("cursor_keys = {file:?}\n[[desk.sets]]\nid = \"passages\""),
    );
    let write_keys = |text: String| {
        std::fs::write(&file, text).unwrap();
        std::fs::set_permissions(&file, PermissionsExt::from_mode(0o600)).unwrap();
    };
    let (old, new) = ("1a".repeat(32), "2b".repeat(32));
    let list = |cursor: Option<&Json>| match cursor {
        Some(cursor) => json!({"op": "list", "limit": 5, "cursor": cursor}),
        None => json!({"op": "list", "limit": 5}),
    };
    write_keys(old.clone());
    let next =
        validated_json(&Fleet::with_edge(9, &edge).send_query("passages", &list(None)))["next"].clone();
    write_keys(format!("{new}\n{old}\n"));
    assert_eq!(Fleet::with_edge(9, &edge).send_query("passages", &list(Some(&next))).status, 200);
    write_keys(new);
    assert_eq!(problem(&Fleet::with_edge(9, &edge).send_query("passages", &list(Some(&next)))).1, "cursor");
    std::fs::set_permissions(&file, PermissionsExt::from_mode(0o644)).unwrap();
    let config = curlewdeck::config::EdgeConfig::read(&edge).unwrap().aggregation.unwrap();
    assert!(config.keys().unwrap_err().to_string().contains("chmod 600"));
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Data nodes fail between and during pages, replicas lag behind, and rows are inserted and removed. No row is repeated
/// and no row that stayed is skipped.
#[test]
fn pages_neither_repeat_nor_skip_rows_while_nodes_fail() {
    let fleet = Fleet::start(25);
    let (mut page_checker, mut cursor, mut pages) = (PageChecker::default(), Json::Null, 0);
    let request = request("list", false, 7, 0.5);
    loop {
        // One node at a time is faulty, so that each range keeps a healthy holder.
        let cell = pages % 4;
        let faults = [Mode::Failing, Mode::Truncated, Mode::Stale(1), Mode::Corrupt("\"v\":1", "\"v\":3")];
        (0..4).for_each(|c| fleet.set_mode(c, Mode::Healthy));
        fleet.set_mode(cell, faults[(pages / 4 % 4) as usize]);
        fleet.change((pages % 4) as usize, |rows| {
            rows.insert(format!("k{:03}#new{pages}", pages * 5 % 25), Row { measure: 1, body: None });
            let removed = rows.keys().nth(pages as usize % 20).cloned().unwrap();
            rows.remove(&removed);
        });
        let mut body = json!({"op": "list", "limit": 7});
        if !cursor.is_null() {
            body["cursor"] = cursor.clone();
        }
        let json = fleet
            .query_until("passages", &body, |json| json["missing"].as_array().is_some_and(Vec::is_empty));
        let data = fleet.data();
        checker::check(&request, &json, &data).unwrap();
        page_checker.check_page(&request, &json, &data).unwrap_or_else(|why| panic!("page {pages}: {why}"));
        pages += 1;
        match json.get("next") {
            Some(next) => cursor = next.clone(),
            None => break,
        }
    }
    assert!(pages > 10, "the listing had {pages} pages");
    fleet.assert_each_query_counted_once();
}

/// All holders of a range fail during a page and recover for the next one. The page names the missing range, and later
/// pages return its rows once.
#[test]
fn rows_of_a_missing_range_are_returned_on_later_pages() {
    let fleet = Fleet::start(4);
    let request = request("list", false, 6, 0.5);
    let mut page_checker = PageChecker::default();
    fleet.set_mode(1, Mode::Failing);
    fleet.set_mode(2, Mode::Failing);
    let one_missing = |json: &Json| json["missing"].as_array().is_some_and(|m| m.len() == 1);
    let body = json!({"op": "list", "limit": 6, "timeoutMs": 1500});
    let first = fleet.query_until("passages", &body, one_missing);
    assert_eq!((&first["missing"][0]["range"], &first["whole"]), (&1.into(), &false.into()));
    page_checker.check_page(&request, &first, &fleet.data()).unwrap();
    // The class of this set requires every range.
    let strict = fleet.send_query("accounts", &json!({"op": "list", "limit": 6, "timeoutMs": 300}));
    assert!([503, 504].contains(&strict.status), "{}", strict.body);
    fleet.set_mode(1, Mode::Healthy);
    fleet.set_mode(2, Mode::Healthy);
    let mut page = first;
    while let Some(next) = page.get("next").cloned() {
        let body = json!({"op": "list", "limit": 6, "cursor": next});
        page = fleet.query_until("passages", &body, |json| json["whole"] == true);
        page_checker.check_page(&request, &page, &fleet.data()).unwrap();
    }
    fleet.assert_each_query_counted_once();
}

/// Each of these corrupt values passes the frame parser. The value is rejected, the part goes to the other replica, and
/// the answer is exact.
#[test]
fn corrupt_values_are_never_served() {
    for (from, to) in [
        ("\"v\":1", "\"v\":2"),
        ("\"rows\":3", "\"rows\":1000000000"),
        ("\"range\":", "\"range\":1"),
        ("\"until\":1", "\"until\":2"),
        ("\"sum\":", "\"sum\":9"),
        ("\"scale\":2", "\"scale\":4"),
    ] {
        let fleet = Fleet::start(3);
        fleet.set_mode(2, Mode::Corrupt(from, to));
        let body = json!({"op": "rank", "limit": 3});
        let json = fleet.query_until("passages", &body, |json| json["whole"] == true);
        checker::check(&request("rank", false, 3, 0.5), &json, &fleet.data()).unwrap();
        wait_until("a rejected value", || {
            validated_json(&fleet.send_query("passages", &body));
            fleet.count(|c| &c.values_invalid) > 0
        });
        fleet.assert_each_query_counted_once();
    }
}

/// A row is larger than a frame. Its data nodes report it, or send it anyway; the client gets an error either way, and
/// its connection stays open.
#[test]
fn row_larger_than_a_frame_is_an_error_and_the_connection_stays_open() {
    let fleet = Fleet::start(3);
    let mut stream = TcpStream::connect(fleet.desk).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut send = |set: &str, body: Json| {
        stream.write_all(&post_bytes(&format!("/v1/sets/{set}/query"), &body.to_string())).unwrap();
        read_answer(&mut reader).unwrap()
    };
    (0..4).for_each(|c| fleet.set_mode(c, Mode::RowTooLarge));
    let reported = send("accounts", json!({"op": "list"}));
    let (status, _, detail) = problem(&reported);
    assert!(status == 502 && detail.contains("is larger than a value may be"), "{detail}");
    (0..4).for_each(|c| fleet.set_mode(c, Mode::Oversized));
    let oversized = send("accounts", json!({"op": "list", "timeoutMs": 500}));
    assert!([503, 504].contains(&problem(&oversized).0), "{}", oversized.body);
    (0..4).for_each(|c| fleet.set_mode(c, Mode::Healthy));
    wait_until("a successful answer on the same connection", || {
        send("accounts", json!({"op": "list", "timeoutMs": 500})).status == 200
    });
}

/// A long answer uses chunked encoding; an HTTP/1.0 client gets it with a `Content-Length` instead.
#[test]
fn long_answers_are_streamed() {
    let fleet = Fleet::start(200);
    let body = json!({"op": "list", "limit": 800}).to_string();
    let target = "/v1/sets/passages/query";
    let chunked = send_request(fleet.desk, &post_bytes(target, &body)).unwrap();
    assert_eq!(chunked.header("transfer-encoding"), Some("chunked"));
    assert_eq!(validated_json(&chunked)["rows"].as_array().unwrap().len(), 800);
    let old = String::from_utf8(post_bytes(target, &body)).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    let plain = send_request(fleet.desk, old.as_bytes()).unwrap();
    assert_eq!((plain.header("transfer-encoding"), plain.body.len()), (None, chunked.body.len()));
}

/// Cached values of the last observed version bound a missing range, until the range gets a new holder.
#[test]
fn cached_values_bound_a_missing_range_until_it_gets_a_new_holder() {
    let fleet = Fleet::start(3);
    let body = json!({"op": "rank", "limit": 3, "timeoutMs": 1500});
    assert_eq!(validated_json(&fleet.send_query("passages", &body))["whole"], true);
    fleet.set_mode(1, Mode::Failing);
    fleet.set_mode(2, Mode::Failing);
    let one_missing = |json: &Json| json["missing"].as_array().is_some_and(|m| m.len() == 1);
    let json = fleet.query_until("passages", &body, one_missing);
    assert_eq!(json["missing"][0]["boundedAtVersion"], 1);
    checker::check(&request("rank", false, 3, 0.5), &json, &fleet.data()).unwrap();
    assert!(fleet.count(|c| &c.range_cache_hits) > 0);
    // A new holder of ranges 0 and 1 may have older data than the one that it replaces.
    let (changes, state) = (fleet.count(|c| &c.endpoint_list_changes), fleet.state.clone());
    let node = DataNode::start(move |part| serve(&state, 1, part));
    fleet.discovery.add(member("s9", 1, node.addr));
    wait_until("the endpoint list change", || fleet.count(|c| &c.endpoint_list_changes) > changes);
    let json = fleet.query_until("passages", &body, one_missing);
    assert_eq!((json["missing"][0].get("boundedAtVersion"), &json["certain"]), (None, &0.into()));
}

/// Runs a client that pages through a listing. The data nodes fail after its third page, until one of its queries fails
/// or is rejected. Returns the JSON lines that the client printed.
fn run_client_with_interruption(fleet: &Fleet, mut client: std::process::Command) -> Vec<Json> {
    use std::process::Stdio;
    {
        let mut state = fleet.state.lock().unwrap();
        state.fail_from = state.served + 3 * RANGES;
    }
    let unsuccessful = || fleet.count(|c| &c.queries_failed) + fleet.count(|c| &c.queries_rejected);
    let before = unsuccessful();
    let child = client.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    wait_until("a failed or rejected query", || unsuccessful() > before);
    fleet.state.lock().unwrap().fail_from = usize::MAX;
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    assert!(output.status.success(), "{}", text(output.stderr));
    text(output.stdout).lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

fn keys(rows: &[Json]) -> Vec<String> {
    rows.iter().map(|r| r["key"].as_str().unwrap().to_string()).collect()
}

fn all_keys(rows: usize) -> Vec<String> {
    (0..rows).flat_map(|n| (0..RANGES).map(move |r| format!("k{n:03}#{r}"))).collect()
}

/// After a failed query both clients continue from their last cursor and print every row once, in order.
#[test]
fn clients_continue_from_their_cursor_after_a_failed_query() {
    let fleet = Fleet::start(10);
    let address = fleet.desk.to_string();
    let mut tool = std::process::Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
    tool.args(["query", &address, "accounts", "list", "--limit", "6", "--all", "--json", "--timeout", "400"]);
    assert_eq!(keys(&run_client_with_interruption(&fleet, tool)), all_keys(10));
    if std::process::Command::new("python3").arg("--version").output().is_err() {
        return println!("skipped the Python client: python3 is not installed");
    }
    let mut client = std::process::Command::new("python3");
    client.args(["examples/desk_client.py", &address, "accounts", "--limit", "6", "--timeout-ms", "400"]);
    assert_eq!(keys(&run_client_with_interruption(&fleet, client)), all_keys(10));
    fleet.assert_each_query_counted_once();
}

/// The tool's exit status distinguishes complete, partial, rejected, failed and invalid queries.
#[test]
fn tool_exit_status_distinguishes_outcomes() {
    let fleet = Fleet::start(3);
    let run = |words: &str| {
        let words = words.replace("DESK", &fleet.desk.to_string());
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_curlewdeck"))
            .arg("query")
            .args(words.split(' '))
            .output()
            .unwrap();
        (
            output.status.code().unwrap(),
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap(),
        )
    };
    let (status, text) = run("DESK passages rank --limit 2");
    assert!(status == 0 && text.contains("whole: all of 4 ranges"), "{text}");
    let (status, text) = run("DESK passages rank --limit 0");
    assert!(status == 5 && text.contains("limit: 1 to 1000"), "{text}");
    assert_eq!(run("DESK passages").0, 1);
    fleet.set_mode(1, Mode::Failing);
    fleet.set_mode(2, Mode::Failing);
    fleet.query_until("passages", &json!({"op": "sum", "timeoutMs": 1500}), |json| json["whole"] == false);
    wait_until("a partial answer", || {
        let (status, text) = run("DESK passages sum --timeout 1500");
        status == 2 && text.contains("range 1 no-answer")
    });
    (0..4).for_each(|cell| fleet.set_mode(cell, Mode::Failing));
    let (status, text) = run("DESK accounts sum --timeout 200 --tries 1");
    assert!(matches!(status, 3 | 4) && text.contains("curlewdeck: "), "{status}: {text}");
}

/// The error for an invalid section names the setting at fault.
#[test]
fn invalid_section_is_named_in_the_error() {
    let info = curlewdeck::config::Config::read(
        &TestCluster::default().config("127.0.0.1:1".parse().unwrap()),
        |_| None,
    );
    let info = info.unwrap().deployment;
    for (from, to, why) in [
        ("plaza-ranking", "none", "unknown class 'none'"),
        ("plaza-ranking", "monthly-settle", "has a second step"),
        ("\"accounts\"", "\"passages\"", "each with a unique id"),
        ("\"axles\"", "\"fee\"", "each with a unique name"),
        ("scale = 2 }, {", "scale = 19 }, {", "at most 18"),
        ("\"accounts\"", "\"a b\"", "is not a valid path segment"),
    ] {
        let edge = curlewdeck::config::EdgeConfig::read(&EDGE.replacen(from, to, 1)).unwrap();
        let fault = edge.aggregation.unwrap().check(&info).unwrap_err().to_string();
        assert!(fault.contains(why), "{to}: {fault}");
    }
    // Feature servers return features, which the desk frontend cannot merge.
    let edge = format!("[nodes]\nprotocol = \"features\"\n{EDGE}");
    let fault = curlewdeck::config::EdgeConfig::read(&edge).unwrap().check(&info).unwrap_err().to_string();
    assert!(fault.contains("needs data nodes that use frames"), "{fault}");
}
