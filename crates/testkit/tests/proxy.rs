//! Fault injection between an echo server and its client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use curlewdeck_testkit::proxy::{ByteCounts, DroppedMessages, Faults, Proxy, POLL_INTERVAL};

fn echo() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        // The server ends after two connections, so that the test terminates.
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
fn bytes_are_forwarded_or_dropped_and_reset_closes_the_connection() {
    let (target, server) = echo();
    let proxy = Proxy::start(Some(target)).unwrap();
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(roundtrip(&mut stream, b"one").unwrap(), b"one");
    proxy.set_faults(Faults { drop_backward: true, ..Faults::default() });
    stream.write_all(b"lost").unwrap();
    // Waits until the echo of "lost" is dropped, so that the next data received is "two" alone.
    while proxy.bytes_dropped().backward < 4 {
        thread::sleep(POLL_INTERVAL);
    }
    proxy.clear_faults();
    assert_eq!(roundtrip(&mut stream, b"two").unwrap(), b"two");
    proxy.reset_connections();
    let mut buf = [0; 8];
    assert!(matches!(stream.read(&mut buf), Ok(0) | Err(_)), "the connection is still open after the reset");
    proxy.set_faults(Faults::partition());
    let mut refused = TcpStream::connect(proxy.address()).unwrap();
    refused.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(
        matches!(refused.read(&mut buf), Ok(0) | Err(_)),
        "a connection was accepted during the partition"
    );
    proxy.clear_faults();
    let mut again = TcpStream::connect(proxy.address()).unwrap();
    again.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(roundtrip(&mut again, b"three").unwrap(), b"three");
    drop(again);
    drop(proxy);
    server.join().unwrap();
}

/// Selected messages must be dropped completely; all others must be neither dropped nor delayed. Messages arrive split
/// and joined at arbitrary positions.
#[test]
fn only_selected_messages_are_dropped_and_completely() {
    let (target, server) = echo();
    let proxy = Proxy::start(Some(target)).unwrap();
    // A message is a length byte and that many bytes of content; messages that begin with `x` are dropped.
    let dropped_messages = DroppedMessages {
        length: |bytes| bytes.first().map(|&n| usize::from(n) + 1),
        is_dropped: |message| message[1] == b'x',
    };
    proxy.set_faults(Faults { drop_messages: Some(dropped_messages), ..Faults::default() });
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let sent = b"\x03one\x02xx\x03two\x01x\x02xy\x05three";
    // Pieces of 4 bytes split some messages and join others.
    for piece in sent.chunks(4) {
        stream.write_all(piece).unwrap();
        thread::sleep(POLL_INTERVAL);
    }
    let mut got = [0; 14];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"\x03one\x03two\x05three");
    assert_eq!(proxy.bytes_dropped(), ByteCounts { forward: 8, backward: 0 });
    // An incomplete message is held until the rest arrives; it is forwarded once message dropping is turned off.
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
