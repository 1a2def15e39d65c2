use super::*;

use std::io::Write;

/// A connection to discovery, and its far end.
fn connection() -> (Arc<Stream>, std::net::TcpStream) {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Arc::new(Stream::new(listener.accept().unwrap().0, None).unwrap()), peer)
}

fn waited_in_vain(pending_updates: &PendingUpdates) -> bool {
    let clock = Clock::start();
    let begun = clock.now();
    pending_updates.wait_until_current(&clock);
    clock.now() - begun >= nanos(WAIT_MAX)
}

/// Guards a frame against an update that was written and not read when the process went on: it waits until the update
/// was read, handed on and taken, whichever of the three is missing.
#[test]
fn an_update_is_waited_for_until_it_is_taken() {
    let (stream, mut peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream.clone());
    assert!(!waited_in_vain(&pending_updates), "nothing waits");
    let stale = || pending_updates.0.current_at.store(0, Ordering::SeqCst);
    let mut buf = [0; 64];
    peer.write_all(b"update").unwrap();
    stream.wait_readable(Duration::from_secs(10)).unwrap();
    stale();
    assert!(waited_in_vain(&pending_updates), "unread");
    watched.read(&mut buf, Duration::from_secs(10)).unwrap();
    stale();
    assert!(waited_in_vain(&pending_updates), "read, and not handed on");
    let update = pending_updates.begin_update();
    assert!(watched.read(&mut buf, Duration::ZERO).is_err());
    stale();
    assert!(waited_in_vain(&pending_updates), "handed on, and not taken");
    drop(update);
    stale();
    assert!(!waited_in_vain(&pending_updates), "taken");
}

/// Guards sends against a silent or ended connection, and one whose reader has ended: neither holds anything up.
#[test]
fn a_connection_without_updates_holds_nothing_up() {
    let (stream, peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream.clone());
    drop(peer);
    stream.wait_readable(Duration::from_secs(10)).unwrap();
    assert!(!waited_in_vain(&pending_updates), "its end is no update");
    let (unread, mut peer) = connection();
    drop(pending_updates.watch(unread.clone()));
    peer.write_all(b"update").unwrap();
    unread.wait_readable(Duration::from_secs(10)).unwrap();
    pending_updates.0.current_at.store(0, Ordering::SeqCst);
    assert!(!waited_in_vain(&pending_updates), "its reader has ended");
    drop(watched);
}

/// Guards the end of a watch against a check between its reset and its reader's next turn: the reader is told of the reset,
/// and not of an end in order.
#[test]
fn a_check_leaves_a_reset_to_the_reader() {
    let (stream, peer) = connection();
    let pending_updates = PendingUpdates::default();
    let watched = pending_updates.watch(stream);
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    // On loopback the reset has arrived once this returns.
    drop(peer);
    assert!(!waited_in_vain(&pending_updates), "a reset is no update");
    let read = watched.read(&mut [0], Duration::from_secs(10));
    assert_eq!(read.map_err(|e| e.kind()), Err(io::ErrorKind::ConnectionReset));
}

/// Guards against a check for each frame, and against one that is relied on for too long.
#[test]
fn a_check_holds_for_a_bounded_time() {
    let pending_updates = PendingUpdates::default();
    let clock = Clock::start();
    pending_updates.wait_until_current(&clock);
    let at = pending_updates.0.current_at.load(Ordering::SeqCst);
    assert!(pending_updates.is_current(at) && pending_updates.is_current(at + nanos(CHECK_VALIDITY) - 1));
    assert!(!pending_updates.is_current(at + nanos(CHECK_VALIDITY)));
}
