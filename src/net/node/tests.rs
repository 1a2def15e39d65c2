use super::*;

use crate::api::{Outcome, ShardId};
use crate::engine::{AttemptId, Dispatch, PartText, Wanted};
use crate::net::mail;

fn part(id: u64) -> Dispatch {
    let text = PartText { name: format!("q.{id}"), shard: ShardId(0), text: "t".into(), after: None };
    Dispatch {
        attempt: AttemptId(id),
        part: Arc::new(text),
        until: Nanos::MAX,
        begin_by: Nanos::MAX,
        wanted: Wanted::new(),
    }
}

/// Guards against a try for each of the parts that wait in the mailbox when no socket is left: the first that finds none
/// speaks for all of that moment, and each part ends as not sent.
#[test]
fn a_lack_of_sockets_is_found_once_for_a_full_mailbox() {
    const PARTS: u64 = 100;
    let (core, told) = mail::mailbox();
    let no_socket_log = Arc::new(Mutex::new(LogLimit::new(Nanos::MAX)));
    let context = NodeContext {
        core,
        limits: Arc::new(Limits { no_socket_pause: Duration::from_secs(3600), ..Limits::default() }),
        // Each part needs a connection of its own.
        connections: Connections { idle: Nanos::MAX, connect_timeout: 1, multiplex: 1 },
        shortest_aim: Duration::from_secs(1),
        permits: Permits::new(0),
        no_socket_log: no_socket_log.clone(),
        counters: Arc::default(),
        clock: Clock::start(),
    };
    let gate = Gate::default();
    gate.set(true);
    let (own, inbox) = channel();
    let node = Node::new(ServerId(1), gate, context, own.clone());
    // All of it waits before the actor takes the first.
    own.send(NodeMsg::Address("127.0.0.1:9".parse().unwrap())).unwrap();
    (0..PARTS).for_each(|id| own.send(NodeMsg::Call(vec![part(id)])).unwrap());
    own.send(NodeMsg::Retire).unwrap();
    // After this line none is due, and the tries are counted.
    lock(&no_socket_log).occurred(0);
    node.run(&inbox);
    assert_eq!(lock(&no_socket_log).due(Nanos::MAX), Some(1));
    for id in 0..PARTS {
        let ended = told.try_recv();
        assert!(matches!(ended, Ok(Msg::Ended(AttemptId(n), Outcome::StaleSend, None)) if n == id), "{id}");
    }
}
