use super::*;

use crate::api::{Outcome, ShardId};
use crate::engine::{AttemptId, CancellationToken, Dispatch, PartRequest};
use crate::net::messages;

fn part(id: u64) -> Dispatch {
    let text =
        PartRequest { name: format!("q.{id}"), shard: ShardId(0), text: "t".into(), first_phase: None };
    Dispatch {
        attempt: AttemptId(id),
        part: Arc::new(text),
        deadline: Nanos::MAX,
        start_deadline: Nanos::MAX,
        cancellation: CancellationToken::new(),
    }
}

fn context(permits: usize) -> (NodeContext, Receiver<CoreMessage>) {
    let (core, told) = messages::mailbox();
    let context = NodeContext {
        core,
        limits: Arc::new(Limits { no_socket_pause: Duration::from_secs(3600), ..Limits::default() }),
        // Each part needs a connection of its own.
        connections: Connections { idle: Nanos::MAX, connect_timeout: 60_000_000_000, multiplex: 1 },
        shortest_aim: Duration::from_secs(1),
        permits: Permits::new(permits),
        no_socket_log: Arc::new(Mutex::new(LogLimit::new(Nanos::MAX))),
        counters: Arc::default(),
        clock: Clock::start(),
        freshness: PendingUpdates::default(),
    };
    (context, told)
}

/// Guards against a try for each of the parts that wait in the mailbox when no socket is left: the first that finds none
/// speaks for all of that moment, and each part ends as not sent.
#[test]
fn a_lack_of_sockets_is_found_once_for_a_full_mailbox() {
    const PARTS: u64 = 100;
    let (context, told) = context(0);
    let no_socket_log = context.no_socket_log.clone();
    let gate = DrainGate::default();
    gate.set_open(true);
    let (own, inbox) = channel();
    let node = Node::new(ServerId(1), gate, context, own.clone());
    // All of it waits before the actor takes the first.
    own.send(NodeMessage::Address("127.0.0.1:9".parse().unwrap())).unwrap();
    (0..PARTS).for_each(|id| own.send(NodeMessage::Call(vec![part(id)])).unwrap());
    own.send(NodeMessage::Remove).unwrap();
    // After this line none is due, and the tries are counted.
    lock(&no_socket_log).occurred(0);
    node.run(&inbox);
    assert_eq!(lock(&no_socket_log).due(Nanos::MAX), Some(1));
    for id in 0..PARTS {
        let ended = told.try_recv();
        assert!(
            matches!(ended, Ok(CoreMessage::AttemptEnded(AttemptId(n), Outcome::NotSent, None)) if n == id),
            "{id}"
        );
    }
}

/// Guards the moment between a frame's handing out and its first byte: where the gate is shut or the data node is told
/// to be elsewhere by then, neither a call nor a probe is written, and each ends as not sent.
#[test]
fn what_was_handed_out_before_the_news_is_not_begun_after_it() {
    let call = || NodeMessage::Call(vec![part(0)]);
    let shut: fn(&DrainGate) = |gate| assert!(gate.set_open(false));
    let moved: fn(&DrainGate) = |gate| gate.move_to("127.0.0.1:9".parse().unwrap());
    let kinds = [
        (call(), shut),
        (call(), moved),
        (NodeMessage::CheckHealth, shut),
        (NodeMessage::CheckHealth, moved),
    ];
    for (work, news) in kinds {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (context, told) = context(1);
        let (gate, (own, inbox)) = (DrainGate::default(), channel());
        gate.set_open(true);
        gate.move_to(addr);
        let mut node = Node::new(ServerId(1), gate.clone(), context, own);
        node.take(NodeMessage::Address(addr));
        node.take(work);
        let Ok(NodeMessage::ConnectionUp(id, stream, writer)) = inbox.recv() else {
            panic!("the connection is not up")
        };
        let (between, handed) = channel();
        node.take(NodeMessage::ConnectionUp(id, stream.clone(), between));
        let frame = handed.recv().unwrap();
        news(&gate);
        writer.send(frame).unwrap();
        let mut written = false;
        while !written {
            let word = inbox.recv().unwrap();
            written = matches!(word, NodeMessage::Connection(Input::Written(_)));
            node.take(word);
        }
        match told.try_recv() {
            Ok(
                CoreMessage::AttemptEnded(AttemptId(0), Outcome::NotSent, None)
                | CoreMessage::HealthChecked(_, Outcome::NotSent),
            ) => {}
            _ => panic!("it did not end as not sent"),
        }
        stream.shut();
        let mut come = Vec::new();
        std::io::Read::read_to_end(&mut listener.accept().unwrap().0, &mut come).unwrap();
        assert!(come.is_empty(), "{come:?}");
    }
}
