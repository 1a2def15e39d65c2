//! Tests of the SNMP agent on loopback: counters, walks, views and notifications.

mod harness;

use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harness::stand_in::{DataNode, Discovery, NodeReply};
use harness::{member, query, set_member_state, wait_until_healthy, TestCluster};
use rasn::types::ObjectIdentifier;
use rasn_snmp::v2::{GetRequest, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

/// The agent answers a GetRequest with the current value of a counter, even after an invalid datagram.
#[test]
fn a_get_request_returns_the_current_counter() {
    let node = DataNode::start(|_| NodeReply::Answer(200, 0, "v".to_string()));
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr)]);
    let edge = "[snmp]\nlisten = \"127.0.0.1:0\"\ncommunity = \"public\"\n";
    let coordinator = TestCluster::default().start(discovery.addr, edge);
    wait_until_healthy(&coordinator);
    for _ in 0..3 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0]).unwrap().status, 200);
    }
    let name = ObjectIdentifier::new(vec![1, 3, 6, 1, 4, 1, 32473, 1, 1, 6, 0]).unwrap();
    let variable_bindings = vec![VarBind { name, value: VarBindValue::Unspecified }];
    let pdu = Pdu { request_id: 1, error_status: 0, error_index: 0, variable_bindings };
    let data = Pdus::GetRequest(GetRequest(pdu));
    let request =
        rasn::ber::encode(&Message { version: 1.into(), community: b"public".to_vec().into(), data });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    socket.send_to(b"nonsense", coordinator.snmp.unwrap()).unwrap();
    socket.send_to(&request.unwrap(), coordinator.snmp.unwrap()).unwrap();
    let mut buf = [0; 1500];
    let (size, _) = socket.recv_from(&mut buf).unwrap();
    let Pdus::Response(response) = rasn::ber::decode::<Message<Pdus>>(&buf[..size]).unwrap().data else {
        panic!("no response");
    };
    let text = format!("{:?}", response.0.variable_bindings[0].value);
    assert!(text.contains("Counter64(3)"), "{text}");
    assert_eq!(coordinator.core.counters.answers_complete.load(Ordering::SeqCst), 3);
}

use curlewdeck_snmp::manager::{ManagerError, Reply, Request, Security, Session, Walk};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::usm::User;

/// Sends a request repeatedly until the agent has answered it.
fn exchange(
    addr: std::net::SocketAddr,
    session: &mut Session,
    request: &Request,
) -> Result<Reply, ManagerError> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    session.begin_request();
    loop {
        socket.send_to(&session.encode_request(request, 0).unwrap(), addr).unwrap();
        let mut buf = [0; 65_536];
        let (size, _) = socket.recv_from(&mut buf).unwrap();
        match session.decode_reply(&buf[..size], 0)? {
            Reply::Retry | Reply::OtherRequest => {}
            bindings => return Ok(bindings),
        }
    }
}

fn walk(addr: std::net::SocketAddr, session: &mut Session) -> Vec<(Vec<u32>, Value)> {
    let (mut walk, mut objects) = (Walk::new(curlewdeck::mib::ROOT.to_vec(), 20), Vec::new());
    while let Some(request) = walk.next_request() {
        let Reply::Bindings(bindings) = exchange(addr, session, &request).unwrap() else {
            panic!("no bindings")
        };
        objects.extend(walk.handle_answer(bindings).unwrap());
    }
    objects
}

/// Walks the MIB with SNMPv3: for each class, outcome and data node the values equal those of the request ledger, which
/// `request_ledger.rs` compares with the counts of the stand-ins. A walk with the community omits the excluded tables.
#[test]
fn a_walk_returns_the_values_of_the_ledger() {
    use std::os::unix::fs::PermissionsExt;
    let folder = std::env::temp_dir().join(format!("curlewdeck-snmp-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("users");
    let users = format!("noc auth key:{} priv key:{}\n", "1b".repeat(32), "2c".repeat(32));
    std::fs::write(&file, &users).unwrap();
    std::fs::set_permissions(&file, PermissionsExt::from_mode(0o600)).unwrap();
    let node =
        DataNode::start(|part| NodeReply::Answer(if part.shard == 3 { 500 } else { 200 }, 0, "v".into()));
    let discovery =
        Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr), member("b", 1, node.addr)]);
    let edge = format!(
        "[snmp]\nlisten = \"127.0.0.1:0\"\ncommunity = \"public\"\nusers = {file:?}\n\
        [[snmp.views]]\nof = \"public\"\nexclude = [\"1.3.6.1.4.1.32473.1.3\"]\n"
    );
    let coordinator = TestCluster::default().start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    for class in ["tag-lookup", "plaza-ranking", "plaza-ranking"] {
        query(coordinator.listen, class, &[0, 3]).unwrap();
    }
    harness::wait_until("all attempts to end", || {
        coordinator.ledger_snapshot().is_some_and(|ledger| ledger.attempts.in_flight() == 0)
    });
    let agent = coordinator.snmp.unwrap();
    let mut noc = Session::new(Security::User(User::parse_file(&users).unwrap().remove(0)), 1, 7);
    let walked = walk(agent, &mut noc);
    let (ledger, counters) = (coordinator.ledger_snapshot().unwrap(), &coordinator.core.counters);
    let expected = curlewdeck::mib::objects(counters, &ledger, 0, None);
    // These objects change during the walk: times, counters of SNMP requests, and health checks.
    let module = curlewdeck::mib::module();
    let changes_during_walk = |oid: &[u32]| {
        let name = module.object_by_oid(oid).map_or(String::new(), |o| o.0);
        name.contains("Since")
            || name.contains("Discontinuity")
            || name.starts_with("cdSnmp")
            || name == "cdProbes"
    };
    let compared_objects = |all: &[(Vec<u32>, Value)]| -> Vec<(Vec<u32>, Value)> {
        let stable =
            all.iter().filter(|o| o.0.starts_with(&curlewdeck::mib::ROOT) && !changes_during_walk(&o.0));
        let mut sorted: Vec<_> = stable.cloned().collect();
        sorted.sort_by(|a, b| a.0.cmp(&b.0));
        sorted
    };
    assert_eq!(compared_objects(&walked), compared_objects(&expected));
    assert!(walked.len() > 100 && walked.windows(2).all(|w| w[0].0 < w[1].0));
    // The command-line manager returns the same values under the names of the MIB.
    let run_manager = |arguments: &str| {
        let arguments =
            arguments.replace("AGENT", &agent.to_string()).replace("FILE", file.to_str().unwrap());
        let program = env!("CARGO_BIN_EXE_curlewdeck");
        let output =
            std::process::Command::new(program).arg("snmp").args(arguments.split(' ')).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.success(), text(output.stdout) + &text(output.stderr))
    };
    let (succeeded, text) = run_manager("table AGENT cdClassTable --users FILE --user noc");
    assert!(succeeded && text.contains("cdClassWorthEarned") && text.contains("plaza-ranking"), "{text}");
    let (succeeded, text) = run_manager("walk AGENT cdNode --users FILE --user noc");
    assert!(succeeded && text.contains("cdNodePhase.1 = in"), "{text}");
    let (succeeded, text) = run_manager("get AGENT cdQueriesTaken --community public --json");
    assert!(succeeded && text.contains(r#""value":"3""#), "{text}");
    let (succeeded, text) = run_manager("walk AGENT cdNode --community public");
    assert!(!succeeded && text.contains("nothing is served below"), "{text}");
    let (succeeded, text) =
        run_manager("get AGENT cdQueriesTaken --community private --timeout 50 --tries 2");
    assert!(!succeeded && text.contains("no answer in 2 tries"), "{text}");
    // The community's view excludes the tables, and an unknown user gets an error.
    let public = walk(agent, &mut Session::new(Security::Community("public".into()), 1, 7));
    assert!(public.len() > 30 && public.iter().all(|o| !o.0.starts_with(&[1, 3, 6, 1, 4, 1, 32473, 1, 3])));
    let unknown_users = users.replace("noc", "eve");
    let mut eve = Session::new(Security::User(User::parse_file(&unknown_users).unwrap().remove(0)), 1, 7);
    let error = exchange(agent, &mut eve, &Request::Get(vec![vec![1, 3]])).unwrap_err();
    assert!(error.to_string().contains("does not know this user"), "{error}");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Errors of the `snmp` section name the invalid setting.
#[test]
fn an_invalid_snmp_section_is_rejected_with_its_cause() {
    let error_of = |lines: &str| {
        let edge = format!("[snmp]\nlisten = \"127.0.0.1:0\"\n{lines}\n");
        let config = curlewdeck::config::EdgeConfig::read(&edge).unwrap().snmp.unwrap();
        let agent = curlewdeck::snmp::build_agent(&config, &curlewdeck::limits::Limits::default(), None);
        agent.err().map(|error| error.to_string()).unwrap_or_default()
    };
    assert!(error_of("").contains("a community or a file of users is required"));
    assert!(error_of("community = \"c\"\nengine_id = \"80\"").contains("5 to 32 bytes"));
    assert!(error_of("community = \"c\"\nusers = \"/nowhere\"").contains("/nowhere"));
    assert!(error_of("community = \"c\"\n[[snmp.views]]\nof = \"d\"").contains("view is of 'd'"));
    assert!(error_of("community = \"c\"\n[[snmp.views]]\nof = \"c\"\ninclude = [\"x\"]")
        .contains("'x' is not an object identifier"));
    assert_eq!(error_of("community = \"c\""), "");
}

/// A notification target gets informs of the start, of a drain, of a lost data node and of a wrong secret, with their
/// objects. An inform is sent again until it is answered.
#[test]
fn notifications_are_sent_and_informs_repeated_until_answered() {
    use std::os::unix::fs::PermissionsExt;
    let listener = UdpSocket::bind("127.0.0.1:0").unwrap();
    listener.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let folder = std::env::temp_dir().join(format!("curlewdeck-notices-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("users");
    let users = format!("noc auth key:{}\n", "1b".repeat(32));
    std::fs::write(&file, &users).unwrap();
    std::fs::set_permissions(&file, PermissionsExt::from_mode(0o600)).unwrap();
    let node = DataNode::start(|_| NodeReply::Answer(200, 0, "v".into()));
    let discovery =
        Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr), member("b", 1, node.addr)]);
    let to = listener.local_addr().unwrap();
    let edge = format!(
        "[snmp]\nlisten = \"127.0.0.1:0\"\nusers = {file:?}\n\
        [[snmp.notify]]\nto = \"{to}\"\ncommunity = \"c\"\ninform = true\n"
    );
    let coordinator = TestCluster::default().start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    let module = curlewdeck::mib::module();
    let mut buf = [0; 2048];
    // Receives an inform, acknowledges it if asked to, and returns its name and its first own object.
    let mut receive = |acknowledge: bool| {
        let (size, from) = listener.recv_from(&mut buf).unwrap();
        let (oid, objects, answer) = curlewdeck_snmp::notify::decode_notification(&buf[..size]).unwrap();
        if acknowledge {
            listener.send_to(&answer.unwrap(), from).unwrap();
        }
        (module.notification_of(&oid).unwrap().name, objects.get(1).cloned())
    };
    assert_eq!(receive(false).0, "cdStarted");
    assert_eq!(receive(true).0, "cdStarted", "an unanswered inform is sent again");
    set_member_state(&coordinator, &discovery, "b", "draining");
    let (name, object) = receive(true);
    assert_eq!((name, object.unwrap().1), ("cdNodeDraining", Value::Text(b"b".to_vec())));
    set_member_state(&coordinator, &discovery, "b", "removed");
    assert_eq!(receive(true).0, "cdNodeLost");
    let wrong_users = users.replace("1b", "1c");
    let mut eve = Session::new(Security::User(User::parse_file(&wrong_users).unwrap().remove(0)), 1, 7);
    let agent = coordinator.snmp.unwrap();
    assert!(exchange(agent, &mut eve, &Request::Get(vec![vec![1, 3]]))
        .unwrap_err()
        .to_string()
        .contains("digest"));
    let (name, object) = receive(true);
    assert_eq!((name, object.unwrap().1), ("cdSecurityFailure", Value::Counter64(1)));
    std::fs::remove_dir_all(&folder).unwrap();
}
