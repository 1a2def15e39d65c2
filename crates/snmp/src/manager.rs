//! The manager, without I/O: it encodes requests, reads replies, and walks subtrees.

use std::fmt;

use rasn::types::{Integer, OctetString};
use rasn_snmp::v2::{BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, Pdu, Pdus, VarBindValue};
use rasn_snmp::{v2c, v3};

use crate::agent::VERSION_2C;
use crate::codec::{self, unset};
use crate::tree::Value;
use crate::usm::{Keys, User};
use crate::v3_message::{self, has_valid_digest, Header, FLAG_AUTH, FLAG_PRIVACY, FLAG_REPORTABLE};
use crate::{dotted, Oid};

/// The credentials of a manager at an agent.
#[derive(Debug, Clone)]
pub enum Security {
    /// Version 2c.
    Community(String),
    /// Version 3.
    User(User),
}

/// What an agent answered for a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BindingValue {
    /// Its value.
    Value(Value),
    /// There is no such object.
    NoObject,
    /// There is the object, but not this instance.
    NoInstance,
    /// Nothing follows.
    End,
}

impl fmt::Display for BindingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(value) => write!(f, "Value({value:?})"),
            Self::NoObject => f.write_str("NoObject"),
            Self::NoInstance => f.write_str("NoInstance"),
            Self::End => f.write_str("End"),
        }
    }
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// These objects.
    Get(Vec<Oid>),
    /// The objects after these.
    Next(Vec<Oid>),
    /// The objects after these, in so many repetitions.
    Bulk(Vec<Oid>, u32),
}

/// The outcome of a datagram received for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Bindings.
    Bindings(Vec<(Oid, BindingValue)>),
    /// The request has to be sent again: the agent's engine, or its time, is known now.
    Retry,
    /// It answers another request.
    NotOurs,
}

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManagerError {
    /// The agent's answer cannot be read.
    Malformed,
    /// An error status of RFC 3416, and the binding that it is about.
    Status(u32, u32),
    /// A report of the agent: the security is wrong; the name of the object.
    Report(Oid),
    /// The reply was changed, or is from somebody else.
    WrongDigest,
    /// An object does not follow the one before: a walk would not end.
    Backwards(Oid),
}

impl fmt::Display for ManagerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("the answer cannot be read"),
            Self::Status(1, _) => f.write_str("the answer would be too big"),
            Self::Status(status, index) => write!(f, "error status {status} for binding {index}"),
            Self::Report(oid) => f.write_str(match oid.get(USM_STATS_ARC) {
                Some(1) => "the agent does not serve this security level to this user",
                Some(2) => "the agent's time differs too much",
                Some(3) => "the agent does not know this user",
                Some(4) => "the agent's engine is another one",
                Some(5) => "the agent finds the digest wrong: a wrong secret?",
                Some(6) => "the agent cannot decrypt: a wrong privacy secret?",
                _ => return write!(f, "the agent reports {}", dotted(oid)),
            }),
            Self::WrongDigest => f.write_str("the answer's digest is wrong"),
            Self::Backwards(oid) => write!(f, "the agent goes backwards at {}", dotted(oid)),
        }
    }
}

impl std::error::Error for ManagerError {}

/// What is known of an agent's engine.
#[derive(Debug, Clone)]
struct Engine {
    id: Vec<u8>,
    keys: Keys,
    boots: u32,
    /// Its time, and ours at that moment, in seconds.
    time: (u32, u32),
}

/// A manager and one agent.
#[derive(Debug, Clone)]
pub struct Session {
    security: Security,
    engine: Option<Engine>,
    request: i32,
    salt: u64,
    /// Reports that were followed for the open request.
    reports_followed: u32,
}

/// The largest payload of a UDP datagram over IPv4.
const MAX_MESSAGE_BYTES: usize = 65_507;
/// Discovery and one correction of the time.
const MAX_REPORTS_FOLLOWED: u32 = 2;
/// The place of the error's number in the name of an object of `usmStats`.
const USM_STATS_ARC: usize = 9;
/// Errors of `usmStats` that a manager recovers from.
const NOT_IN_TIME_WINDOW: u32 = 2;
const UNKNOWN_ENGINE: u32 = 4;

impl Session {
    /// A session without requests; requests are numbered from `first`, salts from `salt`.
    pub fn new(security: Security, first: i32, salt: u64) -> Self {
        Self { security, engine: None, request: first, salt, reports_followed: 0 }
    }

    /// Begins a further request.
    pub fn begin(&mut self) {
        self.request = self.request.wrapping_add(1) & i32::MAX;
        self.reports_followed = 0;
    }

    /// The bytes of the request, at this time of ours in seconds; for an agent whose engine is not known yet, those of
    /// its discovery.
    pub fn write(&mut self, what: &Request, now: u32) -> Option<Vec<u8>> {
        let data = pdus(what, self.request);
        match &self.security {
            Security::Community(community) => {
                let community: OctetString = community.as_bytes().to_vec().into();
                rasn::ber::encode(&v2c::Message { version: VERSION_2C.into(), community, data }).ok()
            }
            Security::User(user) => {
                self.salt = self.salt.wrapping_add(1);
                match &self.engine {
                    Some(engine) => self.write_v3(user, engine, data, now),
                    None => self.write_discovery(),
                }
            }
        }
    }

    /// A request of version 3 to a known engine.
    fn write_v3(&self, user: &User, engine: &Engine, data: Pdus, now: u32) -> Option<Vec<u8>> {
        let privacy_flag = if user.privacy.is_some() { FLAG_PRIVACY } else { 0 };
        let header = Header {
            message_id: &Integer::from(self.request),
            flags: FLAG_REPORTABLE | FLAG_AUTH | privacy_flag,
            engine_id: &engine.id,
            boots: engine.boots,
            time_s: engine.time.0.saturating_add(now.saturating_sub(engine.time.1)),
            user: &user.name,
            salt: self.salt,
            max_bytes: MAX_MESSAGE_BYTES,
        };
        let scoped =
            v3::ScopedPdu { engine_id: engine.id.clone().into(), name: OctetString::default(), data };
        v3_message::encode(&header, Some(&engine.keys), scoped)
    }

    /// A request that the agent answers with a report of its engine (RFC 3414, section 4).
    fn write_discovery(&self) -> Option<Vec<u8>> {
        let header = Header {
            message_id: &Integer::from(self.request),
            flags: FLAG_REPORTABLE,
            engine_id: &[],
            boots: 0,
            time_s: 0,
            user: "",
            salt: 0,
            max_bytes: MAX_MESSAGE_BYTES,
        };
        let scoped = v3::ScopedPdu {
            engine_id: OctetString::default(),
            name: OctetString::default(),
            data: pdus(&Request::Get(Vec::new()), self.request),
        };
        v3_message::encode(&header, None, scoped)
    }

    /// Reads a datagram received for the open request.
    ///
    /// # Errors
    /// The request has failed.
    pub fn read(&mut self, bytes: &[u8], now: u32) -> Result<Reply, ManagerError> {
        match self.security.clone() {
            Security::Community(_) => {
                let message: v2c::Message<Pdus> =
                    rasn::ber::decode(bytes).map_err(|_| ManagerError::Malformed)?;
                self.bindings(&message.data)
            }
            Security::User(user) => self.read_v3(&user, bytes, now),
        }
    }

    fn read_v3(&mut self, user: &User, bytes: &[u8], now: u32) -> Result<Reply, ManagerError> {
        let message: v3::Message = rasn::ber::decode(bytes).map_err(|_| ManagerError::Malformed)?;
        let usm: v3::USMSecurityParameters =
            message.decode_security_parameters(rasn::Codec::Ber).map_err(|_| ManagerError::Malformed)?;
        if message.global_data.message_id != Integer::from(self.request) {
            return Ok(Reply::NotOurs);
        }
        let number = |n: &Integer| u32::try_from(n.clone()).map_err(|_| ManagerError::Malformed);
        let (boots, time) =
            (number(&usm.authoritative_engine_boots)?, number(&usm.authoritative_engine_time)?);
        let flags = message.global_data.flags.first().copied().unwrap_or(0);
        let known = self.engine.as_ref().filter(|e| e.id == usm.authoritative_engine_id.as_ref());
        let authenticated = flags & FLAG_AUTH != 0;
        if authenticated && !known.is_some_and(|engine| has_valid_digest(bytes, &engine.keys)) {
            return Err(ManagerError::WrongDigest);
        }
        let scoped = decrypted(&message.scoped_data, &usm, known, (boots, time))?;
        let Pdus::Report(report) = &scoped.data else {
            // A reply that is not authenticated is not accepted.
            authenticated.then_some(()).ok_or(ManagerError::WrongDigest)?;
            return self.bindings(&scoped.data);
        };
        let oid = report.0.variable_bindings.first().map(codec::oid).unwrap_or_default();
        let error = oid.get(USM_STATS_ARC);
        let engine_discovered = error == Some(&UNKNOWN_ENGINE);
        let time_corrected = error == Some(&NOT_IN_TIME_WINDOW) && authenticated;
        self.reports_followed += 1;
        if self.reports_followed > MAX_REPORTS_FOLLOWED || !(engine_discovered || time_corrected) {
            return Err(ManagerError::Report(oid));
        }
        let id = usm.authoritative_engine_id.to_vec();
        let keys = known.map_or_else(|| Keys::new(user, &id), |e| e.keys.clone());
        self.engine = Some(Engine { id, keys, boots, time: (time, now) });
        Ok(Reply::Retry)
    }

    fn bindings(&self, data: &Pdus) -> Result<Reply, ManagerError> {
        let Pdus::Response(answer) = data else { return Err(ManagerError::Malformed) };
        let answer = &answer.0;
        if answer.request_id != self.request {
            return Ok(Reply::NotOurs);
        }
        if answer.error_status != 0 {
            return Err(ManagerError::Status(answer.error_status, answer.error_index));
        }
        let mut found = Vec::with_capacity(answer.variable_bindings.len());
        for binding in &answer.variable_bindings {
            let got = match &binding.value {
                VarBindValue::Value(value) => {
                    BindingValue::Value(codec::value(value).ok_or(ManagerError::Malformed)?)
                }
                VarBindValue::NoSuchObject => BindingValue::NoObject,
                VarBindValue::NoSuchInstance => BindingValue::NoInstance,
                VarBindValue::EndOfMibView => BindingValue::End,
                VarBindValue::Unspecified => return Err(ManagerError::Malformed),
            };
            found.push((codec::oid(binding), got));
        }
        Ok(Reply::Bindings(found))
    }
}

/// The content of a message, decrypted with the keys of its engine where it is encrypted.
fn decrypted(
    scoped_data: &v3::ScopedPduData,
    usm: &v3::USMSecurityParameters,
    engine: Option<&Engine>,
    (boots, time_s): (u32, u32),
) -> Result<v3::ScopedPdu, ManagerError> {
    match scoped_data {
        v3::ScopedPduData::CleartextPdu(scoped) => Ok(scoped.clone()),
        v3::ScopedPduData::EncryptedPdu(data) => {
            let mut data = data.to_vec();
            let salt =
                <[u8; 8]>::try_from(usm.privacy_parameters.as_ref()).map_err(|_| ManagerError::Malformed)?;
            let engine = engine.ok_or(ManagerError::Malformed)?;
            engine
                .keys
                .decrypt(boots, time_s, salt, &mut data)
                .then_some(())
                .ok_or(ManagerError::Malformed)?;
            rasn::ber::decode(&data).map_err(|_| ManagerError::Malformed)
        }
    }
}

fn pdus(what: &Request, request_id: i32) -> Pdus {
    let bindings = |names: &[Oid]| names.iter().map(|n| unset(n)).collect();
    let pdu = |names: &[Oid]| Pdu {
        request_id,
        error_status: 0,
        error_index: 0,
        variable_bindings: bindings(names),
    };
    match what {
        Request::Get(names) => Pdus::GetRequest(GetRequest(pdu(names))),
        Request::Next(names) => Pdus::GetNextRequest(GetNextRequest(pdu(names))),
        Request::Bulk(names, max_repetitions) => Pdus::GetBulkRequest(GetBulkRequest(BulkPdu {
            request_id,
            non_repeaters: 0,
            max_repetitions: *max_repetitions,
            variable_bindings: bindings(names),
        })),
    }
}

/// A walk through a subtree.
#[derive(Debug, Clone)]
pub struct Walk {
    root: Oid,
    position: Oid,
    max_repetitions: u32,
    done: bool,
}

impl Walk {
    /// A walk through what lies below `root`, in requests of so many repetitions.
    pub fn new(root: Oid, max_repetitions: u32) -> Self {
        Self { position: root.clone(), root, max_repetitions: max_repetitions.max(1), done: false }
    }

    /// The next request; none at the end.
    pub fn next_request(&self) -> Option<Request> {
        (!self.done).then(|| Request::Bulk(vec![self.position.clone()], self.max_repetitions))
    }

    /// Handles an answer; returns the objects of the subtree.
    ///
    /// # Errors
    /// The agent goes backwards, or answers nothing.
    pub fn handle_answer(
        &mut self,
        bindings: Vec<(Oid, BindingValue)>,
    ) -> Result<Vec<(Oid, Value)>, ManagerError> {
        if bindings.is_empty() {
            return Err(ManagerError::Malformed);
        }
        let mut found = Vec::new();
        for (oid, got) in bindings {
            let BindingValue::Value(value) = got else {
                self.done = true;
                break;
            };
            if oid <= self.position {
                return Err(ManagerError::Backwards(oid));
            }
            if !oid.starts_with(&self.root) {
                self.done = true;
                break;
            }
            self.position.clone_from(&oid);
            found.push((oid, value));
        }
        Ok(found)
    }
}

/// The increase of a 64 bit counter between two readings, over one wrap; none after a discontinuity, which its
/// discontinuity time shows.
pub fn counter_increase(before: u64, after: u64, discontinuity: bool) -> Option<u64> {
    (!discontinuity).then(|| after.wrapping_sub(before))
}

/// The increase of a 32 bit counter, as [`counter_increase`].
pub fn counter32_increase(before: u32, after: u32, discontinuity: bool) -> Option<u32> {
    (!discontinuity).then(|| after.wrapping_sub(before))
}
