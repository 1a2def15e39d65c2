//! The management agent on loopback.

mod harness;

use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harness::stand_in::{DataNode, Discovery, NodeReply};
use harness::{change, member, query, ready, TestCluster};
use rasn::types::ObjectIdentifier;
use rasn_snmp::v2::{GetRequest, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

/// The agent serves the counters as they stand.
#[test]
fn counters_are_served() {
    let node = DataNode::start(|_| NodeReply::Answer(200, 0, "v".to_string()));
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr)]);
    let edge = "[snmp]\nlisten = \"127.0.0.1:0\"\ncommunity = \"public\"\n";
    let coordinator = TestCluster::default().start(discovery.addr, edge);
    ready(&coordinator);
    for _ in 0..3 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0]).unwrap().status, 200);
    }
    let name = ObjectIdentifier::new(vec![1, 3, 6, 1, 4, 1, 32473, 1, 1, 6, 0]).unwrap();
    let variable_bindings = vec![VarBind { name, value: VarBindValue::Unspecified }];
    let pdu = Pdu { request_id: 1, error_status: 0, error_index: 0, variable_bindings };
    let data = Pdus::GetRequest(GetRequest(pdu));
    let asked = rasn::ber::encode(&Message { version: 1.into(), community: b"public".to_vec().into(), data });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    socket.send_to(b"nonsense", coordinator.snmp.unwrap()).unwrap();
    socket.send_to(&asked.unwrap(), coordinator.snmp.unwrap()).unwrap();
    let mut buf = [0; 1500];
    let (size, _) = socket.recv_from(&mut buf).unwrap();
    let Pdus::Response(got) = rasn::ber::decode::<Message<Pdus>>(&buf[..size]).unwrap().data else {
        panic!("no response");
    };
    let text = format!("{:?}", got.0.variable_bindings[0].value);
    assert!(text.contains("Counter64(3)"), "{text}");
    assert_eq!(coordinator.core.counters.answers_complete.load(Ordering::SeqCst), 3);
}

use curlewdeck_snmp::manager::{ManagerError, Reply, Request, Security, Session, Walk};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::usm::User;

/// Asks an agent until it has answered; nothing else is waited for.
fn exchange(
    addr: std::net::SocketAddr,
    session: &mut Session,
    what: &Request,
) -> Result<Reply, ManagerError> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    session.begin();
    loop {
        socket.send_to(&session.write(what, 0).unwrap(), addr).unwrap();
        let mut buf = [0; 65_536];
        let (size, _) = socket.recv_from(&mut buf).unwrap();
        match session.read(&buf[..size], 0)? {
            Reply::Retry | Reply::NotOurs => {}
            bindings => return Ok(bindings),
        }
    }
}

fn walk(addr: std::net::SocketAddr, session: &mut Session) -> Vec<(Vec<u32>, Value)> {
    let (mut walk, mut met) = (Walk::new(curlewdeck::mib::ROOT.to_vec(), 20), Vec::new());
    while let Some(what) = walk.next_request() {
        let Reply::Bindings(bindings) = exchange(addr, session, &what).unwrap() else {
            panic!("no bindings")
        };
        met.extend(walk.handle_answer(bindings).unwrap());
    }
    met
}

/// A manager walks the MIB in both versions: every figure is that of the program's own books, class by class, outcome
/// by outcome, node by node; and those are what the stand-ins counted (see `books.rs`).
#[test]
fn a_walk_gives_the_figures_of_the_books() {
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
    ready(&coordinator);
    for class in ["tag-lookup", "plaza-ranking", "plaza-ranking"] {
        query(coordinator.listen, class, &[0, 3]).unwrap();
    }
    harness::until("all attempts have ended", || {
        coordinator.ledger_snapshot().is_some_and(|b| b.attempts.in_flight() == 0)
    });
    let agent = coordinator.snmp.unwrap();
    let mut noc = Session::new(Security::User(User::read_all(&users).unwrap().remove(0)), 1, 7);
    let met = walk(agent, &mut noc);
    let (books, counters) = (coordinator.ledger_snapshot().unwrap(), &coordinator.core.counters);
    let expected = curlewdeck::mib::objects(counters, &books, 0, None);
    // What goes on while one looks: time, and what counts this very walk or the list's beat.
    let module = curlewdeck::mib::module();
    let moves = |oid: &[u32]| {
        let name = module.object_of(oid).map_or(String::new(), |o| o.0);
        name.contains("Since")
            || name.contains("Discontinuity")
            || name.starts_with("cdSnmp")
            || name == "cdProbes"
    };
    let figures = |all: &[(Vec<u32>, Value)]| -> Vec<(Vec<u32>, Value)> {
        let own = all.iter().filter(|o| o.0.starts_with(&curlewdeck::mib::ROOT) && !moves(&o.0));
        let mut own: Vec<_> = own.cloned().collect();
        own.sort_by(|a, b| a.0.cmp(&b.0));
        own
    };
    assert_eq!(figures(&met), figures(&expected));
    assert!(met.len() > 100 && met.windows(2).all(|w| w[0].0 < w[1].0));
    // The manager of the command line gives the same, by the MIB's names.
    let tool = |words: &str| {
        let words = words.replace("AGENT", &agent.to_string()).replace("FILE", file.to_str().unwrap());
        let program = env!("CARGO_BIN_EXE_curlewdeck");
        let output = std::process::Command::new(program).arg("snmp").args(words.split(' ')).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.success(), text(output.stdout) + &text(output.stderr))
    };
    let (good, text) = tool("table AGENT cdClassTable --users FILE --user noc");
    assert!(good && text.contains("cdClassWorthEarned") && text.contains("plaza-ranking"), "{text}");
    let (good, text) = tool("walk AGENT cdNode --users FILE --user noc");
    assert!(good && text.contains("cdNodePhase.1 = in"), "{text}");
    let (good, text) = tool("get AGENT cdQueriesTaken --community public --json");
    assert!(good && text.contains(r#""value":"3""#), "{text}");
    let (good, text) = tool("walk AGENT cdNode --community public");
    assert!(!good && text.contains("nothing is served below"), "{text}");
    let (good, text) = tool("get AGENT cdQueriesTaken --community private --timeout 50 --tries 2");
    assert!(!good && text.contains("no answer in 2 tries"), "{text}");
    // The community's view hides the tables, and an unknown user is told so.
    let public = walk(agent, &mut Session::new(Security::Community("public".into()), 1, 7));
    assert!(public.len() > 30 && public.iter().all(|o| !o.0.starts_with(&[1, 3, 6, 1, 4, 1, 32473, 1, 3])));
    let stranger = users.replace("noc", "eve");
    let mut eve = Session::new(Security::User(User::read_all(&stranger).unwrap().remove(0)), 1, 7);
    let refused = exchange(agent, &mut eve, &Request::Get(vec![vec![1, 3]])).unwrap_err();
    assert!(refused.to_string().contains("does not know this user"), "{refused}");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Sections that cannot be used are named.
#[test]
fn a_bad_section_is_named() {
    let fault = |lines: &str| {
        let edge = format!("[snmp]\nlisten = \"127.0.0.1:0\"\n{lines}\n");
        let config = curlewdeck::config::Edge::read(&edge).unwrap().snmp.unwrap();
        let agent = curlewdeck::snmp::agent(&config, &curlewdeck::limits::Limits::default(), None);
        agent.err().map(|error| error.to_string()).unwrap_or_default()
    };
    assert!(fault("").contains("nobody may ask"));
    assert!(fault("community = \"c\"\nengine_id = \"80\"").contains("5 to 32 bytes"));
    assert!(fault("community = \"c\"\nusers = \"/nowhere\"").contains("/nowhere"));
    assert!(fault("community = \"c\"\n[[snmp.views]]\nof = \"d\"").contains("view is of 'd'"));
    assert!(
        fault("community = \"c\"\n[[snmp.views]]\nof = \"c\"\ninclude = [\"x\"]").contains("'x' is no name")
    );
    assert_eq!(fault("community = \"c\""), "");
}

/// Who is told hears of the start, of a drain and a loss, and of a wrong secret, each with its objects; an inform comes
/// again until it is answered.
#[test]
fn what_happens_is_told() {
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
    ready(&coordinator);
    let module = curlewdeck::mib::module();
    let mut buf = [0; 2048];
    // The next notification that is not one that was heard already, with its first object; `answered`: or not.
    let mut next = |answered: bool| {
        let (size, from) = listener.recv_from(&mut buf).unwrap();
        let (oid, objects, answer) = curlewdeck_snmp::notify::receive(&buf[..size]).unwrap();
        if answered {
            listener.send_to(&answer.unwrap(), from).unwrap();
        }
        (module.notification_of(&oid).unwrap().name, objects.get(1).cloned())
    };
    assert_eq!(next(false).0, "cdStarted");
    assert_eq!(next(true).0, "cdStarted", "not answered, so it comes again");
    change(&coordinator, &discovery, "b", "draining");
    let (name, object) = next(true);
    assert_eq!((name, object.unwrap().1), ("cdNodeDraining", Value::Text(b"b".to_vec())));
    change(&coordinator, &discovery, "b", "removed");
    assert_eq!(next(true).0, "cdNodeLost");
    let wrong = users.replace("1b", "1c");
    let mut eve = Session::new(Security::User(User::read_all(&wrong).unwrap().remove(0)), 1, 7);
    let agent = coordinator.snmp.unwrap();
    assert!(exchange(agent, &mut eve, &Request::Get(vec![vec![1, 3]]))
        .unwrap_err()
        .to_string()
        .contains("digest"));
    let (name, object) = next(true);
    assert_eq!((name, object.unwrap().1), ("cdSecurityFailure", Value::Counter64(1)));
    std::fs::remove_dir_all(&folder).unwrap();
}
