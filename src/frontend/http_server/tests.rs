use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_lifecycle::{Lifecycle, Spans};
use may::net::TcpListener;

use super::client_connection::ClientConnection;
use super::eviction::Eviction;
use super::Service;
use crate::limits::Limits;
use crate::runtime::{Clock, Stream};

fn connection() -> (ClientConnection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    (ClientConnection::new(stream, 0), client)
}

/// Guards against serving a request on a connection that is being closed, whose answer would be lost, and against
/// closing one on which a request has come.
#[test]
fn a_connection_is_either_ended_or_served() {
    for close in [ClientConnection::end, ClientConnection::evict] {
        let (ended, _client) = connection();
        assert!(close(&ended, 0));
        assert!(!ended.state().begin_request(), "served after it was closed");
        let (served, _client) = connection();
        assert!(served.state().begin_request());
        assert!(!close(&served, 0), "closed with a request open");
        served.state().finish_request(0);
        assert!(served.state().begin_request(), "the next request is served");
        let (unread, mut client) = connection();
        client.write_all(b"x").unwrap();
        while !unread.stream.is_readable() {
            std::thread::yield_now();
        }
        assert!(!close(&unread, 0), "closed with a request on its way");
    }
}

/// Guards against ending a connection between the reading of a request's first and last bytes; a client that stops
/// there does not keep others out.
#[test]
fn a_partial_request_keeps_its_connection_open_until_it_is_evicted() {
    let (partial, mut client) = connection();
    client.write_all(b"x").unwrap();
    while !partial.stream.is_readable() {
        std::thread::yield_now();
    }
    assert_eq!(partial.read(&mut [0; 8]).unwrap(), 1);
    assert!(!partial.end(0), "ended with a partial request");
    assert!(partial.evict(0));
}

/// Guards against taking a client that waits, or has sent ahead, for a disconnected one, and the other way round.
#[test]
fn a_disconnected_client_is_noticed_without_reading() {
    let (connection, mut client) = connection();
    assert!(connection.is_client_connected());
    client.write_all(b"x").unwrap();
    while !connection.stream.is_readable() {
        std::thread::yield_now();
    }
    assert!(connection.is_client_connected());
    assert_eq!(connection.stream.read(&mut [0; 8], Duration::ZERO).unwrap(), 1);
    drop(client);
    while !connection.stream.is_readable() {
        std::thread::yield_now();
    }
    assert!(!connection.is_client_connected());
}

/// Guards new connections while others end: the place of one that is no longer listed is about to be free, and they
/// wait for it; they are rejected only where each place has a pending request.
#[test]
fn eviction_waits_for_a_place_that_is_about_to_be_free() {
    let service = Service::new(
        Clock::start(),
        Lifecycle::new(Spans { drain_notice: 0, drain_rest: 0, shared_listener: false }),
        0,
    );
    let limits = Limits { clients: 2, ..Limits::default() };
    let list = |n: u64| {
        let (connection, client) = connection();
        assert!(connection.state().begin_request());
        service.connections().insert(n, Arc::new(connection));
        client
    };
    let _one = list(1);
    assert_eq!(service.evict(&limits), Eviction::Soon, "the other place is neither free nor busy");
    let _two = list(2);
    assert_eq!(service.evict(&limits), Eviction::None);
}
