use super::*;

/// Fails if the report on a snapshot is dropped when the driver's queue is full: the leader would wait for it
/// indefinitely.
#[test]
fn snapshot_report_blocks_while_the_queue_is_full() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (member, received) = MemberHandle::with_capacity(1);
    member.send_or_drop(MemberMessage::Received(Vec::new()));
    let (queue, messages) = sync_channel(1);
    queue.send(OutboundMessage { to: 2, bytes: vec![7], has_snapshot: true }).unwrap();
    drop(queue);
    let sender = std::thread::spawn(move || send_messages(1, 2, address, &messages, &member));
    let (mut stream, _) = listener.accept().unwrap();
    stream.read_exact(&mut [0; wire::HEADER_BYTES + 1]).unwrap();
    // A sender that dropped the report would exit by now, and close its connection.
    stream.set_read_timeout(Some(RECONNECT_INTERVAL)).unwrap();
    let _ = stream.read(&mut [0]);
    let received: Vec<MemberMessage> = received.iter().collect();
    sender.join().unwrap();
    assert!(
        matches!(
            received[..],
            [MemberMessage::Received(_), MemberMessage::SnapshotSent { to: 2, delivered: true }]
        ),
        "{received:?}"
    );
}
