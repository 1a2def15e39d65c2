//! The proxy between an echo server and its client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use curlewdeck_testkit::proxy::{ByteCounts, DroppedMessages, Faults, Proxy, POLL_INTERVAL};

fn echo() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        // Two connections, then it ends: the test is bounded.
        for stream in listener.incoming().take(2) {
            let Ok(mut stream) = stream else { continue };
            thread::spawn(move || {
                let mut buf = [0; 1024];
                while let Ok(n) = stream.read(&mut buf) {
                    if n == 0 || stream.write_all(&buf[..n]).is_err() {
                        break;
                    }
                }
            });
        }
    });
    (addr, handle)
}

fn roundtrip(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(bytes)?;
    let mut got = vec![0; bytes.len()];
    stream.read_exact(&mut got)?;
    Ok(got)
}

#[test]
fn bytes_are_forwarded_or_dropped_and_a_reset_ends_the_connection() {
    let (target, server) = echo();
    let proxy = Proxy::start(Some(target)).unwrap();
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(roundtrip(&mut stream, b"one").unwrap(), b"one");
    proxy.set_faults(Faults { drop_backward: true, ..Faults::default() });
    stream.write_all(b"lost").unwrap();
    // The echo of "lost" is dropped on its way back, whatever the timing: the next answer is "two" alone.
    while proxy.bytes_dropped().backward < 4 {
        thread::sleep(POLL_INTERVAL);
    }
    proxy.clear_faults();
    assert_eq!(roundtrip(&mut stream, b"two").unwrap(), b"two");
    proxy.reset_connections();
    let mut buf = [0; 8];
    assert!(matches!(stream.read(&mut buf), Ok(0) | Err(_)), "a reset connection still reads");
    proxy.set_faults(Faults::partition());
    let mut refused = TcpStream::connect(proxy.address()).unwrap();
    refused.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(refused.read(&mut buf), Ok(0) | Err(_)), "a partition let a connection in");
    proxy.clear_faults();
    let mut again = TcpStream::connect(proxy.address()).unwrap();
    again.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(roundtrip(&mut again, b"three").unwrap(), b"three");
    drop(again);
    drop(proxy);
    server.join().unwrap();
}

/// Guards against a message that is dropped in part, and against one that is dropped or held back though it wasn't chosen.
#[test]
fn only_the_chosen_messages_are_dropped_and_each_as_a_whole() {
    let (target, server) = echo();
    let proxy = Proxy::start(Some(target)).unwrap();
    // A message is its length and so many bytes; those of `x` are dropped.
    let dropped_messages = DroppedMessages {
        length: |bytes| bytes.first().map(|&n| usize::from(n) + 1),
        is_dropped: |message| message[1] == b'x',
    };
    proxy.set_faults(Faults { drop_messages: Some(dropped_messages), ..Faults::default() });
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let sent = b"\x03one\x02xx\x03two\x01x\x02xy\x05three";
    // Piece by piece: messages are torn and joined on the way.
    for piece in sent.chunks(4) {
        stream.write_all(piece).unwrap();
        thread::sleep(POLL_INTERVAL);
    }
    let mut got = [0; 14];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"\x03one\x03two\x05three");
    assert_eq!(proxy.bytes_dropped(), ByteCounts { forward: 8, backward: 0 });
    // The beginning of a message is held until the rest comes, and is forwarded once none are dropped any longer.
    stream.write_all(b"\x03x").unwrap();
    thread::sleep(5 * POLL_INTERVAL);
    proxy.clear_faults();
    stream.write_all(b"yz").unwrap();
    let mut got = [0; 4];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"\x03xyz");
    assert_eq!(proxy.bytes_dropped(), ByteCounts { forward: 8, backward: 0 });
    // The echo server ends after its second connection.
    drop(TcpStream::connect(proxy.address()).unwrap());
    server.join().unwrap();
}
