//! The desk front on loopback, against stand-in data nodes with known data that are killed, put behind and changed by
//! script: answers against the exact ones, and every query counted once.

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

use checker::{Asked, Walk};
use curlewdeck::startup::Coordinator;
use harness::stand_in::{exchange, get, post_bytes, read_answer, Answer, DataNode, Discovery, NodeReply};
use harness::{member, ready, until, TestCluster};
use serde_json::{json, Value as Json};
use stand_in::{answer, History, Manner, Row};

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

/// What a data node does, beside answering from its data.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Sound,
    /// Fails each part.
    Dead,
    /// So many versions behind.
    Behind(u64),
    /// Breaks off in the middle of each answer.
    Breaks,
    /// Answers with a value that is spoilt.
    Spoils(&'static str, &'static str),
    /// Answers with more than a frame may hold.
    Floods,
    /// Says that its first row is too large for a value.
    Small,
}

struct World {
    data: Vec<History>,
    /// All fail once so many parts have been served.
    fail_from: usize,
    served: usize,
    modes: BTreeMap<u32, Mode>,
}

type Shared = Arc<Mutex<World>>;

/// Four ranges on four cells; range r is held by the cells r and r + 1.
struct Fleet {
    coordinator: Coordinator,
    discovery: Discovery,
    world: Shared,
    nodes: Vec<DataNode>,
    desk: SocketAddr,
}

fn serve(world: &Shared, cell: u32, part: &harness::stand_in::Part) -> NodeReply {
    let mut world = world.lock().unwrap();
    if world.served >= world.fail_from {
        return NodeReply::Answer(500, 0, String::new());
    }
    world.served += 1;
    let (history, mode) = (&world.data[part.shard as usize], world.modes[&cell]);
    let behind = if let Mode::Behind(n) = mode { n } else { 0 };
    let version = history.latest().saturating_sub(behind).max(1);
    let manner = Manner { bytes: if mode == Mode::Small { 301 } else { 200_000 }, ..Manner::default() };
    let Some(value) = answer(history.at(version), version, &part.text, manner) else {
        return NodeReply::Answer(500, 0, String::new());
    };
    match mode {
        Mode::Dead => NodeReply::Answer(500, 0, String::new()),
        Mode::Breaks => {
            let line = format!("{} 200 0 -\n{value}", part.id);
            let mut bytes = (line.len() as u32 + 1).to_le_bytes().to_vec();
            bytes.push(b'O');
            bytes.extend_from_slice(&line.as_bytes()[..line.len() / 2]);
            NodeReply::Raw(bytes)
        }
        Mode::Spoils(from, to) => NodeReply::Answer(200, 0, value.replacen(from, to, 1)),
        Mode::Floods => NodeReply::Answer(200, 0, format!("{value}\n{}", "x".repeat(300_000))),
        Mode::Sound | Mode::Behind(_) | Mode::Small => NodeReply::Answer(200, 0, value),
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
        let modes = (0..RANGES as u32).map(|cell| (cell, Mode::Sound)).collect();
        let world = Arc::new(Mutex::new(World { data, modes, fail_from: usize::MAX, served: 0 }));
        let nodes: Vec<DataNode> = (0..RANGES as u32)
            .map(|cell| {
                let world = world.clone();
                DataNode::start(move |part| serve(&world, cell, part))
            })
            .collect();
        let members = (0..).zip(&nodes).map(|(c, n)| member(&format!("s{c}"), c, n.addr)).collect();
        let discovery = Discovery::start("127.0.0.1:0", members);
        let cluster = TestCluster { cells: 4, in_a_row: 2, ..TestCluster::default() };
        let coordinator = cluster.start(discovery.addr, edge);
        ready(&coordinator);
        let desk = coordinator.aggregation.unwrap();
        Self { coordinator, discovery, world, nodes, desk }
    }

    fn mode(&self, cell: u32, mode: Mode) {
        self.world.lock().unwrap().modes.insert(cell, mode);
    }

    fn change(&self, range: usize, change: impl FnOnce(&mut stand_in::Snapshot)) {
        self.world.lock().unwrap().data[range].change(change);
    }

    fn data(&self) -> Vec<History> {
        self.world.lock().unwrap().data.clone()
    }

    fn ask(&self, set: &str, body: &Json) -> Answer {
        exchange(self.desk, &post_bytes(&format!("/v1/sets/{set}/query"), &body.to_string())).unwrap()
    }

    /// Asks until the data nodes that have just changed their manner are tried again and the answer is as it should
    /// be: the module rests those that failed.
    fn ask_until(&self, set: &str, body: &Json, good: impl Fn(&Json) -> bool) -> Json {
        let found = Mutex::new(Json::Null);
        until("a good answer", || {
            let answer = self.ask(set, body);
            let answer = if answer.status == 200 { checked(&answer) } else { Json::Null };
            let is_good = good(&answer);
            *found.lock().unwrap() = answer;
            is_good
        });
        found.into_inner().unwrap()
    }

    fn count(&self, counter: impl Fn(&curlewdeck::counters::Counters) -> &AtomicU64) -> u64 {
        counter(&self.coordinator.core.counters).load(Ordering::SeqCst)
    }

    /// Every query that was taken has exactly one end, and the front's answers are as many as were asked for.
    fn counted_once(&self) {
        let ends = || {
            self.count(|c| &c.answers_complete)
                + self.count(|c| &c.answers_partial)
                + self.count(|c| &c.queries_failed)
                + self.count(|c| &c.queries_rejected)
                + self.count(|c| &c.clients_disconnected)
        };
        assert_eq!(self.count(|c| &c.queries_accepted), ends());
    }
}

fn schema(name: &str) -> jsonschema::Validator {
    let mut document: Json =
        serde_json::from_str(include_str!("../docs/desk-openapi.json")).expect("the document is JSON");
    document["$ref"] = format!("#/components/schemas/{name}").into();
    jsonschema::draft202012::new(&document).expect("the document's schemas can be used")
}

/// An answer in the published form.
fn checked(answer: &Answer) -> Json {
    let json: Json = serde_json::from_str(&answer.body).unwrap_or_else(|e| panic!("{e}: {}", answer.body));
    let name = match answer.header("content-type") {
        Some("application/problem+json") => "Problem",
        _ if json.get("sets").is_some() => "Sets",
        _ => "Answer",
    };
    if let Err(fault) = schema(name).validate(&json) {
        panic!("not as published: {fault} at {}", fault.instance_path());
    }
    json
}

fn problem(answer: &Answer) -> (u16, String, String) {
    let json = checked(answer);
    let text = |name: &str| json[name].as_str().unwrap_or("").to_string();
    (answer.status, text("field"), text("detail"))
}

fn asked(op: &'static str, grouped: bool, limit: usize, floor: f64) -> Asked {
    Asked { op, descending: true, grouped, limit, floor }
}

#[test]
fn answers_are_exact_and_in_the_published_form() {
    let fleet = Fleet::start(30);
    let mut count = 0;
    for op in ["rank", "sum", "count", "min", "max", "mean"] {
        for grouped in [false, true] {
            let body = json!({"op": op, "grouped": grouped, "limit": 500, "filter": {"month": "2026-11"}});
            let answer = fleet.ask("passages", &body);
            assert_eq!(answer.status, 200, "{op}: {}", answer.body);
            let json = checked(&answer);
            assert_eq!((&json["whole"], &json["coverage"]), (&true.into(), &"1.000000".into()), "{op}");
            checker::check(&asked(op, grouped, 500, 0.5), &json, &fleet.data()).unwrap();
            if grouped && op != "rank" {
                Walk::default().page(&asked(op, true, 500, 0.5), &json, &fleet.data()).unwrap();
            }
            count += 1;
        }
    }
    assert_eq!((fleet.count(|c| &c.queries_accepted), fleet.count(|c| &c.answers_complete)), (count, count));
    fleet.counted_once();
    // Each part has its own text, which names its range.
    for node in &fleet.nodes {
        assert!(node
            .parts()
            .iter()
            .all(|p| p.text.contains(&format!("\"range\":{},", p.shard).replace(",", ""))));
    }
    assert_eq!(checked(&get(fleet.desk, "/v1/sets").unwrap())["sets"][0]["leastShare"], 0.5);
    let document = get(fleet.desk, "/openapi.json").unwrap();
    assert_eq!(document.body, include_str!("../docs/desk-openapi.json"));
}

#[test]
fn bad_requests_name_the_field_at_fault() {
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
        let answer = exchange(fleet.desk, &post_bytes("/v1/sets/passages/query", body)).unwrap();
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
        assert_eq!(problem(&exchange(fleet.desk, &bytes).unwrap()).0, status);
    }
    assert_eq!(fleet.count(|c| &c.queries_accepted), 0);
}

/// The hard cases of cursors: one changed character, another query, a foreign key.
#[test]
fn cursors_that_cannot_be_used_say_which() {
    let fleet = Fleet::start(9);
    let list = json!({"op": "list", "limit": 5});
    let next = checked(&fleet.ask("passages", &list))["next"].as_str().unwrap().to_string();
    let with = |query: &Json, cursor: &str| {
        let mut query = query.clone();
        query["cursor"] = cursor.into();
        let (status, field, detail) = problem(&fleet.ask("passages", &query));
        assert_eq!((status, field.as_str()), (400, "cursor"));
        detail
    };
    // One character of the record, behind the key's name.
    let other = if &next[10..11] == "A" { "B" } else { "A" };
    let flipped = format!("{}{other}{}", &next[..10], &next[11..]);
    assert!(with(&list, &flipped).contains("changed or made elsewhere"));
    assert!(with(&json!({"op": "list", "measure": "axles"}), &next).contains("another query"));
    assert!(with(&json!({"op": "list", "filter": {"a": "b"}}), &next).contains("another query"));
    // Another instance, or the same one after a restart, without a file of keys.
    let other = Fleet::start(9);
    let foreign = checked(&other.ask("passages", &list))["next"].as_str().unwrap().to_string();
    assert!(with(&list, &foreign).contains("not known here"));
    // The page's size may differ from the one before.
    let wider = fleet.ask("passages", &json!({"op": "list", "limit": 500, "cursor": next}));
    assert_eq!(checked(&wider)["rows"].as_array().unwrap().len(), RANGES * 9 - 5);
}

/// With a file of keys a cursor goes on at another instance; a retired key is refused; the file must be private.
#[test]
fn cursors_outlive_an_instance_with_a_file_of_keys() {
    use std::os::unix::fs::PermissionsExt;
    let folder = std::env::temp_dir().join(format!("curlewdeck-desk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("cursor.keys");
    let edge = EDGE.replace(
        "[[desk.sets]]\nid = \"passages\"",
        &format!("cursor_keys = {file:?}\n[[desk.sets]]\nid = \"passages\""),
    );
    let keys = |text: String| {
        std::fs::write(&file, text).unwrap();
        std::fs::set_permissions(&file, PermissionsExt::from_mode(0o600)).unwrap();
    };
    let (old, new) = ("1a".repeat(32), "2b".repeat(32));
    let list = |cursor: Option<&Json>| match cursor {
        Some(cursor) => json!({"op": "list", "limit": 5, "cursor": cursor}),
        None => json!({"op": "list", "limit": 5}),
    };
    keys(old.clone());
    let next = checked(&Fleet::with_edge(9, &edge).ask("passages", &list(None)))["next"].clone();
    keys(format!("{new}\n{old}\n"));
    assert_eq!(Fleet::with_edge(9, &edge).ask("passages", &list(Some(&next))).status, 200);
    keys(new);
    assert_eq!(problem(&Fleet::with_edge(9, &edge).ask("passages", &list(Some(&next)))).1, "cursor");
    std::fs::set_permissions(&file, PermissionsExt::from_mode(0o644)).unwrap();
    let config = curlewdeck::config::Edge::read(&edge).unwrap().aggregation.unwrap();
    assert!(config.keys().unwrap_err().to_string().contains("chmod 600"));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Data nodes die between pages and in the middle of one, replicas fall behind, rows come and go: no row twice, none
/// that stayed is skipped.
#[test]
fn pages_neither_repeat_nor_skip_while_nodes_die() {
    let fleet = Fleet::start(25);
    let (mut walk, mut cursor, mut pages) = (Walk::default(), Json::Null, 0);
    let asked = asked("list", false, 7, 0.5);
    loop {
        // One node at a time is in trouble, so that each range keeps a sound holder.
        let cell = pages % 4;
        let trouble = [Mode::Dead, Mode::Breaks, Mode::Behind(1), Mode::Spoils("\"v\":1", "\"v\":3")];
        (0..4).for_each(|c| fleet.mode(c, Mode::Sound));
        fleet.mode(cell, trouble[(pages / 4 % 4) as usize]);
        fleet.change((pages % 4) as usize, |rows| {
            rows.insert(format!("k{:03}#new{pages}", pages * 5 % 25), Row { measure: 1, body: None });
            let gone = rows.keys().nth(pages as usize % 20).cloned().unwrap();
            rows.remove(&gone);
        });
        let mut body = json!({"op": "list", "limit": 7});
        if !cursor.is_null() {
            body["cursor"] = cursor.clone();
        }
        let json =
            fleet.ask_until("passages", &body, |json| json["missing"].as_array().is_some_and(Vec::is_empty));
        let data = fleet.data();
        checker::check(&asked, &json, &data).unwrap();
        walk.page(&asked, &json, &data).unwrap_or_else(|why| panic!("page {pages}: {why}"));
        pages += 1;
        match json.get("next") {
            Some(next) => cursor = next.clone(),
            None => break,
        }
    }
    assert!(pages > 10, "the walk had {pages} pages");
    fleet.counted_once();
}

/// All holders of a range are lost for a page and back for the next: the page says which range waits, and what it
/// owes comes later, once.
#[test]
fn a_range_that_is_lost_for_a_page_gives_what_it_owes() {
    let fleet = Fleet::start(4);
    let asked = asked("list", false, 6, 0.5);
    let mut walk = Walk::default();
    fleet.mode(1, Mode::Dead);
    fleet.mode(2, Mode::Dead);
    let waits = |json: &Json| json["missing"].as_array().is_some_and(|m| m.len() == 1);
    let body = json!({"op": "list", "limit": 6, "timeoutMs": 1500});
    let first = fleet.ask_until("passages", &body, waits);
    assert_eq!((&first["missing"][0]["range"], &first["whole"]), (&1.into(), &false.into()));
    walk.page(&asked, &first, &fleet.data()).unwrap();
    // The class of this set needs every range.
    let strict = fleet.ask("accounts", &json!({"op": "list", "limit": 6, "timeoutMs": 300}));
    assert!([503, 504].contains(&strict.status), "{}", strict.body);
    fleet.mode(1, Mode::Sound);
    fleet.mode(2, Mode::Sound);
    let mut page = first;
    while let Some(next) = page.get("next").cloned() {
        let body = json!({"op": "list", "limit": 6, "cursor": next});
        page = fleet.ask_until("passages", &body, |json| json["whole"] == true);
        walk.page(&asked, &page, &fleet.data()).unwrap();
    }
    fleet.counted_once();
}

/// Each of these values is well formed enough to come through, and must never count: the part goes to the other
/// replica, and the answer is exact.
#[test]
fn spoilt_values_are_never_served() {
    for spoils in [
        ("\"v\":1", "\"v\":2"),
        ("\"rows\":3", "\"rows\":1000000000"),
        ("\"range\":", "\"range\":1"),
        ("\"until\":1", "\"until\":2"),
        ("\"sum\":", "\"sum\":9"),
        ("\"scale\":2", "\"scale\":4"),
    ] {
        let fleet = Fleet::start(3);
        fleet.mode(2, Mode::Spoils(spoils.0, spoils.1));
        let body = json!({"op": "rank", "limit": 3});
        let json = fleet.ask_until("passages", &body, |json| json["whole"] == true);
        checker::check(&asked("rank", false, 3, 0.5), &json, &fleet.data()).unwrap();
        until("a value that is refused", || {
            checked(&fleet.ask("passages", &body));
            fleet.count(|c| &c.values_invalid) > 0
        });
        fleet.counted_once();
    }
}

/// A row larger than a frame: named by its nodes, or sent all the same. The client is told, and its connection lives.
#[test]
fn a_row_larger_than_a_frame_is_an_error_and_the_connection_lives() {
    let fleet = Fleet::start(3);
    let mut stream = TcpStream::connect(fleet.desk).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut ask = |set: &str, body: Json| {
        stream.write_all(&post_bytes(&format!("/v1/sets/{set}/query"), &body.to_string())).unwrap();
        read_answer(&mut reader).unwrap()
    };
    (0..4).for_each(|c| fleet.mode(c, Mode::Small));
    let named = ask("accounts", json!({"op": "list"}));
    let (status, _, detail) = problem(&named);
    assert!(status == 502 && detail.contains("is larger than a value may be"), "{detail}");
    (0..4).for_each(|c| fleet.mode(c, Mode::Floods));
    let flooded = ask("accounts", json!({"op": "list", "timeoutMs": 500}));
    assert!([503, 504].contains(&problem(&flooded).0), "{}", flooded.body);
    (0..4).for_each(|c| fleet.mode(c, Mode::Sound));
    until("a sound answer on the same connection", || {
        ask("accounts", json!({"op": "list", "timeoutMs": 500})).status == 200
    });
}

/// A long answer comes in chunks; a client of HTTP/1.0 gets it with a length.
#[test]
fn long_answers_are_streamed() {
    let fleet = Fleet::start(200);
    let body = json!({"op": "list", "limit": 800}).to_string();
    let target = "/v1/sets/passages/query";
    let chunked = exchange(fleet.desk, &post_bytes(target, &body)).unwrap();
    assert_eq!(chunked.header("transfer-encoding"), Some("chunked"));
    assert_eq!(checked(&chunked)["rows"].as_array().unwrap().len(), 800);
    let old = String::from_utf8(post_bytes(target, &body)).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    let plain = exchange(fleet.desk, old.as_bytes()).unwrap();
    assert_eq!((plain.header("transfer-encoding"), plain.body.len()), (None, chunked.body.len()));
}

/// A missing range is bounded by what it said at the last version that was seen, until a holder starts anew.
#[test]
fn what_was_learnt_bounds_a_missing_range_until_a_holder_starts_anew() {
    let fleet = Fleet::start(3);
    let body = json!({"op": "rank", "limit": 3, "timeoutMs": 1500});
    assert_eq!(checked(&fleet.ask("passages", &body))["whole"], true);
    fleet.mode(1, Mode::Dead);
    fleet.mode(2, Mode::Dead);
    let waits = |json: &Json| json["missing"].as_array().is_some_and(|m| m.len() == 1);
    let json = fleet.ask_until("passages", &body, waits);
    assert_eq!(json["missing"][0]["boundedAtVersion"], 1);
    checker::check(&asked("rank", false, 3, 0.5), &json, &fleet.data()).unwrap();
    assert!(fleet.count(|c| &c.range_cache_hits) > 0);
    // A further holder of ranges 1 and 0, in the place of one that is gone, is new: it may have older data.
    let (changes, world) = (fleet.count(|c| &c.endpoint_list_changes), fleet.world.clone());
    let node = DataNode::start(move |part| serve(&world, 1, part));
    fleet.discovery.add(member("s9", 1, node.addr));
    until("the list's change", || fleet.count(|c| &c.endpoint_list_changes) > changes);
    let json = fleet.ask_until("passages", &body, waits);
    assert_eq!((json["missing"][0].get("boundedAtVersion"), &json["certain"]), (None, &0.into()));
}

/// Runs a client that walks through a listing while the data nodes fail after its third page, until a query of it has
/// been turned away; returns what it printed.
fn walk_through_a_refusal(fleet: &Fleet, mut client: std::process::Command) -> Vec<Json> {
    use std::process::Stdio;
    {
        let mut world = fleet.world.lock().unwrap();
        world.fail_from = world.served + 3 * RANGES;
    }
    let turned_away = || fleet.count(|c| &c.queries_failed) + fleet.count(|c| &c.queries_rejected);
    let before = turned_away();
    let child = client.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    until("a query that is turned away", || turned_away() > before);
    fleet.world.lock().unwrap().fail_from = usize::MAX;
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

/// Both clients go on from their last cursor: every row once, in order.
#[test]
fn clients_go_on_from_their_cursor_after_a_refusal() {
    let fleet = Fleet::start(10);
    let address = fleet.desk.to_string();
    let mut tool = std::process::Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
    tool.args(["query", &address, "accounts", "list", "--limit", "6", "--all", "--json", "--timeout", "400"]);
    assert_eq!(keys(&walk_through_a_refusal(&fleet, tool)), all_keys(10));
    if std::process::Command::new("python3").arg("--version").output().is_err() {
        return println!("the client in Python was not run: there is no python3");
    }
    let mut client = std::process::Command::new("python3");
    client.args(["examples/desk_client.py", &address, "accounts", "--limit", "6", "--timeout-ms", "400"]);
    assert_eq!(keys(&walk_through_a_refusal(&fleet, client)), all_keys(10));
    fleet.counted_once();
}

/// The exit status tells whole, partial, refused, failed and a fault of the query apart.
#[test]
fn the_tool_tells_ends_apart() {
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
    fleet.mode(1, Mode::Dead);
    fleet.mode(2, Mode::Dead);
    fleet.ask_until("passages", &json!({"op": "sum", "timeoutMs": 1500}), |json| json["whole"] == false);
    until("a partial answer", || {
        let (status, text) = run("DESK passages sum --timeout 1500");
        status == 2 && text.contains("range 1 no-answer")
    });
    (0..4).for_each(|cell| fleet.mode(cell, Mode::Dead));
    let (status, text) = run("DESK accounts sum --timeout 200 --tries 1");
    assert!(matches!(status, 3 | 4) && text.contains("curlewdeck: "), "{status}: {text}");
}

/// Settings and files that cannot be used are named.
#[test]
fn a_bad_section_is_named() {
    let info = curlewdeck::config::Config::read(
        &TestCluster::default().config("127.0.0.1:1".parse().unwrap()),
        |_| None,
    );
    let info = info.unwrap().deployment;
    for (from, to, why) in [
        ("plaza-ranking", "none", "there is no class 'none'"),
        ("plaza-ranking", "monthly-settle", "has a second step"),
        ("\"accounts\"", "\"passages\"", "an id of its own"),
        ("\"axles\"", "\"fee\"", "a name of its own"),
        ("scale = 2 }, {", "scale = 19 }, {", "at most 18"),
        ("\"accounts\"", "\"a b\"", "cannot stand in a path"),
    ] {
        let edge = curlewdeck::config::Edge::read(&EDGE.replacen(from, to, 1)).unwrap();
        let fault = edge.aggregation.unwrap().check(&info).unwrap_err().to_string();
        assert!(fault.contains(why), "{to}: {fault}");
    }
    // Feature servers give features, not values that can be merged.
    let edge = format!("[nodes]\nprotocol = \"features\"\n{EDGE}");
    let fault = curlewdeck::config::Edge::read(&edge).unwrap().check(&info).unwrap_err().to_string();
    assert!(fault.contains("come in frames"), "{fault}");
}
