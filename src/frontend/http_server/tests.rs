use super::*;
use curlewdeck_lifecycle::Spans;
use std::io::Write;

fn connection() -> (ClientConnection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    (ClientConnection::new(stream, 0), client)
}

/// Guards against serving a request on a connection that is being shut, whose answer would be lost, and
/// against shutting one on which a request has come.
#[test]
fn a_connection_is_either_shut_or_served() {
    for shut in [ClientConnection::end, ClientConnection::evict] {
        let (gone, _client) = connection();
        assert!(shut(&gone, 0));
        assert!(!gone.held().begin_request(), "served after it was shut");
        let (served, _client) = connection();
        assert!(served.held().begin_request());
        assert!(!shut(&served, 0), "shut with a request open");
        served.held().finish_request(0);
        assert!(served.held().begin_request(), "the next request is served");
        let (unread, mut client) = connection();
        client.write_all(b"x").unwrap();
        while !unread.stream.is_readable() {
            std::thread::yield_now();
        }
        assert!(!shut(&unread, 0), "shut with a request on its way");
    }
}

/// Guards against ending a connection between the reading of a request's first bytes and its last; a client that stops
/// there does not keep others out.
#[test]
fn half_a_request_keeps_its_connection_until_its_place_is_needed() {
    let (half, mut client) = connection();
    client.write_all(b"x").unwrap();
    while !half.stream.is_readable() {
        std::thread::yield_now();
    }
    assert_eq!(half.read(&mut [0; 8]).unwrap(), 1);
    assert!(!half.end(0), "ended with half a request");
    assert!(half.evict(0));
}

/// Guards against taking a client that waits, or has sent ahead, for one that has left, and the other way round.
#[test]
fn a_client_that_has_left_is_seen_without_reading() {
    let (connection, mut client) = connection();
    assert!(connection.here());
    client.write_all(b"x").unwrap();
    while !connection.stream.is_readable() {
        std::thread::yield_now();
    }
    assert!(connection.here());
    assert_eq!(connection.stream.read(&mut [0; 8], Duration::ZERO).unwrap(), 1);
    drop(client);
    while !connection.stream.is_readable() {
        std::thread::yield_now();
    }
    assert!(!connection.here());
}

/// Guards newcomers while connections end: the place of one that is no longer listed is about to be free, and they wait for
/// it; only where each place has an open request they are turned away.
#[test]
fn a_place_that_is_about_to_be_free_is_waited_for() {
    let service = Service::new(
        Clock::start(),
        Lifecycle::new(Spans { drain_notice: 0, drain_rest: 0, shared_listener: false }),
        0,
    );
    let limits = Limits { clients: 2, ..Limits::default() };
    let list = |n: u64| {
        let (connection, client) = connection();
        assert!(connection.held().begin_request());
        service.connections().insert(n, Arc::new(connection));
        client
    };
    let _one = list(1);
    assert_eq!(service.evict(&limits), Eviction::Soon, "the other place is neither free nor busy");
    let _two = list(2);
    assert_eq!(service.evict(&limits), Eviction::None);
}
