use super::*;
use std::io::Write;

fn connection() -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let connection = Connection {
        stream: Stream::new(listener.accept().unwrap().0, None).unwrap(),
        in_use: AtomicBool::default(),
        asked: AtomicBool::default(),
        since: AtomicU64::default(),
        given_up: AtomicBool::default(),
    };
    (connection, client)
}

/// Guards against serving a request on a connection that is being shut, whose answer would be lost, and
/// against shutting one on which a request has come.
#[test]
fn a_connection_is_either_shut_or_served() {
    let (shut, _client) = connection();
    assert!(shut.give_up());
    assert!(!shut.take_up(), "served after it was shut");
    let (served, _client) = connection();
    assert!(served.take_up());
    assert!(!served.give_up(), "shut with a request open");
    assert!(served.take_up(), "the next request is served");
    let (unread, mut client) = connection();
    client.write_all(b"x").unwrap();
    while !unread.stream.readable() {
        std::thread::yield_now();
    }
    assert!(!unread.give_up(), "shut with a request on its way");
}

/// Guards against taking a client that waits, or has sent ahead, for one that has left, and the other way round.
#[test]
fn a_client_that_has_left_is_seen_without_reading() {
    let (connection, mut client) = connection();
    assert!(connection.here());
    client.write_all(b"x").unwrap();
    while !connection.stream.readable() {
        std::thread::yield_now();
    }
    assert!(connection.here());
    assert_eq!(connection.stream.read(&mut [0; 8], Duration::ZERO).unwrap(), 1);
    drop(client);
    while !connection.stream.readable() {
        std::thread::yield_now();
    }
    assert!(!connection.here());
}
