//! Clients that ask one coordinator steadily, each query after the answer to the one before, and log the answers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::stand_in::lock;
use super::stand_in::read_answer;

/// An answer, and when it was there.
#[derive(Debug, Clone, Copy)]
pub struct Answered {
    pub at: Instant,
    pub status: u16,
}

/// Clients that ask until they are stopped.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answered>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

/// From one answer to the next query.
const PAUSE: Duration = Duration::from_millis(10);
/// The clients' own wait for an answer, longer than the time that they tell.
const LONGEST: Duration = Duration::from_secs(4);
/// Most queries of one client: the loop ends even if it is never stopped.
const MOST: u64 = 10_000;
const SHARDS: u64 = 4;

impl LoadGenerator {
    /// Starts clients whose queries' ids begin with this number.
    pub fn start(addr: SocketAddr, coordinator: usize, clients: u64) -> Self {
        let (stop, answers) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<Answered>>>::default());
        let client = |client: u64| {
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut connection = None;
                for number in (0..MOST).take_while(|_| !stop.load(Ordering::SeqCst)) {
                    let id = query_id(coordinator, client, number);
                    let status = ask(&mut connection, addr, &id, number);
                    match status {
                        Ok(status) => lock(&answers).push(Answered { at: Instant::now(), status }),
                        // The coordinator may close a connection between two queries.
                        Err(_) => connection = None,
                    }
                    thread::sleep(PAUSE);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, answers, clients }
    }

    /// The answers so far.
    pub fn answers(&self) -> Vec<Answered> {
        lock(&self.answers).clone()
    }

    /// Stops the clients, and waits until they have ended.
    pub fn stop(mut self) -> Vec<Answered> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| client.join().unwrap());
        self.answers()
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// The coordinator that a part's id names.
pub fn coordinator_of(part: &str) -> Option<usize> {
    usize::from_str_radix(part.get(..4)?, 16).ok()
}

/// The id of a client's query to a coordinator.
pub fn query_id(coordinator: usize, client: u64, number: u64) -> String {
    format!("{coordinator:04x}{client:04x}{number:08x}")
}

/// A query for two parts.
pub fn query(id: &str, number: u64) -> String {
    let (first, second) = (number % SHARDS, (number + 1) % SHARDS);
    let body =
        format!(r#"{{"parts":[{{"id":{first},"w":0.5}},{{"id":{second},"w":0.5}}],"expr":"c41e77d0"}}"#);
    let head = format!(
        "POST /tag-lookup HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 2000m\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    head + &body
}

/// Asks for two parts on a connection that is kept; returns the answer's status.
fn ask(
    connection: &mut Option<BufReader<TcpStream>>,
    addr: SocketAddr,
    id: &str,
    number: u64,
) -> std::io::Result<u16> {
    if connection.is_none() {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LONGEST))?;
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut().unwrap();
    reader.get_mut().write_all(query(id, number).as_bytes())?;
    let answer = read_answer(reader)?;
    if answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
        *connection = None;
    }
    Ok(answer.status)
}
