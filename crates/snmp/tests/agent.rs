//! Exchanges between the manager and the agent in both versions: walks, views, security errors and malformed messages.

use curlewdeck_snmp::agent::{Agent, Bounds, Incoming};
use curlewdeck_snmp::manager::{
    counter32_increase, counter_increase, BindingValue, ManagerError, Reply, Request, Security, Session, Walk,
};
use curlewdeck_snmp::tree::{Tree, Value, View};
use curlewdeck_snmp::usm::{Secret, User};
use curlewdeck_snmp::Oid;
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { bindings: 200, bytes: 1400 };
const ENGINE: &[u8] = &[0x80, 0, 0x7e, 0xd9, 5, 1, 2, 3, 4, 5, 6, 7, 8];

fn user(name: &str, auth: &str, privacy: Option<&str>) -> User {
    // Localised keys: key derivation from a passphrase is slow, and has its own test.
    let secret = |text: &str| Secret::Localized(text.bytes().cycle().take(32).collect());
    User { name: name.into(), auth: secret(auth), privacy: privacy.map(secret), view: View::default() }
}

fn tree(n: u32) -> Tree {
    let object = |i: u32| (vec![1, 3, 6, 1, 1 + i / 7, i], Value::Counter64(u64::from(i) << 33));
    Tree::new((0..n).map(object).chain([(vec![1, 3, 7], Value::Text(vec![b'x'; 300]))]).collect())
}

fn agent() -> Agent {
    let mut agent = Agent::new(BOUNDS, ENGINE.to_vec(), 1, vec![vec![1, 3, 6, 1, 1]]);
    agent.set_community("public".into(), View::default());
    agent.add_user(user("noc", "maplesyrup", Some("buckwheat")), 1);
    agent.add_user(user("ro", "longenough", None), 1);
    let view = View { exclude: vec![vec![1, 3, 6, 1, 2]], ..View::default() };
    agent.add_user(User { view, ..user("some", "longenough", None) }, 1);
    agent
}

/// Exchanges a request with the agent; `times` are the agent's and the manager's time in seconds.
fn exchange(
    agent: &mut Agent,
    tree: &Tree,
    session: &mut Session,
    request: &Request,
    times: (u32, u32),
) -> Result<Vec<(Oid, BindingValue)>, ManagerError> {
    session.begin_request();
    for _ in 0..4 {
        let bytes = session.encode_request(request, times.1).unwrap();
        let answer = match agent.read(&bytes, times.0) {
            Incoming::Drop => return Err(ManagerError::Malformed),
            Incoming::Reply(bytes) => bytes,
            Incoming::Request(accepted) => agent.answer(&accepted, tree, times.0).unwrap(),
        };
        assert!(answer.len() <= BOUNDS.bytes, "{} bytes", answer.len());
        match session.decode_reply(&answer, times.1)? {
            Reply::Bindings(bindings) => return Ok(bindings),
            Reply::Retry => {}
            Reply::OtherRequest => panic!("the reply is to another request"),
        }
    }
    panic!("too many retries");
}

fn sessions() -> Vec<Session> {
    let v3 = |user| Session::new(Security::User(user), 1, 7);
    vec![
        Session::new(Security::Community("public".into()), 1, 7),
        v3(user("noc", "maplesyrup", Some("buckwheat"))),
        v3(user("ro", "longenough", None)),
    ]
}

fn walk_objects(
    agent: &mut Agent,
    tree: &Tree,
    session: &mut Session,
    root: &[u32],
    max_repetitions: u32,
) -> Vec<(Oid, Value)> {
    let (mut walk, mut objects) = (Walk::new(root.to_vec(), max_repetitions), Vec::new());
    while let Some(request) = walk.next_request() {
        objects
            .extend(walk.handle_answer(exchange(agent, tree, session, &request, (5, 5)).unwrap()).unwrap());
    }
    objects
}

/// A walk must return every object once and in order, for any number of repetitions and each version. `exchange` checks
/// that no response exceeds the size limit.
#[test]
fn walk_returns_every_object_once_in_order() {
    let (tree, mut agent) = (tree(60), agent());
    for mut session in sessions() {
        for max_repetitions in [1, 3, 20, 100_000, u32::MAX >> 1] {
            assert_eq!(
                walk_objects(&mut agent, &tree, &mut session, &[1, 3], max_repetitions),
                tree.objects()
            );
        }
        let below: Vec<_> =
            tree.objects().iter().filter(|o| o.0.starts_with(&[1, 3, 6, 1, 2])).cloned().collect();
        assert_eq!(walk_objects(&mut agent, &tree, &mut session, &[1, 3, 6, 1, 2], 5), below);
    }
}

#[test]
fn get_and_next_work_in_each_version() {
    let (tree, mut agent) = (tree(9), agent());
    let names = vec![vec![1, 3, 6, 1, 1, 4], vec![1, 3, 6, 1, 1, 99], vec![1, 4, 1]];
    for mut session in sessions() {
        let got = exchange(&mut agent, &tree, &mut session, &Request::Get(names.clone()), (5, 5)).unwrap();
        let got: Vec<BindingValue> = got.into_iter().map(|g| g.1).collect();
        assert_eq!(
            got,
            [
                BindingValue::Value(Value::Counter64(4 << 33)),
                BindingValue::NoInstance,
                BindingValue::NoObject
            ]
        );
        let last =
            exchange(&mut agent, &tree, &mut session, &Request::Next(vec![vec![1, 3, 7]]), (5, 5)).unwrap();
        assert_eq!(last[0].1, BindingValue::End);
        let many = Request::Get(vec![vec![1, 3, 7]; 201]);
        assert_eq!(exchange(&mut agent, &tree, &mut session, &many, (5, 5)), Err(ManagerError::Status(1, 0)));
        // Ten texts of 300 bytes do not fit: the response must be tooBig, not silently truncated.
        let large = Request::Get(vec![vec![1, 3, 7]; 10]);
        assert_eq!(
            exchange(&mut agent, &tree, &mut session, &large, (5, 5)),
            Err(ManagerError::Status(1, 0))
        );
    }
}

#[test]
fn passphrase_is_localised_for_the_engine() {
    let mut agent = Agent::new(BOUNDS, ENGINE.to_vec(), 1, Vec::new());
    let pass = |text: &str| Secret::Passphrase(text.to_string());
    let user = User {
        name: "noc".into(),
        auth: pass("maplesyrup"),
        privacy: Some(pass("buckwheat")),
        view: View::default(),
    };
    agent.add_user(user.clone(), 1);
    let mut session = Session::new(Security::User(user), 1, 7);
    let got =
        exchange(&mut agent, &tree(3), &mut session, &Request::Get(vec![vec![1, 3, 7]]), (5, 5)).unwrap();
    assert_eq!(got[0].1, BindingValue::Value(Value::Text(vec![b'x'; 300])));
}

/// A user whose view excludes a subtree must not get its objects, neither by name nor in a walk.
#[test]
fn excluded_subtree_is_hidden_from_get_and_walk() {
    let (tree, mut agent) = (tree(30), agent());
    let mut session = Session::new(Security::User(user("some", "longenough", None)), 1, 7);
    let objects = walk_objects(&mut agent, &tree, &mut session, &[1, 3], 7);
    assert!(
        objects.iter().all(|o| !o.0.starts_with(&[1, 3, 6, 1, 2]))
            && objects.len() == tree.objects().len() - 7
    );
    let hidden = Request::Get(vec![vec![1, 3, 6, 1, 2, 7]]);
    assert_eq!(
        exchange(&mut agent, &tree, &mut session, &hidden, (5, 5)).unwrap()[0].1,
        BindingValue::NoObject
    );
}

fn request_error(agent: &mut Agent, user: User) -> ManagerError {
    let mut session = Session::new(Security::User(user), 1, 7);
    exchange(agent, &tree(3), &mut session, &Request::Get(vec![vec![1, 3, 7]]), (5, 5)).unwrap_err()
}

fn stat(agent: &Agent, n: u32) -> Value {
    let name = [1, 3, 6, 1, 6, 3, 15, 1, 1, n, 0];
    agent.objects(5).into_iter().find(|o| o.0 == name).unwrap().1
}

/// Each security error must be reported to the manager and counted in its `usmStats` object.
#[test]
fn wrong_secrets_and_security_levels_are_reported() {
    let mut agent = agent();
    for (user, n) in [
        (user("nobody", "maplesyrup", None), 3),
        (user("noc", "maplesyrup", None), 1),
        (user("ro", "longenough", Some("buckwheat")), 1),
        (user("ro", "wrongsecret", None), 5),
        (user("noc", "maplesyrup", Some("wrongsecret")), 6),
    ] {
        let ManagerError::Report(oid) = request_error(&mut agent, user) else { panic!("expected a report") };
        assert_eq!(oid[9], n);
    }
    assert_eq!((stat(&agent, 1), stat(&agent, 4)), (Value::Counter32(2), Value::Counter32(5)));
    let mut other = Session::new(Security::Community("private".into()), 1, 7);
    assert_eq!(
        exchange(&mut agent, &tree(3), &mut other, &Request::Get(vec![]), (5, 5)),
        Err(ManagerError::Malformed)
    );
}

/// A request replayed outside the time window must not be answered. A manager whose clock differs learns the agent's
/// time from the report.
#[test]
fn replay_outside_the_time_window_is_not_answered() {
    let (tree, mut agent) = (tree(3), agent());
    let mut session = Session::new(Security::User(user("ro", "longenough", None)), 1, 7);
    let what = Request::Get(vec![vec![1, 3, 7]]);
    exchange(&mut agent, &tree, &mut session, &what, (1000, 5)).unwrap();
    let captured = session.encode_request(&what, 5).unwrap();
    assert!(matches!(agent.read(&captured, 1150), Incoming::Request(_)));
    assert!(matches!(agent.read(&captured, 1151), Incoming::Reply(_)));
    assert_eq!(stat(&agent, 2), Value::Counter32(1));
    exchange(&mut agent, &tree, &mut session, &what, (9000, 6)).unwrap();
}

/// Neither a message for another engine nor a message with one modified byte at any position may be accepted.
#[test]
fn modified_messages_are_not_accepted() {
    let (tree, mut agent) = (tree(3), agent());
    let mut session = Session::new(Security::User(user("noc", "maplesyrup", Some("buckwheat"))), 1, 7);
    let what = Request::Get(vec![vec![1, 3, 7]]);
    exchange(&mut agent, &tree, &mut session, &what, (5, 5)).unwrap();
    let mut other = Agent::new(BOUNDS, vec![1; 12], 1, Vec::new());
    other.add_user(user("noc", "maplesyrup", Some("buckwheat")), 1);
    let bytes = session.encode_request(&what, 5).unwrap();
    assert!(matches!(other.read(&bytes, 5), Incoming::Reply(_)), "the message is for another engine");
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(!matches!(agent.read(&changed, 5), Incoming::Request(_)), "byte {at} was modified");
    }
    assert!(matches!(agent.read(&bytes, 5), Incoming::Request(_)));
    // The manager likewise rejects a response with one modified byte.
    let Incoming::Request(request) = agent.read(&bytes, 5) else { panic!("the request was not accepted") };
    let answer = agent.answer(&request, &tree, 5).unwrap();
    for at in 0..answer.len() {
        let mut changed = answer.clone();
        changed[at] ^= 1;
        assert!(
            !matches!(session.clone().decode_reply(&changed, 5), Ok(Reply::Bindings(_))),
            "byte {at} was modified"
        );
    }
}

/// If a table shrinks and grows during a walk, names must still ascend and the walk must end.
#[test]
fn walk_ascends_while_the_table_changes() {
    let mut agent = agent();
    for mut session in sessions() {
        let (mut walk, mut objects, mut n) = (Walk::new(vec![1, 3], 3), Vec::new(), 60u32);
        while let Some(request) = walk.next_request() {
            n = (n * 7 + 3) % 61;
            objects.extend(
                walk.handle_answer(exchange(&mut agent, &tree(n), &mut session, &request, (5, 5)).unwrap())
                    .unwrap(),
            );
        }
        assert!(objects.windows(2).all(|w| w[0].0 < w[1].0));
    }
    let mut walk = Walk::new(vec![1, 3], 3);
    walk.handle_answer(vec![(vec![1, 3, 5], BindingValue::Value(Value::Gauge(1)))]).unwrap();
    let repeated = vec![(vec![1, 3, 5], BindingValue::Value(Value::Gauge(1)))];
    assert_eq!(
        walk.handle_answer(repeated),
        Err(ManagerError::OutOfOrder(vec![1, 3, 5])),
        "an agent that repeats an object"
    );
}

/// A wrapped counter and a restarted counter both decrease; only the discontinuity distinguishes them.
#[test]
fn counter_increase_handles_a_wrap_and_a_restart() {
    assert_eq!(counter_increase(u64::MAX - 4, 5, false), Some(10));
    assert_eq!(counter32_increase(u32::MAX - 4, 5, false), Some(10));
    assert_eq!((counter_increase(1000, 5, true), counter32_increase(1000, 5, true)), (None, None));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Random, modified and truncated datagrams, including wrong lengths, must not cause a panic.
    #[test]
    fn malformed_datagrams_do_not_panic(
        noise in proptest::collection::vec(any::<u8>(), 0..200),
        changes in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..6),
        cut in any::<usize>(), which in 0..3usize,
    ) {
        let (tree, mut agent) = (tree(5), agent());
        let mut session = sessions().remove(which);
        let _ = exchange(&mut agent, &tree, &mut session, &Request::Get(vec![vec![1, 3, 7]]), (5, 5));
        let mut bytes = session.encode_request(&Request::Bulk(vec![vec![1, 3]], 5), 5).unwrap();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        bytes.truncate(1 + cut % bytes.len());
        for bytes in [noise, bytes] {
            if let Incoming::Request(request) = agent.read(&bytes, 5) {
                let _ = agent.answer(&request, &tree, 5);
            }
            let _ = session.decode_reply(&bytes, 5);
        }
    }
}
