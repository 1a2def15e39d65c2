//! The agent: requests of versions 2c and 3 are read, then answered from a tree.
//!
//! Reading and answering are two steps, since which tree answers depends on who asks ([`crate::walkers`]).

mod response;
mod security;

use rasn::types::{Integer, OctetString};
use rasn_snmp::v2::Pdus;
use rasn_snmp::{v2c, v3};

use crate::codec;
use crate::tree::{Value, View};
use crate::usm::{Keys, User};
use crate::v3_message::{self, Header, FLAG_AUTH, FLAG_PRIVACY};
use crate::Oid;

use self::security::SecurityError;

/// Bounds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bindings of a request, and of an answer.
    pub bindings: usize,
    /// Bytes of an answer.
    pub bytes: usize,
}

/// An agent: its engine, and the managers that it serves.
pub struct Agent {
    bounds: Bounds,
    community: Option<(String, View)>,
    users: Vec<(User, Keys)>,
    engine: Vec<u8>,
    boots: u32,
    /// The names of all objects that can be read, without instances.
    known: Vec<Oid>,
    /// The counts of `usmStats`.
    stats: [u32; STATS],
    salt: u64,
}

/// `usmStats` of RFC 3414, section 5: below this, objects 1 to 6.
const USM_STATS: [u32; 9] = [1, 3, 6, 1, 6, 3, 15, 1, 1];
const STATS: usize = 6;
/// The version number in a version 2c message.
pub(crate) const VERSION_2C: u32 = 1;
/// `snmpEngine` of RFC 3411, section 5: id, boots, time and the largest message.
const ENGINE: [u32; 9] = [1, 3, 6, 1, 6, 3, 10, 2, 1];

/// Where and how a response goes back.
#[derive(Debug, Clone)]
enum ReplyTo {
    V2c { community: OctetString },
    V3 { message_id: Integer, user: String, level: SecurityLevel, context: v3::ScopedPdu, max_bytes: usize },
}

/// How a version 3 message is secured, and the index of the user whose keys do it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SecurityLevel {
    NoAuth,
    Auth(usize),
    Privacy(usize),
}

/// A request that may be answered.
#[derive(Debug, Clone)]
pub struct Request {
    pdus: Pdus,
    reply_to: ReplyTo,
    view: View,
}

/// A message that was read.
#[derive(Debug)]
pub enum Incoming {
    /// Nothing that is answered.
    Drop,
    /// A report, which needs no tree.
    Reply(Vec<u8>),
    /// A request.
    Request(Box<Request>),
}

impl Request {
    /// For a walk: the name after which the next object is requested.
    pub fn walk_position(&self) -> Option<Oid> {
        let bindings = match &self.pdus {
            Pdus::GetNextRequest(r) => &r.0.variable_bindings,
            Pdus::GetBulkRequest(r) => &r.0.variable_bindings,
            _ => return None,
        };
        bindings.last().map(codec::oid)
    }
}

impl Agent {
    /// An agent that serves nobody yet; `known` are the names of the objects it serves, without instances.
    pub fn new(bounds: Bounds, engine: Vec<u8>, boots: u32, known: Vec<Oid>) -> Self {
        let (community, users, stats) = (None, Vec::new(), [0; STATS]);
        Self { bounds, community, users, engine, boots, known, stats, salt: 0 }
    }

    /// A community of version 2c may read what the view shows.
    pub fn admit_community(&mut self, community: String, view: View) {
        self.community = Some((community, view));
    }

    /// A user of version 3 may read what its view shows. Salts begin at a number that no earlier process used with these keys.
    pub fn admit_user(&mut self, user: User, salt: u64) {
        let keys = Keys::new(&user, &self.engine);
        self.users.push((user, keys));
        self.salt = salt;
    }

    /// The objects of the engine, and of the security errors it has counted.
    pub fn objects(&self, time_s: u32) -> Vec<(Oid, Value)> {
        let scalar = |base: &[u32], arc: u32| [base, &[arc, 0]].concat();
        let mut all = vec![
            (scalar(&ENGINE, 1), Value::Text(self.engine.clone())),
            (scalar(&ENGINE, 2), Value::Integer(self.boots as i32)),
            (scalar(&ENGINE, 3), Value::Integer(time_s as i32)),
            (scalar(&ENGINE, 4), Value::Integer(self.bounds.bytes as i32)),
        ];
        all.extend((1..).zip(self.stats).map(|(n, count)| (scalar(&USM_STATS, n), Value::Counter32(count))));
        all
    }

    /// Messages of version 3 that were not served for their security, other than those that only discover the engine.
    pub fn denied(&self) -> u64 {
        let discovery = SecurityError::UnknownEngine.index();
        self.stats
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != discovery)
            .map(|(_, &count)| u64::from(count))
            .sum()
    }

    /// Reads a message, at this time of the engine in seconds.
    pub fn read(&mut self, bytes: &[u8], time_s: u32) -> Incoming {
        if let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(bytes) {
            return self.read_v2c(message);
        }
        match rasn::ber::decode::<v3::Message>(bytes) {
            Ok(message) => self.read_v3(bytes, &message, time_s).unwrap_or(Incoming::Drop),
            Err(_) => Incoming::Drop,
        }
    }

    fn read_v2c(&self, message: v2c::Message<Pdus>) -> Incoming {
        let known = self.community.as_ref().filter(|c| c.0.as_bytes() == message.community.as_ref());
        let (Some((_, view)), true) = (known, message.version == Integer::from(VERSION_2C)) else {
            return Incoming::Drop;
        };
        let reply_to = ReplyTo::V2c { community: message.community };
        accept(message.data, reply_to, view.clone())
    }

    /// Encodes a version 3 message to a user.
    fn encode_v3(
        &mut self,
        message_id: &Integer,
        user: &str,
        level: SecurityLevel,
        scoped: v3::ScopedPdu,
        time_s: u32,
    ) -> Option<Vec<u8>> {
        let keys_of = |index: usize| self.users.get(index).map(|(_, keys)| keys);
        let (flags, keys) = match level {
            SecurityLevel::NoAuth => (0, None),
            SecurityLevel::Auth(index) => (FLAG_AUTH, keys_of(index)),
            SecurityLevel::Privacy(index) => (FLAG_AUTH | FLAG_PRIVACY, keys_of(index)),
        };
        self.salt = self.salt.wrapping_add(1);
        let header = Header {
            message_id,
            flags,
            engine_id: &self.engine,
            boots: self.boots,
            time_s,
            user,
            salt: self.salt,
            max_bytes: self.bounds.bytes,
        };
        v3_message::encode(&header, keys, scoped)
    }
}

/// A request that may be answered; other messages are dropped.
fn accept(pdus: Pdus, reply_to: ReplyTo, view: View) -> Incoming {
    match pdus {
        Pdus::GetRequest(_) | Pdus::GetNextRequest(_) | Pdus::GetBulkRequest(_) | Pdus::SetRequest(_) => {
            Incoming::Request(Box::new(Request { pdus, reply_to, view }))
        }
        _ => Incoming::Drop,
    }
}
