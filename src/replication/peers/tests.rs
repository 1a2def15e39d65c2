use super::*;

/// Guards against a leader that waits for ever for the report on a snapshot: it must not be lost, however many messages
/// wait for the member's thread.
#[test]
fn the_report_on_a_snapshot_waits_while_the_queue_is_full() {
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
    // One that did not wait would have ended by now, and closed its connection.
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
