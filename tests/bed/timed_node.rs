//! A data node that answers every part at once and logs when the first byte of each part was there.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use super::catalog::lock;
use super::stand_in::{frame, read_parts, Part};

/// A part and the moment of its first byte.
#[derive(Debug, Clone)]
pub struct TimedPart {
    pub at: Instant,
    pub part: Part,
}

pub struct TimedNode {
    pub addr: SocketAddr,
    parts: Arc<Mutex<Vec<TimedPart>>>,
}

impl TimedNode {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let parts = Arc::new(Mutex::new(Vec::new()));
        let noted = parts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let noted = noted.clone();
                // A connection ends as its coordinator likes.
                thread::spawn(move || drop(serve(stream, &noted)));
            }
        });
        Self { addr, parts }
    }

    pub fn parts(&self) -> Vec<TimedPart> {
        lock(&self.parts).clone()
    }
}

const LENGTH: usize = 4;
const READ: usize = 16 * 1024;

fn serve(mut stream: TcpStream, noted: &Mutex<Vec<TimedPart>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut held, mut buf) = (Vec::<u8>::new(), [0; READ]);
    // When the first byte of what is held was there.
    let mut first_byte = Instant::now();
    loop {
        let read = stream.read(&mut buf)?;
        let now = Instant::now();
        if read == 0 {
            return Ok(());
        }
        if held.is_empty() {
            first_byte = now;
        }
        held.extend_from_slice(&buf[..read]);
        while let Some(body) = whole_frame(&held) {
            answer(&mut stream, &body, first_byte, noted)?;
            held.drain(..LENGTH + body.len());
            // The next frame's first byte came with this read at the earliest.
            first_byte = now;
        }
    }
}

/// The letter and the rest of the first frame, if it is whole.
fn whole_frame(held: &[u8]) -> Option<Vec<u8>> {
    let length = u32::from_le_bytes(held.get(..LENGTH)?.try_into().unwrap()) as usize;
    held.get(LENGTH..LENGTH + length).map(<[u8]>::to_vec)
}

fn answer(
    stream: &mut TcpStream,
    body: &[u8],
    at: Instant,
    noted: &Mutex<Vec<TimedPart>>,
) -> std::io::Result<()> {
    match body.split_first() {
        Some((b'D', rest)) => {
            for part in read_parts(rest) {
                let line = format!("{} 200 {} qps=1\nv{}", part.id, part.shard, part.shard);
                lock(noted).push(TimedPart { at, part });
                stream.write_all(&frame(b'O', line.as_bytes()))?;
            }
            Ok(())
        }
        Some((b'I', _)) => stream.write_all(&frame(b'I', b"200")),
        Some((b'U', _)) => stream.write_all(&frame(b'U', b"-")),
        _ => Ok(()),
    }
}
