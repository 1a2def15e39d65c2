use std::sync::{Arc, Mutex};
use std::time::Duration;

use may::sync::mpsc::{channel, Receiver};

use super::*;
use crate::api::{Nanos, Outcome, ShardId};
use crate::engine::{AttemptId, CancellationToken, Dispatch, PartRequest};
use crate::net::connection_pool::Input;
use crate::net::messages::{self, CoreMessage};
use crate::runtime::lock;

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
    let (core, core_inbox) = messages::mailbox();
    let context = NodeContext {
        core,
        limits: Arc::new(Limits { no_socket_backoff: Duration::from_secs(3600), ..Limits::default() }),
        // Each part needs a connection of its own.
        connections: Connections { idle: Nanos::MAX, connect_timeout: 60_000_000_000, multiplex: 1 },
        shortest_latency_objective: Duration::from_secs(1),
        permits: Permits::new(permits),
        no_socket_log: Arc::new(Mutex::new(LogRateLimit::new(Nanos::MAX))),
        counters: Arc::default(),
        clock: Clock::start(),
        pending_updates: PendingUpdates::default(),
    };
    (context, core_inbox)
}

/// Guards against a try for each of the parts that wait in the mailbox when no socket is left: the first that finds none
/// speaks for all of that moment, and each attempt ends as not sent.
#[test]
fn a_lack_of_sockets_is_found_once_for_a_full_mailbox() {
    const PARTS: u64 = 100;
    let (context, core_inbox) = context(0);
    let no_socket_log = context.no_socket_log.clone();
    let gate = DrainGate::default();
    gate.set_open(true);
    let (mailbox, inbox) = channel();
    let node = NodeActor::new(ServerId(1), gate, context, mailbox.clone());
    // All of it waits before the actor handles the first.
    mailbox.send(NodeMessage::Address("127.0.0.1:9".parse().unwrap())).unwrap();
    (0..PARTS).for_each(|id| mailbox.send(NodeMessage::Call(vec![part(id)])).unwrap());
    mailbox.send(NodeMessage::Remove).unwrap();
    // After this line none is due, and the tries are counted.
    lock(&no_socket_log).occurred(0);
    node.run(&inbox);
    assert_eq!(lock(&no_socket_log).due(Nanos::MAX), Some(1));
    for id in 0..PARTS {
        let Ok(CoreMessage::AttemptEnded { attempt, outcome, value }) = core_inbox.try_recv() else {
            panic!("attempt {id} did not end")
        };
        assert_eq!((attempt, outcome, value), (AttemptId(id), Outcome::NotSent, None));
    }
}

/// Guards the moment between a frame's handing out and its first byte: if the gate is closed or the data node has moved
/// to another address by then, neither a call nor a health check is written, and each ends as not sent.
#[test]
fn a_frame_handed_out_before_an_endpoint_update_is_not_begun_after_it() {
    let call = || NodeMessage::Call(vec![part(0)]);
    let close: fn(&DrainGate) = |gate| assert!(gate.set_open(false));
    let moved: fn(&DrainGate) = |gate| gate.set_address("127.0.0.1:9".parse().unwrap());
    let kinds = [
        (call(), close),
        (call(), moved),
        (NodeMessage::CheckHealth, close),
        (NodeMessage::CheckHealth, moved),
    ];
    for (work, update_gate) in kinds {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (context, core_inbox) = context(1);
        let (gate, (mailbox, inbox)) = (DrainGate::default(), channel());
        gate.set_open(true);
        gate.set_address(address);
        let mut node = NodeActor::new(ServerId(1), gate.clone(), context, mailbox);
        node.handle_message(NodeMessage::Address(address));
        node.handle_message(work);
        let Ok(NodeMessage::Connected { connection, stream, writer }) = inbox.recv() else {
            panic!("the connection is not up")
        };
        let (own_writer, handed_out) = channel();
        node.handle_message(NodeMessage::Connected {
            connection,
            stream: stream.clone(),
            writer: own_writer,
        });
        let frame = handed_out.recv().unwrap();
        update_gate(&gate);
        writer.send(frame).unwrap();
        let mut written = false;
        while !written {
            let message = inbox.recv().unwrap();
            written = matches!(message, NodeMessage::Connection(Input::FrameWritten(_)));
            node.handle_message(message);
        }
        match core_inbox.try_recv() {
            Ok(
                CoreMessage::AttemptEnded { attempt: AttemptId(0), outcome: Outcome::NotSent, value: None }
                | CoreMessage::HealthChecked { outcome: Outcome::NotSent, .. },
            ) => {}
            _ => panic!("it did not end as not sent"),
        }
        stream.shutdown();
        let mut received = Vec::new();
        std::io::Read::read_to_end(&mut listener.accept().unwrap().0, &mut received).unwrap();
        assert!(received.is_empty(), "{received:?}");
    }
}
