use super::*;
use std::io::{Read, Write};

fn shared_listeners() -> (InheritedListener, InheritedListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let other = listener.try_clone().unwrap();
    (InheritedListener(listener), InheritedListener(other), addr)
}

/// Converting an accepted socket from the standard library to `may` must keep it open, and close it exactly once with
/// its new owner.
#[test]
fn accepted_connection_stays_open_until_it_is_dropped() {
    let (one, two, addr) = shared_listeners();
    assert!(one.accept().unwrap().is_none() && !one.wait_for_connection(Duration::ZERO).unwrap());
    let mut client = std::net::TcpStream::connect(addr).unwrap();
    assert!(
        one.wait_for_connection(Duration::from_secs(60)).unwrap()
            && two.wait_for_connection(Duration::ZERO).unwrap()
    );
    let stream = one.accept().unwrap().unwrap();
    assert!(two.accept().unwrap().is_none(), "accepted twice");
    (&mut stream.inner()).write_all(b"whole").unwrap();
    drop(stream);
    let mut got = String::new();
    client.read_to_string(&mut got).unwrap();
    assert_eq!(got, "whole");
}

/// A start with a descriptor that is not a listening TCP socket must fail with a message that names the cause.
#[test]
fn unusable_descriptors_are_rejected_with_the_cause() {
    for (text, cause) in [
        ("x", "not a descriptor number"),
        ("-1", "not a descriptor number"),
        ("1", "standard stream"),
        ("4000", "descriptor"),
    ] {
        let error = InheritedListener::take(text).unwrap_err();
        assert!(error.contains(cause) && error.contains(text), "{error}");
    }
    // A connected TCP socket and a file are not listening sockets.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let file = std::fs::File::open("Cargo.toml").unwrap();
    for fd in [client.into_raw_fd(), file.into_raw_fd()] {
        assert!(InheritedListener::take(&fd.to_string()).unwrap_err().contains("not a listening TCP socket"));
    }
    let (one, _, addr) = shared_listeners();
    let taken = InheritedListener::take(&one.0.into_raw_fd().to_string()).unwrap();
    assert_eq!(taken.local_addr().unwrap(), addr);
}
