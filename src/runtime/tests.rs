use super::*;

/// Guards against sending a frame on for a query that has its answer, where the socket was full when the frame's
/// turn came: what is wanted is looked at again until the first byte has gone out.
#[test]
fn what_is_not_wanted_any_more_is_not_written_once_there_is_room() {
    use std::io::Read;
    use std::sync::atomic::AtomicBool;
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    // Until the socket takes no more.
    let mut filled = 0;
    while let Ok(n) = (&mut stream.inner.inner()).write(&[0; 65_536]) {
        filled += n;
    }
    let wanted = AtomicBool::new(true);
    let looks = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (looks, wanted, stream) = (&looks, &wanted, &stream);
        let current = move || {
            looks.fetch_add(1, Ordering::SeqCst);
            wanted.load(Ordering::SeqCst).then(|| b"frame".to_vec())
        };
        let writer =
            scope.spawn(move || stream.write_current(current, || true, || true, Duration::from_secs(10)));
        while looks.load(Ordering::SeqCst) == 0 {
            std::thread::yield_now();
        }
        // There is never room here: without another look it would wait until its time is over, and fail.
        wanted.store(false, Ordering::SeqCst);
        writer.join().unwrap().unwrap();
    });
    stream.shut();
    let mut got = Vec::new();
    peer.read_to_end(&mut got).unwrap();
    assert!(got.len() == filled && got.iter().all(|&b| b == 0), "it was sent on");
}

/// Guards against an alarm that waits out an earlier setting, or a time already past.
#[test]
fn an_alarm_set_to_an_earlier_time_rings_then() {
    let (rings, heard) = std::sync::mpsc::channel();
    let clock = Clock::start();
    let mut alarm = Alarm::start(clock, move || rings.send(clock.now()).unwrap()).unwrap();
    let hour = 3_600_000_000_000;
    alarm.set(clock.now() + hour);
    for at in [clock.now(), clock.now() + 3_000_000, 0] {
        alarm.set(at);
        assert!(heard.recv().unwrap() >= at);
        alarm.rung();
    }
    alarm.set(clock.now() + hour);
    assert!(heard.try_recv().is_err());
}

/// Guards the sight of a step of the wall clock, either way, and against seeing one where there was none.
#[test]
fn a_step_of_the_wall_clock_is_seen_either_way() {
    let clock = Clock::start();
    assert!(!clock.wall_stepped());
    for step in [200_000_000, 3_600_000_000_000] {
        assert!(Clock { base: clock.base + step, ..clock }.wall_stepped(), "back by {step} ns");
        assert!(Clock { base: clock.base - step, ..clock }.wall_stepped(), "forward by {step} ns");
    }
}

/// Guards against a list kept for every length of time-out that ever was: there are few lengths.
#[test]
fn socket_timeouts_have_few_lengths() {
    let lengths: std::collections::BTreeSet<Duration> =
        (0..10_000).map(|n| coarse(Duration::from_micros(n * 1000 + n))).collect();
    assert!(lengths.len() <= 201, "{}", lengths.len());
    assert_eq!(coarse(Duration::from_millis(250)), Duration::from_millis(250));
    assert_eq!(coarse(Duration::ZERO), COARSE);
}

/// Guards a wait against a signal: an interrupted one goes on for what is left of its time, and no longer.
#[test]
fn an_interrupted_wait_goes_on_for_what_is_left() {
    let mut lefts = Vec::new();
    let waited = not_interrupted(Duration::from_secs(60), |left| {
        lefts.push(left);
        match lefts.len() {
            3 => Ok(()),
            _ => Err(io::ErrorKind::Interrupted.into()),
        }
    });
    waited.unwrap();
    assert!(lefts.len() == 3 && lefts.is_sorted_by(|a, b| a >= b), "{lefts:?}");
    let failed = not_interrupted(Duration::ZERO, |_| Err(io::ErrorKind::TimedOut.into()));
    assert_eq!(failed.unwrap_err().kind(), io::ErrorKind::TimedOut);
}

/// Guards a dial against errors that last for a moment, by their numbers as Linux documents them; a refusal is final, and
/// no error is tried for ever.
#[test]
fn a_dial_is_tried_again_after_an_error_of_a_moment() {
    const ECONNREFUSED: i32 = 111;
    const EAGAIN: i32 = 11;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    const EADDRNOTAVAIL: i32 = 99;
    const ENETUNREACH: i32 = 101;
    let dial = |error: i32, fails: u32| {
        let tries = std::cell::Cell::new(0);
        let connect = |_| {
            tries.set(tries.get() + 1);
            if tries.get() > fails {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(error))
            }
        };
        let done = tried_again(Duration::from_secs(60), connect, || ());
        (done.is_ok(), tries.get())
    };
    for error in [EADDRNOTAVAIL, ENETUNREACH, ENFILE, EMFILE, ENOBUFS, EAGAIN] {
        assert_eq!(dial(error, DIALS - 1), (true, DIALS), "{error}");
        assert_eq!(dial(error, u32::MAX), (false, DIALS), "{error}");
    }
    assert_eq!(dial(ECONNREFUSED, 1), (false, 1));
    let late = tried_again(Duration::ZERO, |_| Err::<(), _>(io::Error::from_raw_os_error(ENFILE)), || ());
    assert!(late.is_err());
}

/// More than any machine has, in words.
const NO_STACK: usize = 1 << 56;

/// Guards whoever starts a coroutine against one that does not start: it is told, and not taken down by a panic.
#[test]
fn a_coroutine_that_cannot_start_is_told() {
    let failed = spawn("too large", NO_STACK, || unreachable!("it has no stack"));
    assert_eq!(failed.unwrap_err().name, "too large");
}

/// Guards whoever waits for the end of a coroutine: it is told once, of its result, its panic and its missing start.
#[test]
fn the_end_of_a_coroutine_is_told_however_it_ends() {
    let (ends, heard) = std::sync::mpsc::channel();
    let told = |name: &'static str, stack_words, run: fn() -> u8| {
        let ends = ends.clone();
        spawn_told(name, stack_words, run, move |end| ends.send(end).unwrap());
        heard.recv_timeout(Duration::from_secs(60)).unwrap()
    };
    let stack_words = crate::limits::Limits::default().core_stack_words;
    assert_eq!(told("result", stack_words, || 7), Some(7));
    assert_eq!(told("panic", stack_words, || panic!("as the test wants it")), None);
    assert_eq!(told("too large", NO_STACK, || 7), None);
    assert!(heard.try_recv().is_err());
}

/// Guards all other sockets against a peer that sends without end: its reader leaves the worker, and does not count reads
/// that were waited for.
#[test]
fn a_reader_that_never_waits_leaves_room() {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Stream::new(listener.accept().unwrap().0, None).unwrap();
    peer.write_all(&[0; 64]).unwrap();
    stream.wait(Duration::from_secs(60)).unwrap();
    let mut byte = [0];
    for reads in 1..READS_IN_A_ROW {
        stream.read(&mut byte, Duration::from_secs(60)).unwrap();
        assert_eq!(stream.reads.load(Ordering::Relaxed), reads);
    }
    let begun = Instant::now();
    stream.read(&mut byte, Duration::from_secs(60)).unwrap();
    assert_eq!(stream.reads.load(Ordering::Relaxed), 0);
    assert!(begun.elapsed() >= READ_PAUSE);
    while stream.read_now(&mut byte).is_ok() {}
    assert_eq!(stream.reads.load(Ordering::Relaxed), 0);
}
