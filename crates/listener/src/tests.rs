use super::*;
use std::io::{Read, Write};

fn pair() -> (Inherited, Inherited, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let other = listener.try_clone().unwrap();
    (Inherited(listener), Inherited(other), addr)
}

/// Guards the hand-over of a socket between the two libraries: it stays open and is closed once, with its owner.
#[test]
fn an_accepted_connection_is_whole() {
    let (one, two, addr) = pair();
    assert!(one.accept().unwrap().is_none() && !one.waits(Duration::ZERO).unwrap());
    let mut client = std::net::TcpStream::connect(addr).unwrap();
    assert!(one.waits(Duration::from_secs(60)).unwrap() && two.waits(Duration::ZERO).unwrap());
    let stream = one.accept().unwrap().unwrap();
    assert!(two.accept().unwrap().is_none(), "accepted twice");
    (&mut stream.inner()).write_all(b"whole").unwrap();
    drop(stream);
    let mut got = String::new();
    client.read_to_string(&mut got).unwrap();
    assert_eq!(got, "whole");
}

/// Guards a start with what is no listening socket: one line that says so.
#[test]
fn what_is_no_listener_is_named() {
    for (text, why) in
        [("x", "no number"), ("-1", "no number"), ("1", "standard stream"), ("4000", "descriptor")]
    {
        let said = Inherited::take(text).unwrap_err();
        assert!(said.contains(why) && said.contains(text), "{said}");
    }
    // A connection is a TCP socket too, and a file is none.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let file = std::fs::File::open("Cargo.toml").unwrap();
    for fd in [client.into_raw_fd(), file.into_raw_fd()] {
        assert!(Inherited::take(&fd.to_string()).unwrap_err().contains("no listening TCP socket"));
    }
    let (one, _, addr) = pair();
    let taken = Inherited::take(&one.0.into_raw_fd().to_string()).unwrap();
    assert_eq!(taken.local_addr().unwrap(), addr);
}
