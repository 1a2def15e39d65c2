//! Feature queries on loopback against stand-in feature servers: OGC API conformance requests, server failures between
//! pages, and exactly one final answer for each query.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};

use curlewdeck::startup::Coordinator;
use harness::stand_in::{
    feature_store_reply, get, send_request, Answer, Discovery, FeatureQuery, FeatureReply, FeatureServer,
};
use harness::{member, set_member_state, wait_until, wait_until_healthy, TestCluster};
use serde_json::Value as Json;

const EDGE: &str = r#"
[nodes]
protocol = "features"
[ogc]
listen = "127.0.0.1:0"
[[ogc.collections]]
id = "plazas"
title = "Plazas"
class = "tag-lookup"
bbox = [26.0, 36.0, 45.0, 42.0]
[[ogc.collections]]
id = "segments"
title = "Road segments"
class = "plaza-ranking"
"#;
const FEATURES_PER_RANGE: usize = 5;

fn start(cluster: &TestCluster, servers: &[&FeatureServer]) -> (Coordinator, Discovery, SocketAddr) {
    let members =
        servers.iter().zip(0..).map(|(s, cell)| member(&format!("f{cell}"), cell, s.addr)).collect();
    let discovery = Discovery::start("127.0.0.1:0", members);
    let coordinator = cluster.start(discovery.addr, EDGE);
    wait_until_healthy(&coordinator);
    wait_until("the watch", || discovery.watch_requests() > 0);
    let ogc = coordinator.features.unwrap();
    (coordinator, discovery, ogc)
}

fn healthy_server() -> FeatureServer {
    FeatureServer::start(|q| feature_store_reply(q, FEATURES_PER_RANGE, 2))
}

fn json(answer: &Answer) -> Json {
    serde_json::from_str(&answer.body).unwrap_or_else(|e| panic!("{e}: {}", answer.body))
}

fn href(body: &Json, rel: &str) -> Option<String> {
    let link = body["links"].as_array()?.iter().find(|l| l["rel"] == rel)?;
    Some(link["href"].as_str()?.strip_prefix("http://edge")?.to_string())
}

fn feature_ids(body: &Json) -> Vec<String> {
    body["features"].as_array().unwrap().iter().map(|f| f["id"].as_str().unwrap().to_string()).collect()
}

fn all_feature_ids() -> Vec<String> {
    (0..4).flat_map(|r| (0..FEATURES_PER_RANGE).map(move |n| format!("{r}-{n}"))).collect()
}

/// Replays requests of the abstract test suite of OGC API - Features Part 1 (core and geojson).
#[test]
fn answers_conform_to_ogc_api_features_core_and_geojson() {
    let (a, b) = (healthy_server(), healthy_server());
    let (_coordinator, _discovery, ogc) = start(&TestCluster::default(), &[&a, &b]);
    let landing = get(ogc, "/").unwrap();
    assert_eq!((landing.status, landing.header("content-type")), (200, Some("application/json")));
    let landing = json(&landing);
    for rel in ["service-desc", "conformance", "data"] {
        let answer = get(ogc, &href(&landing, rel).unwrap()).unwrap();
        assert_eq!(answer.status, 200, "{rel}");
    }
    let api = get(ogc, "/api").unwrap();
    assert_eq!(api.header("content-type"), Some("application/vnd.oai.openapi+json;version=3.0"));
    assert!(json(&api)["paths"]["/collections/plazas/items"]["get"].is_object());
    let classes = json(&get(ogc, "/conformance").unwrap());
    let claimed = classes["conformsTo"].as_array().unwrap();
    assert!(claimed.iter().all(|c| c.as_str().unwrap().contains("/ogcapi-features-1/1.0/conf/")));
    let collections = json(&get(ogc, "/collections").unwrap());
    for collection in collections["collections"].as_array().unwrap() {
        let id = collection["id"].as_str().unwrap();
        let own = json(&get(ogc, &format!("/collections/{id}")).unwrap());
        assert_eq!(&own, collection);
        let items = get(ogc, &href(&own, "items").unwrap()).unwrap();
        assert_eq!((items.status, items.header("content-type")), (200, Some("application/geo+json")));
        let items = json(&items);
        assert_eq!(items["type"], "FeatureCollection");
        assert_eq!(items["numberReturned"], items["features"].as_array().unwrap().len());
        assert!(items["timeStamp"].is_string() && href(&items, "self").is_some());
        let id = items["features"][0]["id"].as_str().unwrap().to_string();
        let one = get(ogc, &format!("{}/{id}", href(&own, "items").unwrap())).unwrap();
        assert_eq!((one.status, one.header("content-type")), (200, Some("application/geo+json")));
        assert_eq!(json(&one), items["features"][0]);
        assert!(one.header("link").is_some_and(|l| l.contains("rel=\"collection\"")));
    }
    assert_eq!(
        json(&get(ogc, "/collections").unwrap())["collections"][0]["extent"]["spatial"]["bbox"][0][0],
        26.0
    );
}

#[test]
fn bad_requests_get_problem_json() {
    let (a, b) = (healthy_server(), healthy_server());
    let (_coordinator, _discovery, ogc) = start(&TestCluster::default(), &[&a, &b]);
    for (target, status) in [
        ("/collections/plazas/items?bbox=1,2,3", 400),
        ("/collections/plazas/items?bbox=1,9,3,4", 400),
        ("/collections/plazas/items?datetime=yesterday", 400),
        ("/collections/plazas/items?limit=0", 400),
        ("/collections/plazas/items?limit=many", 400),
        ("/collections/plazas/items?limit=1&limit=2", 400),
        ("/collections/plazas/items?cursor=99.0", 400),
        ("/collections/plazas/items?colour=red", 400),
        ("/collections/plazas/items?bbox=%zz", 400),
        ("/collections?colour=red", 400),
        ("/collections/nowhere", 404),
        ("/collections/nowhere/items", 404),
        ("/collections/plazas/items/0-99", 404),
        ("/nowhere", 404),
    ] {
        let answer = get(ogc, target).unwrap();
        assert_eq!(answer.status, status, "{target}");
        assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{target}");
        assert_eq!(json(&answer)["status"], status);
    }
    let post = send_request(ogc, b"POST /collections HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!((post.status, post.header("allow")), (405, Some("GET, HEAD")));
    let malformed = send_request(ogc, b"nonsense\r\n\r\n").unwrap();
    assert_eq!((malformed.status, malformed.header("content-type")), (400, Some("application/problem+json")));
}

/// A bounding box over all tag ranges is passed unchanged to the server of each range, and following the `next` links
/// returns each feature once although the servers have pages of their own.
#[test]
fn paging_over_all_ranges_returns_each_feature_once() {
    let (a, b) = (healthy_server(), healthy_server());
    let (_coordinator, _discovery, ogc) = start(&TestCluster::default(), &[&a, &b]);
    let mut target = "/collections/plazas/items?bbox=-180,-90,180,90&limit=3".to_string();
    let mut got = Vec::new();
    loop {
        let body = json(&get(ogc, &target).unwrap());
        assert_eq!(
            (&body["complete"], &body["missingRanges"]),
            (&Json::Bool(true), &Json::Array(Vec::new()))
        );
        got.extend(feature_ids(&body));
        match href(&body, "next") {
            Some(next) => target = next,
            None => break,
        }
        assert!(got.len() <= 20, "more features than the servers hold");
    }
    assert_eq!(got, all_feature_ids());
    let asked: Vec<FeatureQuery> = a.queries().into_iter().chain(b.queries()).collect();
    let ranges: BTreeSet<usize> = asked.iter().filter_map(|q| q.number_parameter("tag_range")).collect();
    assert_eq!(ranges, (0..4).collect());
    let first = asked.iter().filter(|q| q.parameters.contains_key("bbox"));
    assert!(first.clone().count() > 0 && first.clone().all(|q| q.parameters["bbox"] == "-180,-90,180,90"));
}

/// A server sends its first page and stalls on the next: the first page is discarded, and another replica serves the
/// complete range.
#[test]
fn a_server_stalled_between_pages_is_replaced_by_another_replica() {
    let stalled = Arc::new(AtomicBool::new(false));
    let stalled_in_server = stalled.clone();
    let bad = FeatureServer::start(move |q| {
        if q.number_parameter("offset").unwrap_or(0) > 0 {
            stalled_in_server.store(true, Ordering::SeqCst);
            return FeatureReply::Stall;
        }
        feature_store_reply(q, FEATURES_PER_RANGE, 2)
    });
    let good = healthy_server();
    let (coordinator, _discovery, ogc) = start(&TestCluster::default(), &[&bad, &good]);
    wait_until("a stall", || {
        let body = json(&get(ogc, "/collections/plazas/items?limit=100").unwrap());
        assert_eq!((feature_ids(&body), &body["complete"]), (all_feature_ids(), &Json::Bool(true)));
        stalled.load(Ordering::SeqCst)
    });
    let counters = &coordinator.core.counters;
    let taken = counters.queries_accepted.load(Ordering::SeqCst);
    assert_eq!(counters.answers_complete.load(Ordering::SeqCst), taken);
}

/// A server starts to drain between two pages. A request for the second page would be new work, so it is not sent;
/// another replica serves the complete range.
#[test]
fn a_server_drained_between_pages_is_not_asked_for_the_next() {
    let (page_requested, first_request) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    let (page_requested, released) = (Mutex::new(page_requested), Mutex::new(released));
    let draining = FeatureServer::start(move |q| {
        if q.number_parameter("offset").is_none() && q.target.contains("/items?") {
            let _ = page_requested.lock().unwrap().send(());
            // Returns an error once the test has dropped the sender.
            let _ = released.lock().unwrap().recv();
        }
        feature_store_reply(q, FEATURES_PER_RANGE, 2)
    });
    let good = healthy_server();
    let (coordinator, discovery, ogc) = start(&TestCluster::default(), &[&draining, &good]);
    let answer = std::thread::spawn(move || get(ogc, "/collections/plazas/items?limit=100").unwrap());
    first_request.recv().unwrap();
    set_member_state(&coordinator, &discovery, "f0", "draining");
    drop(release);
    let body = json(&answer.join().unwrap());
    assert_eq!((feature_ids(&body), &body["complete"]), (all_feature_ids(), &Json::Bool(true)));
    let is_first_page = |q: &FeatureQuery| q.number_parameter("offset").is_none();
    assert!(draining.queries().iter().all(is_first_page), "a page was requested after the drain");
}

/// One of two servers fails: answers list the ranges that are missing, and a request for a feature that may lie in one
/// of them fails with 504, not with 404.
#[test]
fn partial_answers_list_missing_ranges() {
    // This server holds only the even ranges.
    let good = FeatureServer::start(|q| match q.last_path_segment().split_once('-') {
        Some(("1" | "3", _)) => FeatureReply::Body(404, "{}".to_string()),
        _ => feature_store_reply(q, FEATURES_PER_RANGE, 2),
    });
    let bad = FeatureServer::start(|_| FeatureReply::Body(500, "{}".to_string()));
    let cluster = TestCluster { replicas: 1, ..TestCluster::default() };
    let (coordinator, _discovery, ogc) = start(&cluster, &[&good, &bad]);
    let body = json(&get(ogc, "/collections/segments/items?limit=100").unwrap());
    assert_eq!((&body["complete"], &body["missingRanges"]), (&Json::Bool(false), &serde_json::json!([1, 3])));
    assert!(feature_ids(&body).iter().all(|id| id.starts_with("0-") || id.starts_with("2-")));
    assert_eq!(get(ogc, "/collections/segments/items/0-1").unwrap().status, 200);
    assert_eq!(get(ogc, "/collections/segments/items/1-1").unwrap().status, 504);
    // A class that requires all ranges gets no partial answer.
    assert!(matches!(get(ogc, "/collections/plazas/items").unwrap().status, 503 | 504));
    assert!(coordinator.core.counters.answers_partial.load(Ordering::SeqCst) >= 3);
}

/// Servers close connections, send errors and send malformed JSON: each query still ends with exactly one answer, and
/// the counters agree.
#[test]
fn every_query_ends_with_exactly_one_answer() {
    let turn = Arc::new(AtomicUsize::new(0));
    let faulty = move |q: &FeatureQuery| match turn.fetch_add(1, Ordering::SeqCst) % 7 {
        0 => FeatureReply::Close,
        1 => FeatureReply::Body(500, String::new()),
        2 => FeatureReply::Body(200, "no json".to_string()),
        3 => FeatureReply::Body(503, String::new()),
        _ => feature_store_reply(q, FEATURES_PER_RANGE, 2),
    };
    let (a, b) = (FeatureServer::start(faulty.clone()), FeatureServer::start(faulty));
    let (coordinator, _discovery, ogc) =
        start(&TestCluster { deadline_s: 5, ..TestCluster::default() }, &[&a, &b]);
    const CLIENTS: usize = 8;
    const QUERIES_PER_CLIENT: usize = 5;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            std::thread::spawn(move || {
                let target = ["/collections/plazas/items?limit=9", "/collections/segments/items/2-1"][n % 2];
                (0..QUERIES_PER_CLIENT).map(|_| get(ogc, target).unwrap().status).collect::<Vec<_>>()
            })
        })
        .collect();
    let statuses: Vec<u16> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    assert_eq!(statuses.len(), CLIENTS * QUERIES_PER_CLIENT);
    assert!(statuses.iter().all(|s| matches!(s, 200 | 404 | 503 | 504)), "{statuses:?}");
    let c = &coordinator.core.counters;
    let ends = [
        &c.answers_complete,
        &c.answers_partial,
        &c.queries_rejected,
        &c.queries_failed,
        &c.queries_over_limit,
    ];
    let ended: u64 = ends.iter().map(|c| c.load(Ordering::SeqCst)).sum();
    assert_eq!(ended, (CLIENTS * QUERIES_PER_CLIENT) as u64);
}

/// The features frontend also queries data nodes with the frame protocol; the text of each part is the request's
/// target.
#[test]
fn data_nodes_with_the_frame_protocol_serve_features() {
    use harness::stand_in::{feature, DataNode, NodeReply};
    let node = || {
        DataNode::start(|part| NodeReply::Answer(200, 0, format!("[{}]", feature(part.shard as usize, 0))))
    };
    let (a, b) = (node(), node());
    let members = vec![member("a", 0, a.addr), member("b", 1, b.addr)];
    let discovery = Discovery::start("127.0.0.1:0", members);
    let edge = EDGE.replace("\"features\"", "\"frames\"");
    let coordinator = TestCluster::default().start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    let body = json(&get(coordinator.features.unwrap(), "/collections/plazas/items").unwrap());
    assert_eq!(feature_ids(&body), ["0-0", "1-0", "2-0", "3-0"]);
    let texts: BTreeSet<String> =
        a.received_parts().into_iter().chain(b.received_parts()).map(|p| p.text).collect();
    assert_eq!(texts.into_iter().collect::<Vec<_>>(), ["/collections/plazas/items?limit=10&cursor=0.0"]);
}

#[test]
fn invalid_edge_settings_are_rejected() {
    use curlewdeck::config::EdgeConfig;
    assert!(EdgeConfig::read("[ogc]\nlisten = 5\ncollections = []").is_err());
    assert!(EdgeConfig::read("[gco]").is_err());
    assert!(EdgeConfig::read(include_str!("../deploy/edge.toml")).unwrap().features.is_none());
    let config = curlewdeck::config::Config::read(
        &TestCluster::default().config("127.0.0.1:1".parse().unwrap()),
        |_| None,
    );
    let edge = EDGE.replace("plaza-ranking", "monthly-settle");
    let started = curlewdeck::startup::start(config.unwrap(), EdgeConfig::read(&edge).unwrap());
    assert!(started.err().unwrap().to_string().contains("second step"));
}

/// Serves features in the order of their ids, starting after the id in `behind`, from data that the test changes.
/// Answers with 500 while `failing` is set.
fn server_ordered_by_id(
    data: &Arc<Mutex<Vec<BTreeSet<String>>>>,
    failing: &Arc<AtomicBool>,
) -> FeatureServer {
    let (data, failing) = (data.clone(), failing.clone());
    FeatureServer::start(move |q| {
        if failing.load(Ordering::SeqCst) {
            return FeatureReply::Body(500, "{}".to_string());
        }
        let (range, limit) =
            (q.number_parameter("tag_range").unwrap_or(0), q.number_parameter("limit").unwrap_or(10));
        let behind = q.parameters.get("behind").cloned().unwrap_or_default();
        let data = data.lock().unwrap();
        let ids = data[range].iter().filter(|id| **id > behind).take(limit);
        let features: Vec<String> = ids.map(|id| format!(r#"{{"type":"Feature","id":"{id}"}}"#)).collect();
        FeatureReply::Body(
            200,
            format!(r#"{{"type":"FeatureCollection","features":[{}]}}"#, features.join(",")),
        )
    })
}

/// Where servers order features by id, a page continues after the last id. No feature is repeated or skipped while
/// features are added and removed and servers fail between pages; a later page returns the features of a range that was
/// missing.
#[test]
fn paging_by_id_neither_repeats_nor_skips_features() {
    let initial_ids = |range: usize| (0..9).map(|n| format!("f{n}-{range}")).collect::<BTreeSet<String>>();
    let data = Arc::new(Mutex::new((0..4).map(initial_ids).collect::<Vec<_>>()));
    let failing = [Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false))];
    let servers = [server_ordered_by_id(&data, &failing[0]), server_ordered_by_id(&data, &failing[1])];
    let members = (0..).zip(&servers).map(|(cell, s)| member(&format!("f{cell}"), cell, s.addr)).collect();
    let discovery = Discovery::start("127.0.0.1:0", members);
    let edge = EDGE.replace("[ogc]", "after_parameter = \"behind\"\n[ogc]\nby_id = true");
    // Each range is held by one server.
    let coordinator = TestCluster { replicas: 1, ..TestCluster::default() }.start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    let ogc = coordinator.features.unwrap();
    let mut target = "/collections/segments/items?limit=5".to_string();
    let (mut got, mut removed, mut partial_pages) = (Vec::new(), BTreeSet::new(), 0);
    for page in 0..100 {
        // On one page in four, one of the two servers fails and half of the ranges are missing.
        let failed = (page % 4 == 1).then_some(page / 4 % 2);
        (0..2).for_each(|n| failing[n].store(failed == Some(n), Ordering::SeqCst));
        let mut body = Json::Null;
        wait_until("a page with the expected missing ranges", || {
            let answer = get(ogc, &target).unwrap();
            body = if answer.status == 200 { json(&answer) } else { Json::Null };
            body["missingRanges"].as_array().is_some_and(|m| m.len() == if failed.is_some() { 2 } else { 0 })
        });
        partial_pages += usize::from(failed.is_some());
        got.extend(feature_ids(&body));
        {
            let mut data = data.lock().unwrap();
            let range = page % 4;
            data[range].insert(format!("f{}-{range}-new{page}", page % 9));
            let first = data[range].iter().nth(page % 7).cloned().unwrap();
            data[range].remove(&first);
            removed.insert(first);
        }
        match href(&body, "next") {
            Some(next) => target = next,
            None => break,
        }
    }
    let unique: BTreeSet<&String> = got.iter().collect();
    assert_eq!(unique.len(), got.len(), "a feature was returned twice: {got:?}");
    let kept: Vec<String> = (0..4).flat_map(initial_ids).filter(|id| !removed.contains(id)).collect();
    assert!(kept.iter().all(|id| unique.contains(id)), "{got:?}");
    assert!(partial_pages >= 2, "only {partial_pages} pages had missing ranges");
    // A cursor is valid only for its collection and filter, and an altered cursor is rejected.
    let first = json(&get(ogc, "/collections/segments/items?limit=5").unwrap());
    let cursor = href(&first, "next").unwrap().split_once("cursor=").unwrap().1.to_string();
    for target in [
        format!("/collections/plazas/items?cursor={cursor}"),
        format!("/collections/segments/items?bbox=1,2,3,4&cursor={cursor}"),
        format!("/collections/segments/items?cursor=A{cursor}"),
        "/collections/segments/items?cursor=1.2".to_string(),
    ] {
        let answer = get(ogc, &target).unwrap();
        assert!(answer.status == 400 && answer.body.contains("cursor: it"), "{target}: {}", answer.body);
    }
}

/// An answer whose features are not in the order of their ids is rejected, and the part is sent to another replica.
#[test]
fn features_out_of_order_are_rejected() {
    let (data, never_failing) =
        (Arc::new(Mutex::new(vec![BTreeSet::from(["a".to_string()]); 4])), Arc::default());
    let (good, bad) = (
        server_ordered_by_id(&data, &never_failing),
        FeatureServer::start(|_| {
            let feature = |id| format!(r#"{{"type":"Feature","id":"{id}"}}"#);
            let features = format!("{},{}", feature("b"), feature("a"));
            FeatureReply::Body(200, format!(r#"{{"type":"FeatureCollection","features":[{features}]}}"#))
        }),
    );
    let members = vec![member("good", 0, good.addr), member("bad", 1, bad.addr)];
    let discovery = Discovery::start("127.0.0.1:0", members);
    let edge = EDGE.replace("[ogc]", "after_parameter = \"behind\"\n[ogc]\nby_id = true");
    let coordinator = TestCluster::default().start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    let invalid_values = || coordinator.core.counters.values_invalid.load(Ordering::SeqCst);
    wait_until("an invalid value", || {
        let body = json(&get(coordinator.features.unwrap(), "/collections/plazas/items").unwrap());
        assert_eq!((feature_ids(&body), &body["complete"]), (vec!["a".to_string()], &Json::Bool(true)));
        invalid_values() > 0
    });
}
