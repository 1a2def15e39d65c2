use super::*;

use std::io::Write;

/// A connection to discovery, and the socket of its peer.
fn connection() -> (Arc<Stream>, std::net::TcpStream) {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Arc::new(Stream::new(listener.accept().unwrap().0, None).unwrap()), peer)
}

fn wait_timed_out(pending_updates: &PendingUpdates) -> bool {
    let clock = Clock::start();
    let start = clock.now();
    pending_updates.wait_until_current(&clock);
    clock.now() - start >= nanos(WAIT_MAX)
}

/// After a suspension of the process, a frame could be sent to a draining data node while the update is still unread,
/// read but not registered, or registered but not applied.
#[test]
fn sends_wait_until_an_update_is_applied() {
    let (stream, mut peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream.clone());
    assert!(!wait_timed_out(&pending_updates), "no update");
    let expire_check = || pending_updates.0.current_at.store(0, Ordering::SeqCst);
    let mut buf = [0; 64];
    peer.write_all(b"update").unwrap();
    stream.wait_readable(Duration::from_secs(10)).unwrap();
    expire_check();
    assert!(wait_timed_out(&pending_updates), "unread");
    watched.read(&mut buf, Duration::from_secs(10)).unwrap();
    expire_check();
    assert!(wait_timed_out(&pending_updates), "read, but not registered");
    let update = pending_updates.begin_update();
    assert!(watched.read(&mut buf, Duration::ZERO).is_err());
    expire_check();
    assert!(wait_timed_out(&pending_updates), "registered, but not applied");
    drop(update);
    expire_check();
    assert!(!wait_timed_out(&pending_updates), "applied");
}

/// A connection closed by its peer, or one whose reader has ended, brings no update and must not delay sends.
#[test]
fn a_connection_without_updates_delays_no_send() {
    let (stream, peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream.clone());
    drop(peer);
    stream.wait_readable(Duration::from_secs(10)).unwrap();
    assert!(!wait_timed_out(&pending_updates), "end of the connection");
    let (unread, mut peer) = connection();
    drop(pending_updates.watch(unread.clone()));
    peer.write_all(b"update").unwrap();
    unread.wait_readable(Duration::from_secs(10)).unwrap();
    pending_updates.0.current_at.store(0, Ordering::SeqCst);
    assert!(!wait_timed_out(&pending_updates), "dropped by its reader");
    drop(watched);
}

/// The operating system reports a reset once. If a check consumed it, the reader would see an orderly end of the watch.
#[test]
fn a_reset_seen_by_a_check_is_still_reported_to_the_reader() {
    let (stream, peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream);
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    // On loopback the reset has arrived once this returns.
    drop(peer);
    assert!(!wait_timed_out(&pending_updates), "reset of the connection");
    let read = watched.read(&mut [0], Duration::from_secs(10));
    assert_eq!(read.map_err(|e| e.kind()), Err(io::ErrorKind::ConnectionReset));
}

/// Checking for each frame would cost system calls, and an outdated result would miss a newer update.
#[test]
fn the_result_of_a_check_is_valid_for_a_bounded_time() {
    let pending_updates = PendingUpdates::default();
    let clock = Clock::start();
    pending_updates.wait_until_current(&clock);
    let at = pending_updates.0.current_at.load(Ordering::SeqCst);
    assert!(pending_updates.is_current(at) && pending_updates.is_current(at + nanos(CHECK_VALIDITY) - 1));
    assert!(!pending_updates.is_current(at + nanos(CHECK_VALIDITY)));
}
