//! Sends requests to an agent over UDP, with retries.

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use curlewdeck_snmp::manager::{BindingValue, Reply, Request, Session};
use curlewdeck_snmp::Oid;

use super::{SnmpToolError, MAX_DATAGRAM_BYTES};

/// Variable bindings of a response.
type Bindings = Vec<(Oid, BindingValue)>;

/// Outcome of one attempt of a request.
enum AttemptOutcome {
    Answered(Bindings),
    /// The agent reported its engine or engine time; the request must be sent again.
    EngineDiscovered,
    TimedOut,
}

/// Sends requests to one agent.
pub(super) struct Requester {
    session: Session,
    socket: UdpSocket,
    timeout: Duration,
    max_attempts: u32,
    started_at: Instant,
}

impl Requester {
    /// `socket` must be connected to the agent.
    pub(super) fn new(session: Session, socket: UdpSocket, timeout: Duration, max_attempts: u32) -> Self {
        Self { session, socket, timeout, max_attempts, started_at: Instant::now() }
    }

    /// Sends a request up to `max_attempts` times; attempts that only discover the engine are not counted.
    pub(super) fn request(&mut self, request: &Request) -> Result<Bindings, SnmpToolError> {
        self.session.begin_request();
        let mut attempts_left = self.max_attempts;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while attempts_left > 0 {
            match self.attempt(request, &mut buffer)? {
                AttemptOutcome::Answered(bindings) => return Ok(bindings),
                AttemptOutcome::EngineDiscovered => {}
                AttemptOutcome::TimedOut => attempts_left -= 1,
            }
        }
        Err(SnmpToolError::NoAnswer { attempts: self.max_attempts, timeout_ms: self.timeout.as_millis() })
    }

    fn attempt(&mut self, request: &Request, buffer: &mut [u8]) -> Result<AttemptOutcome, SnmpToolError> {
        let bytes = self.session.encode_request(request, self.now_s()).ok_or(SnmpToolError::Unencodable)?;
        self.socket.send(&bytes)?;
        let sent_at = Instant::now();
        while let Some(wait) = self.timeout.checked_sub(sent_at.elapsed()).filter(|w| !w.is_zero()) {
            self.socket.set_read_timeout(Some(wait))?;
            let size = match self.socket.recv(buffer) {
                Ok(size) => size,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(e.into()),
            };
            match self.session.decode_reply(&buffer[..size], self.now_s())? {
                Reply::Bindings(bindings) => return Ok(AttemptOutcome::Answered(bindings)),
                Reply::OtherRequest => {}
                Reply::Retry => return Ok(AttemptOutcome::EngineDiscovered),
            }
        }
        Ok(AttemptOutcome::TimedOut)
    }

    fn now_s(&self) -> u32 {
        u32::try_from(self.started_at.elapsed().as_secs()).unwrap_or(u32::MAX)
    }
}
