//! The agent: requests of versions 2c and 3 are read, then answered from a tree.
//!
//! Reading and answering are two steps, since which tree answers depends on who asks ([`crate::walkers`]).

use rasn::types::{Integer, OctetString};
use rasn_snmp::v2::{Pdu, Pdus, Report, Response, VarBind, VarBindValue};
use rasn_snmp::{v2c, v3};

use crate::codec::{self, bind};
use crate::tree::{Tree, Value, View};
use crate::usm::{digest_at, in_time, Keys, User, DIGEST_BYTES};
use crate::Oid;

/// Bounds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bindings of a request, and of an answer.
    pub bindings: usize,
    /// Bytes of an answer.
    pub bytes: usize,
}

/// Who may ask, and who answers.
pub struct Agent {
    bounds: Bounds,
    community: Option<(String, View)>,
    users: Vec<(User, Keys)>,
    engine: Vec<u8>,
    boots: u32,
    /// The names of all objects that can be read, without instances.
    known: Vec<Oid>,
    stats: [u32; STATS],
    salt: u64,
}

/// `usmStats` of RFC 3414, section 5: below this, objects 1 to 6.
const USM_STATS: [u32; 9] = [1, 3, 6, 1, 6, 3, 15, 1, 1];
const STATS: usize = 6;
/// `snmpEngine` of RFC 3411, section 5: id, boots, time and the largest message.
const ENGINE: [u32; 9] = [1, 3, 6, 1, 6, 3, 10, 2, 1];

/// What is wrong with a message's security, by the number of its object below `usmStats`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    Level = 1,
    Window = 2,
    User = 3,
    Engine = 4,
    Digest = 5,
    Decryption = 6,
}

/// How an answer goes back.
#[derive(Debug, Clone)]
enum Back {
    V2c { community: OctetString },
    V3 { message: Integer, user: String, secure: Secure, context: v3::ScopedPdu, most: usize },
}

/// How messages of a user are secured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Secure {
    Clear,
    Auth(usize),
    Privacy(usize),
}

/// A request that may be answered.
#[derive(Debug, Clone)]
pub struct Request {
    pdus: Pdus,
    back: Back,
    view: View,
}

/// What has come.
#[derive(Debug)]
pub enum Incoming {
    /// Nothing that is answered.
    Drop,
    /// An answer that needs no tree: a report.
    Reply(Vec<u8>),
    /// A request.
    Ask(Box<Request>),
}

impl Request {
    /// For a walk: the name behind which the next object is wanted.
    pub fn behind(&self) -> Option<Oid> {
        let bindings = match &self.pdus {
            Pdus::GetNextRequest(r) => &r.0.variable_bindings,
            Pdus::GetBulkRequest(r) => &r.0.variable_bindings,
            _ => return None,
        };
        bindings.last().map(codec::oid)
    }
}

const REPORTABLE: u8 = 4;
const AUTH: u8 = 1;
const PRIVACY: u8 = 2;
/// The least that every peer takes (RFC 3412, section 6).
const LEAST_BYTES: usize = 484;

impl Agent {
    /// An agent that nobody may ask yet; `known` are the names of the objects it serves, without instances.
    pub fn new(bounds: Bounds, engine: Vec<u8>, boots: u32, known: Vec<Oid>) -> Self {
        let (community, users, stats) = (None, Vec::new(), [0; STATS]);
        Self { bounds, community, users, engine, boots, known, stats, salt: 0 }
    }

    /// A community of version 2c may read what the view shows.
    pub fn admit_community(&mut self, community: String, view: View) {
        self.community = Some((community, view));
    }

    /// A user of version 3 may. Salts begin at a number that no earlier process used with these keys.
    pub fn admit_user(&mut self, user: User, salt: u64) {
        let keys = Keys::new(&user, &self.engine);
        self.users.push((user, keys));
        self.salt = salt;
    }

    /// Objects of its own: the engine's, and what was wrong with messages.
    pub fn objects(&self, time: u32) -> Vec<(Oid, Value)> {
        let at = |base: &[u32], n: u32| [base, &[n, 0]].concat();
        let mut all = vec![
            (at(&ENGINE, 1), Value::Text(self.engine.clone())),
            (at(&ENGINE, 2), Value::Integer(self.boots as i32)),
            (at(&ENGINE, 3), Value::Integer(time as i32)),
            (at(&ENGINE, 4), Value::Integer(self.bounds.bytes as i32)),
        ];
        all.extend((1..).zip(self.stats).map(|(n, count)| (at(&USM_STATS, n), Value::Counter32(count))));
        all
    }

    /// Messages of version 3 that were not served for their security, other than those that only look for the engine.
    pub fn denied(&self) -> u64 {
        let seeks = Wrong::Engine as usize - 1;
        self.stats.iter().enumerate().filter(|(n, _)| *n != seeks).map(|(_, &count)| u64::from(count)).sum()
    }

    /// Reads a message, at this time of the engine in seconds.
    pub fn read(&mut self, bytes: &[u8], time: u32) -> Incoming {
        if let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(bytes) {
            return self.read_v2c(message);
        }
        match rasn::ber::decode::<v3::Message>(bytes) {
            Ok(message) => self.read_v3(bytes, &message, time).unwrap_or(Incoming::Drop),
            Err(_) => Incoming::Drop,
        }
    }

    fn read_v2c(&self, message: v2c::Message<Pdus>) -> Incoming {
        let own = self.community.as_ref().filter(|c| c.0.as_bytes() == message.community.as_ref());
        let (Some((_, view)), true) = (own, message.version == Integer::from(1)) else {
            return Incoming::Drop;
        };
        let back = Back::V2c { community: message.community };
        ask(message.data, back, view.clone())
    }

    fn read_v3(&mut self, bytes: &[u8], message: &v3::Message, time: u32) -> Option<Incoming> {
        let flags = *message.global_data.flags.first()?;
        let usm: v3::USMSecurityParameters = message
            .decode_security_parameters(rasn::Codec::Ber)
            .ok()
            .filter(|_| message.version == Integer::from(3))?;
        let id = message.global_data.message_id.clone();
        let most = usize::try_from(message.global_data.max_size.clone()).ok()?.max(LEAST_BYTES);
        let reportable = flags & REPORTABLE != 0;
        // A message that is not secured as its flags say is reported in clear text.
        let report = |agent: &mut Self, wrong: Wrong, secure: Secure| {
            agent.stats[wrong as usize - 1] = agent.stats[wrong as usize - 1].wrapping_add(1);
            let count = Value::Counter32(agent.stats[wrong as usize - 1]);
            let name = [&USM_STATS[..], &[wrong as u32, 0]].concat();
            let pdu = Pdu {
                request_id: 0,
                error_status: 0,
                error_index: 0,
                variable_bindings: vec![bind(&name, &count)],
            };
            let scoped = v3::ScopedPdu {
                engine_id: agent.engine.clone().into(),
                name: OctetString::default(),
                data: Pdus::Report(Report(pdu)),
            };
            let user = String::from_utf8_lossy(&usm.user_name).into_owned();
            let text = agent.write_v3(&id, &user, secure, scoped, time);
            Some(text.filter(|_| reportable).map_or(Incoming::Drop, Incoming::Reply))
        };
        if usm.authoritative_engine_id.as_ref() != self.engine {
            return report(self, Wrong::Engine, Secure::Clear);
        }
        let Some(user) = self.users.iter().position(|u| u.0.name.as_bytes() == usm.user_name.as_ref()) else {
            return report(self, Wrong::User, Secure::Clear);
        };
        let keys = self.users[user].1.clone();
        let wants_privacy = flags & PRIVACY != 0;
        // Whoever has keys must use them: nothing is served for a name alone.
        if flags & AUTH == 0 || wants_privacy != keys.private() {
            return report(self, Wrong::Level, Secure::Clear);
        }
        let at = digest_at(bytes).filter(|at| at.len() == DIGEST_BYTES);
        let good = at.is_some_and(|at| {
            let mut blank = bytes.to_vec();
            blank[at.clone()].fill(0);
            keys.verifies(&blank, &bytes[at])
        });
        if !good {
            return report(self, Wrong::Digest, Secure::Clear);
        }
        let number = |n: &Integer| u32::try_from(n.clone()).ok();
        let theirs = (number(&usm.authoritative_engine_boots)?, number(&usm.authoritative_engine_time)?);
        if !in_time((self.boots, time), theirs) {
            return report(self, Wrong::Window, Secure::Auth(user));
        }
        let scoped = match (&message.scoped_data, wants_privacy) {
            (v3::ScopedPduData::CleartextPdu(scoped), false) => Some(scoped.clone()),
            (v3::ScopedPduData::EncryptedPdu(data), true) => {
                let mut data = data.to_vec();
                let salt = <[u8; 8]>::try_from(usm.privacy_parameters.as_ref()).ok();
                let read = salt.filter(|salt| keys.decrypt(theirs.0, theirs.1, *salt, &mut data));
                read.and_then(|_| rasn::ber::decode::<v3::ScopedPdu>(&data).ok())
            }
            _ => None,
        };
        let Some(scoped) = scoped else { return report(self, Wrong::Decryption, Secure::Clear) };
        let secure = if wants_privacy { Secure::Privacy(user) } else { Secure::Auth(user) };
        let (name, view) = (self.users[user].0.name.clone(), self.users[user].0.view.clone());
        let pdus = scoped.data.clone();
        Some(ask(pdus, Back::V3 { message: id, user: name, secure, context: scoped, most }, view))
    }

    /// Answers a request from a tree, at this time of the engine.
    pub fn answer(&mut self, request: &Request, tree: &Tree, time: u32) -> Option<Vec<u8>> {
        let (id, asked) = match &request.pdus {
            Pdus::GetRequest(r) => (r.0.request_id, &r.0.variable_bindings),
            Pdus::GetNextRequest(r) => (r.0.request_id, &r.0.variable_bindings),
            Pdus::SetRequest(r) => (r.0.request_id, &r.0.variable_bindings),
            Pdus::GetBulkRequest(r) => (r.0.request_id, &r.0.variable_bindings),
            _ => return None,
        };
        let most = match &request.back {
            Back::V2c { .. } => self.bounds.bytes,
            Back::V3 { most, .. } => self.bounds.bytes.min(*most),
        };
        let room = most.saturating_sub(self.overhead(&request.back));
        let pdu = |error_status, error_index, variable_bindings| Pdu {
            request_id: id,
            error_status,
            error_index,
            variable_bindings,
        };
        let too_big = || pdu(Pdu::ERROR_STATUS_TOO_BIG, 0, Vec::new());
        let answer = if asked.len() > self.bounds.bindings {
            too_big()
        } else {
            let view = &request.view;
            match &request.pdus {
                Pdus::GetRequest(_) => pdu(0, 0, asked.iter().map(|b| self.exact(tree, view, b)).collect()),
                Pdus::GetNextRequest(_) => pdu(0, 0, asked.iter().map(|b| next(tree, view, b)).collect()),
                Pdus::GetBulkRequest(r) => {
                    let (once, rounds) = (r.0.non_repeaters as usize, r.0.max_repetitions as usize);
                    pdu(0, 0, self.bulk(tree, view, asked, once, rounds, room))
                }
                _ => pdu(Pdu::ERROR_STATUS_NOT_WRITABLE, u32::from(!asked.is_empty()), asked.clone()),
            }
        };
        let fits = |pdu: &Pdu| pdu.variable_bindings.iter().map(size).sum::<usize>() <= room;
        let answer = if fits(&answer) { answer } else { too_big() };
        let data = Pdus::Response(Response(answer));
        match &request.back {
            Back::V2c { community } => {
                let message = v2c::Message { version: 1.into(), community: community.clone(), data };
                rasn::ber::encode(&message).ok()
            }
            Back::V3 { message, user, secure, context, .. } => {
                self.write_v3(message, user, *secure, v3::ScopedPdu { data, ..context.clone() }, time)
            }
        }
    }

    /// Bytes of an answer beside its bindings, at the most.
    fn overhead(&self, back: &Back) -> usize {
        match back {
            Back::V2c { community } => 64 + community.len(),
            Back::V3 { user, context, .. } => 160 + user.len() + 2 * self.engine.len() + context.name.len(),
        }
    }

    fn exact(&self, tree: &Tree, view: &View, asked: &VarBind) -> VarBind {
        let name = codec::oid(asked);
        let value = match tree.get(&name) {
            Some(value) if view.admits(&name) => VarBindValue::Value(codec::syntax(value)),
            // The object is there, but not this instance of it.
            _ if view.admits(&name) && self.known.iter().any(|k| name.starts_with(k)) => {
                VarBindValue::NoSuchInstance
            }
            _ => VarBindValue::NoSuchObject,
        };
        VarBind { name: asked.name.clone(), value }
    }

    /// RFC 3416, section 4.2.3: as many rounds as were asked for, as long as they fit.
    fn bulk(
        &self,
        tree: &Tree,
        view: &View,
        asked: &[VarBind],
        once: usize,
        rounds: usize,
        room: usize,
    ) -> Vec<VarBind> {
        let (first, repeated) = asked.split_at(once.min(asked.len()));
        let mut found: Vec<VarBind> = Vec::new();
        let mut used = 0;
        let mut push = |found: &mut Vec<VarBind>, binding: VarBind| {
            used += size(&binding);
            let fits = used <= room && found.len() < self.bounds.bindings;
            if fits {
                found.push(binding);
            }
            fits
        };
        for binding in first {
            if !push(&mut found, next(tree, view, binding)) {
                return found;
            }
        }
        let mut row = repeated.to_vec();
        for _ in 0..rounds {
            if row.is_empty() {
                break;
            }
            row = row.iter().map(|b| next(tree, view, b)).collect();
            if !row.iter().all(|b| push(&mut found, b.clone())) {
                break;
            }
            if row.iter().all(|b| b.value == VarBindValue::EndOfMibView) {
                break;
            }
        }
        found
    }

    fn write_v3(
        &mut self,
        message: &Integer,
        user: &str,
        secure: Secure,
        scoped: v3::ScopedPdu,
        time: u32,
    ) -> Option<Vec<u8>> {
        let (flags, keys) = match secure {
            Secure::Clear => (0, None),
            Secure::Auth(user) => (AUTH, self.users.get(user).map(|u| &u.1)),
            Secure::Privacy(user) => (AUTH | PRIVACY, self.users.get(user).map(|u| &u.1)),
        };
        self.salt = self.salt.wrapping_add(1);
        let sealing = Sealing { boots: self.boots, time, salt: self.salt, most: self.bounds.bytes };
        seal(message, flags, &self.engine, user, keys, scoped, &sealing)
    }
}

/// What else a sealed message needs.
pub(crate) struct Sealing {
    pub boots: u32,
    pub time: u32,
    pub salt: u64,
    pub most: usize,
}

/// Writes a version 3 message, encrypted and with its digest as the flags say.
pub(crate) fn seal(
    message: &Integer,
    flags: u8,
    engine: &[u8],
    user: &str,
    keys: Option<&Keys>,
    scoped: v3::ScopedPdu,
    with: &Sealing,
) -> Option<Vec<u8>> {
    let mut salt = Vec::new();
    let scoped_data = if flags & PRIVACY != 0 {
        let mut data = rasn::ber::encode(&scoped).ok()?;
        keys?.encrypt(with.boots, with.time, with.salt, &mut data).then_some(())?;
        salt = with.salt.to_be_bytes().to_vec();
        v3::ScopedPduData::EncryptedPdu(data.into())
    } else {
        v3::ScopedPduData::CleartextPdu(scoped)
    };
    let digest = if flags & AUTH != 0 { vec![0; DIGEST_BYTES] } else { Vec::new() };
    let usm = v3::USMSecurityParameters {
        authoritative_engine_id: engine.to_vec().into(),
        authoritative_engine_boots: with.boots.into(),
        authoritative_engine_time: with.time.into(),
        user_name: user.as_bytes().to_vec().into(),
        authentication_parameters: digest.into(),
        privacy_parameters: salt.into(),
    };
    let mut whole = v3::Message {
        version: 3.into(),
        global_data: v3::HeaderData {
            message_id: message.clone(),
            max_size: Integer::from(with.most as u64),
            flags: vec![flags].into(),
            security_model: 3.into(),
        },
        security_parameters: OctetString::default(),
        scoped_data,
    };
    whole.encode_security_parameters(rasn::Codec::Ber, &usm).ok()?;
    let mut bytes = rasn::ber::encode(&whole).ok()?;
    if flags & AUTH != 0 {
        let digest = keys?.digest(&bytes);
        let at = digest_at(&bytes).filter(|at| at.len() == DIGEST_BYTES)?;
        bytes[at].copy_from_slice(&digest);
    }
    Some(bytes)
}

fn ask(pdus: Pdus, back: Back, view: View) -> Incoming {
    match pdus {
        Pdus::GetRequest(_) | Pdus::GetNextRequest(_) | Pdus::GetBulkRequest(_) | Pdus::SetRequest(_) => {
            Incoming::Ask(Box::new(Request { pdus, back, view }))
        }
        _ => Incoming::Drop,
    }
}

fn next(tree: &Tree, view: &View, asked: &VarBind) -> VarBind {
    match tree.next(&codec::oid(asked), view) {
        Some((name, value)) => bind(name, value),
        None => VarBind { name: asked.name.clone(), value: VarBindValue::EndOfMibView },
    }
}

/// Bytes of a binding.
fn size(binding: &VarBind) -> usize {
    rasn::ber::encode(binding).map_or(usize::MAX / 4, |bytes| bytes.len())
}
