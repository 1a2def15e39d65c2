use super::*;

use std::io::Write;

/// A connection to discovery, and its far end.
fn connection() -> (Arc<Stream>, std::net::TcpStream) {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Arc::new(Stream::new(listener.accept().unwrap().0, None).unwrap()), peer)
}

fn waited_in_vain(freshness: &PendingUpdates) -> bool {
    let clock = Clock::start();
    let begun = clock.now();
    freshness.establish(&clock);
    clock.now() - begun >= nanos(LONGEST)
}

/// Guards a frame against news that was written and not read when the process went on: it waits until the news was
/// read, told and taken, whichever of the three is missing.
#[test]
fn news_is_waited_for_until_it_is_taken() {
    let (stream, mut peer) = connection();
    let freshness = PendingUpdates::default();
    let followed = freshness.follow(stream.clone());
    assert!(!waited_in_vain(&freshness), "nothing waits");
    let stale = || freshness.0.fresh_at.store(0, Ordering::SeqCst);
    let mut buf = [0; 64];
    peer.write_all(b"news").unwrap();
    stream.wait(Duration::from_secs(10)).unwrap();
    stale();
    assert!(waited_in_vain(&freshness), "unread");
    followed.read(&mut buf, Duration::from_secs(10)).unwrap();
    stale();
    assert!(waited_in_vain(&freshness), "read, and not told");
    let on_the_way = freshness.news();
    assert!(followed.read(&mut buf, Duration::ZERO).is_err());
    stale();
    assert!(waited_in_vain(&freshness), "told, and not taken");
    drop(on_the_way);
    stale();
    assert!(!waited_in_vain(&freshness), "taken");
}

/// Guards sends against a silent or ended connection, and one whose reader has ended: neither holds anything up.
#[test]
fn a_connection_without_news_holds_nothing_up() {
    let (stream, peer) = connection();
    let freshness = PendingUpdates::default();
    let followed = freshness.follow(stream.clone());
    drop(peer);
    stream.wait(Duration::from_secs(10)).unwrap();
    assert!(!waited_in_vain(&freshness), "its end is no news");
    let (unread, mut peer) = connection();
    drop(freshness.follow(unread.clone()));
    peer.write_all(b"news").unwrap();
    unread.wait(Duration::from_secs(10)).unwrap();
    freshness.0.fresh_at.store(0, Ordering::SeqCst);
    assert!(!waited_in_vain(&freshness), "its reader has ended");
    drop(followed);
}

/// Guards against a look for each frame, and against one that is relied on for too long.
#[test]
fn a_look_holds_for_a_bounded_time() {
    let freshness = PendingUpdates::default();
    let clock = Clock::start();
    freshness.establish(&clock);
    let at = freshness.0.fresh_at.load(Ordering::SeqCst);
    assert!(freshness.holds(at) && freshness.holds(at + nanos(FRESH) - 1));
    assert!(!freshness.holds(at + nanos(FRESH)));
}
