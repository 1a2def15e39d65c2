//! The proxy between an echo server and its client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use curlewdeck_testkit::proxy::{Faults, Proxy, POLL_INTERVAL};

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
