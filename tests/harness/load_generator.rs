//! Closed-loop clients of one coordinator: each sends its next query after the previous answer, and records the
//! answers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::stand_in::lock;
use super::stand_in::read_answer;

/// An answer's status and the moment of its arrival.
#[derive(Debug, Clone, Copy)]
pub struct TimedAnswer {
    pub at: Instant,
    pub status: u16,
}

/// A set of clients that send queries until they are stopped.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<TimedAnswer>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

/// Pause between an answer and the client's next query.
const PAUSE: Duration = Duration::from_millis(10);
/// The clients' read timeout, longer than the 2 s in the `X-Timeout` header of their queries.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of queries of one client, so that its loop ends even if it is never stopped.
const MAX_QUERIES: u64 = 10_000;
const SHARDS: u64 = 4;

impl LoadGenerator {
    /// Starts clients whose query ids begin with the coordinator's number.
    pub fn start(addr: SocketAddr, coordinator: usize, clients: u64) -> Self {
        let (stop, answers) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<TimedAnswer>>>::default());
        let client = |client: u64| {
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut connection = None;
                for number in (0..MAX_QUERIES).take_while(|_| !stop.load(Ordering::SeqCst)) {
                    let id = query_id(coordinator, client, number);
                    let status = send_query(&mut connection, addr, &id, number);
                    match status {
                        Ok(status) => lock(&answers).push(TimedAnswer { at: Instant::now(), status }),
                        // The coordinator may close an idle connection between two queries.
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
    pub fn answers(&self) -> Vec<TimedAnswer> {
        lock(&self.answers).clone()
    }

    /// Stops the clients and waits for their threads; returns all answers.
    pub fn stop(mut self) -> Vec<TimedAnswer> {
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

/// Parses the coordinator's number from a part's id.
pub fn coordinator_of(part: &str) -> Option<usize> {
    usize::from_str_radix(part.get(..4)?, 16).ok()
}

/// Composes a query's id from the numbers of the coordinator, the client and the query.
pub fn query_id(coordinator: usize, client: u64, number: u64) -> String {
    format!("{coordinator:04x}{client:04x}{number:08x}")
}

/// Renders a query of two parts.
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

/// Sends a query of two parts on a persistent connection; returns the answer's status.
fn send_query(
    connection: &mut Option<BufReader<TcpStream>>,
    addr: SocketAddr,
    id: &str,
    number: u64,
) -> std::io::Result<u16> {
    if connection.is_none() {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
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
