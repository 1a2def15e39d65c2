use super::*;

/// If the socket is full when a write begins, the query may be answered before there is room. The frame must then not
/// be sent, so `current` is called again until the first byte is written.
#[test]
fn obsolete_bytes_are_not_written_to_a_full_socket() {
    use std::io::Read;
    use std::sync::atomic::AtomicBool;
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    // Fill the socket's buffer.
    let mut filled = 0;
    while let Ok(n) = (&mut stream.inner.inner()).write(&[0; 65_536]) {
        filled += n;
    }
    let wanted = AtomicBool::new(true);
    let calls = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (calls, wanted, stream) = (&calls, &wanted, &stream);
        let current = move || {
            calls.fetch_add(1, Ordering::SeqCst);
            wanted.load(Ordering::SeqCst).then(|| b"frame".to_vec())
        };
        let writer =
            scope.spawn(move || stream.write_latest(current, || true, || true, Duration::from_secs(10)));
        while calls.load(Ordering::SeqCst) == 0 {
            std::thread::yield_now();
        }
        // The buffer stays full: a writer that does not call `current` again would time out and fail.
        wanted.store(false, Ordering::SeqCst);
        writer.join().unwrap().unwrap();
    });
    stream.shutdown();
    let mut received = Vec::new();
    peer.read_to_end(&mut received).unwrap();
    assert!(received.len() == filled && received.iter().all(|&b| b == 0), "obsolete bytes were written");
}

/// A signal must neither fail a wait nor restart its time-out.
#[test]
fn an_interrupted_wait_continues_for_the_remaining_time() {
    let mut timeouts = Vec::new();
    let waited = retry_interrupted(Duration::from_secs(60), |remaining| {
        timeouts.push(remaining);
        match timeouts.len() {
            3 => Ok(()),
            _ => Err(io::ErrorKind::Interrupted.into()),
        }
    });
    waited.unwrap();
    assert!(timeouts.len() == 3 && timeouts.is_sorted_by(|a, b| a >= b), "{timeouts:?}");
    let failed = retry_interrupted(Duration::ZERO, |_| Err(io::ErrorKind::TimedOut.into()));
    assert_eq!(failed.unwrap_err().kind(), io::ErrorKind::TimedOut);
}

/// The reader of a continuously sending peer would otherwise starve all other sockets. Reads after a wait are not
/// counted.
#[test]
fn a_reader_that_never_waits_yields_the_worker() {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    peer.write_all(&[0; 64]).unwrap();
    stream.wait_readable(Duration::from_secs(60)).unwrap();
    let mut byte = [0];
    for reads in 1..MAX_CONSECUTIVE_READS {
        stream.read(&mut byte, Duration::from_secs(60)).unwrap();
        assert_eq!(stream.consecutive_reads.load(Ordering::Relaxed), reads);
    }
    let start = Instant::now();
    stream.read(&mut byte, Duration::from_secs(60)).unwrap();
    assert_eq!(stream.consecutive_reads.load(Ordering::Relaxed), 0);
    assert!(start.elapsed() >= READ_PAUSE);
    while stream.try_read(&mut byte).is_ok() {}
    assert_eq!(stream.consecutive_reads.load(Ordering::Relaxed), 0);
}

/// If a check before the read consumed the reset, the read would report an orderly end, and the reader would take
/// truncated data for complete.
#[test]
fn a_reset_seen_by_has_unread_is_still_read_as_a_reset() {
    for checks in 0..3 {
        let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        // On loopback the reset has arrived once this returns.
        drop(peer);
        for _ in 0..checks {
            assert!(!stream.has_unread());
        }
        let read = stream.read(&mut [0], Duration::from_secs(60));
        assert_eq!(read.map_err(|e| e.kind()), Err(io::ErrorKind::ConnectionReset), "after {checks} checks");
    }
}

/// If a check before the read consumed the reset, the read would report an orderly end, and the reader would take
/// truncated data for complete.
#[test]
fn a_reset_seen_by_a_peek_is_still_read_as_a_reset() {
    type Check = fn(&Stream) -> bool;
    let checks: [(&str, Check); 4] = [
        ("none", |_| false),
        ("has_unread", Stream::has_unread),
        ("is_readable", Stream::is_readable),
        ("is_open", Stream::is_open),
    ];
    let read_after = |check: Check| {
        let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        // On loopback the reset has arrived once this returns.
        drop(peer);
        check(&stream);
        stream.read(&mut [0], Duration::from_secs(60))
    };
    let results = checks.map(|(name, check)| (name, read_after(check).map_err(|e| e.kind())));
    let reset = |name| (name, Err(io::ErrorKind::ConnectionReset));
    assert_eq!(results, ["none", "has_unread", "is_readable", "is_open"].map(reset));
}
