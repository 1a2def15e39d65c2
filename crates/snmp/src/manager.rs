//! An SNMP manager without I/O: encodes requests, decodes replies, and walks subtrees.

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
    /// The community of version 2c.
    Community(String),
    /// A user of version 3.
    User(User),
}

/// The value of a variable binding in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BindingValue {
    /// The value of the object instance.
    Value(Value),
    /// `noSuchObject`: the agent has no such object, or it is outside the view.
    NoObject,
    /// `noSuchInstance`: the object exists, but not this instance.
    NoInstance,
    /// `endOfMibView`: no object follows.
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

/// A request to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Reads these objects.
    Get(Vec<Oid>),
    /// Reads the object after each of these.
    Next(Vec<Oid>),
    /// Reads the objects after each of these, with this maximum number of repetitions.
    Bulk(Vec<Oid>, u32),
}

/// The outcome of a datagram received for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The response to the request.
    Bindings(Vec<(Oid, BindingValue)>),
    /// The request must be encoded and sent again, since the agent reported its engine id or its time.
    Retry,
    /// The datagram answers another request.
    OtherRequest,
}

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManagerError {
    /// The reply cannot be decoded.
    Malformed,
    /// An error status (RFC 3416), and the index of the binding that caused it.
    Status(u32, u32),
    /// A report of a security error; the identifier of its counter below `usmStats`.
    Report(Oid),
    /// The reply is not authenticated by the agent's key: it was modified or forged.
    WrongDigest,
    /// An object does not follow the previous one, so that a walk might not end.
    OutOfOrder(Oid),
}

impl fmt::Display for ManagerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("the reply cannot be decoded"),
            Self::Status(1, _) => f.write_str("the response would exceed the maximum message size"),
            Self::Status(status, index) => write!(f, "error status {status} for binding {index}"),
            Self::Report(oid) => f.write_str(match oid.get(USM_STATS_ERROR_ARC) {
                Some(1) => "the agent does not support this security level for this user",
                Some(2) => "the message is outside the agent's time window",
                Some(3) => "the agent does not know this user",
                Some(4) => "the agent has a different engine id",
                Some(5) => "the agent rejected the message digest: the authentication secret may be wrong",
                Some(6) => "the agent failed to decrypt the message: the privacy secret may be wrong",
                _ => return write!(f, "the agent sent a report of {}", dotted(oid)),
            }),
            Self::WrongDigest => f.write_str("the digest of the reply is wrong"),
            Self::OutOfOrder(oid) => write!(f, "the agent returned {} out of order", dotted(oid)),
        }
    }
}

impl std::error::Error for ManagerError {}

/// The engine of an agent, as last reported.
#[derive(Debug, Clone)]
struct Engine {
    id: Vec<u8>,
    keys: Keys,
    boots: u32,
    /// The engine's time and the local time at which it was reported, in seconds.
    reported_time: (u32, u32),
}

/// The state of a manager's requests to one agent.
#[derive(Debug, Clone)]
pub struct Session {
    security: Security,
    engine: Option<Engine>,
    request_id: i32,
    salt: u64,
    /// Number of reports handled for the current request.
    reports_handled: u32,
}

/// Maximum payload of a UDP datagram over IPv4.
const MAX_MESSAGE_BYTES: usize = 65_507;
/// One report for discovery and one for time correction.
const MAX_REPORTS_HANDLED: u32 = 2;
/// Index of the arc that identifies the error in an object identifier below `usmStats`.
const USM_STATS_ERROR_ARC: usize = 9;
/// Arcs of the `usmStats` errors that a manager can recover from.
const NOT_IN_TIME_WINDOW: u32 = 2;
const UNKNOWN_ENGINE: u32 = 4;

impl Session {
    /// Creates a session. Request ids follow `last_request_id`, and salts for encryption follow `last_salt`.
    pub fn new(security: Security, last_request_id: i32, last_salt: u64) -> Self {
        Self { security, engine: None, request_id: last_request_id, salt: last_salt, reports_handled: 0 }
    }

    /// Begins a new request; replies to earlier ones are ignored.
    pub fn begin_request(&mut self) {
        self.request_id = self.request_id.wrapping_add(1) & i32::MAX;
        self.reports_handled = 0;
    }

    /// Encodes the request; `now` is the local time in seconds. If the engine of a version 3 agent is not known yet,
    /// encodes a discovery request instead. Returns `None` if encoding fails.
    pub fn encode_request(&mut self, request: &Request, now: u32) -> Option<Vec<u8>> {
        let data = pdus(request, self.request_id);
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

    /// Encodes a version 3 request to a known engine.
    fn write_v3(&self, user: &User, engine: &Engine, data: Pdus, now: u32) -> Option<Vec<u8>> {
        let privacy_flag = if user.privacy.is_some() { FLAG_PRIVACY } else { 0 };
        let header = Header {
            message_id: &Integer::from(self.request_id),
            flags: FLAG_REPORTABLE | FLAG_AUTH | privacy_flag,
            engine_id: &engine.id,
            boots: engine.boots,
            time_s: engine.reported_time.0.saturating_add(now.saturating_sub(engine.reported_time.1)),
            user: &user.name,
            salt: self.salt,
            max_bytes: MAX_MESSAGE_BYTES,
        };
        let scoped =
            v3::ScopedPdu { engine_id: engine.id.clone().into(), name: OctetString::default(), data };
        v3_message::encode(&header, Some(&engine.keys), scoped)
    }

    /// Encodes a request that the agent answers with a report of its engine id (RFC 3414, section 4).
    fn write_discovery(&self) -> Option<Vec<u8>> {
        let header = Header {
            message_id: &Integer::from(self.request_id),
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
            data: pdus(&Request::Get(Vec::new()), self.request_id),
        };
        v3_message::encode(&header, None, scoped)
    }

    /// Decodes a datagram received for the current request; `now` is the local time in seconds.
    ///
    /// # Errors
    /// Returns why the request failed.
    pub fn decode_reply(&mut self, bytes: &[u8], now: u32) -> Result<Reply, ManagerError> {
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
        if message.global_data.message_id != Integer::from(self.request_id) {
            return Ok(Reply::OtherRequest);
        }
        let number = |n: &Integer| u32::try_from(n.clone()).map_err(|_| ManagerError::Malformed);
        let (boots, time) =
            (number(&usm.authoritative_engine_boots)?, number(&usm.authoritative_engine_time)?);
        let flags = message.global_data.flags.first().copied().unwrap_or(0);
        let known_engine = self.engine.as_ref().filter(|e| e.id == usm.authoritative_engine_id.as_ref());
        let authenticated = flags & FLAG_AUTH != 0;
        if authenticated && !known_engine.is_some_and(|engine| has_valid_digest(bytes, &engine.keys)) {
            return Err(ManagerError::WrongDigest);
        }
        let scoped = decrypted(&message.scoped_data, &usm, known_engine, (boots, time))?;
        let Pdus::Report(report) = &scoped.data else {
            // Only reports may arrive unauthenticated.
            authenticated.then_some(()).ok_or(ManagerError::WrongDigest)?;
            return self.bindings(&scoped.data);
        };
        let oid = report.0.variable_bindings.first().map(codec::oid).unwrap_or_default();
        let error = oid.get(USM_STATS_ERROR_ARC);
        let engine_discovered = error == Some(&UNKNOWN_ENGINE);
        let time_corrected = error == Some(&NOT_IN_TIME_WINDOW) && authenticated;
        self.reports_handled += 1;
        if self.reports_handled > MAX_REPORTS_HANDLED || !(engine_discovered || time_corrected) {
            return Err(ManagerError::Report(oid));
        }
        let id = usm.authoritative_engine_id.to_vec();
        let keys = known_engine.map_or_else(|| Keys::new(user, &id), |e| e.keys.clone());
        self.engine = Some(Engine { id, keys, boots, reported_time: (time, now) });
        Ok(Reply::Retry)
    }

    fn bindings(&self, data: &Pdus) -> Result<Reply, ManagerError> {
        let Pdus::Response(response) = data else { return Err(ManagerError::Malformed) };
        let response = &response.0;
        if response.request_id != self.request_id {
            return Ok(Reply::OtherRequest);
        }
        if response.error_status != 0 {
            return Err(ManagerError::Status(response.error_status, response.error_index));
        }
        let mut bindings = Vec::with_capacity(response.variable_bindings.len());
        for binding in &response.variable_bindings {
            let value = match &binding.value {
                VarBindValue::Value(value) => {
                    BindingValue::Value(codec::value(value).ok_or(ManagerError::Malformed)?)
                }
                VarBindValue::NoSuchObject => BindingValue::NoObject,
                VarBindValue::NoSuchInstance => BindingValue::NoInstance,
                VarBindValue::EndOfMibView => BindingValue::End,
                VarBindValue::Unspecified => return Err(ManagerError::Malformed),
            };
            bindings.push((codec::oid(binding), value));
        }
        Ok(Reply::Bindings(bindings))
    }
}

/// The scoped PDU of a message, decrypted with the keys of its engine if it is encrypted.
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

fn pdus(request: &Request, request_id: i32) -> Pdus {
    let bindings = |names: &[Oid]| names.iter().map(|n| unset(n)).collect();
    let pdu = |names: &[Oid]| Pdu {
        request_id,
        error_status: 0,
        error_index: 0,
        variable_bindings: bindings(names),
    };
    match request {
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
    /// Creates a walk through the objects below `root`, in `GetBulk` requests of `max_repetitions` (at least 1).
    pub fn new(root: Oid, max_repetitions: u32) -> Self {
        Self { position: root.clone(), root, max_repetitions: max_repetitions.max(1), done: false }
    }

    /// The next request; `None` once the walk has ended.
    pub fn next_request(&self) -> Option<Request> {
        (!self.done).then(|| Request::Bulk(vec![self.position.clone()], self.max_repetitions))
    }

    /// Handles the response to the last request; returns its objects that belong to the subtree.
    ///
    /// # Errors
    /// The response has no bindings, or its objects are not in ascending order.
    pub fn handle_answer(
        &mut self,
        bindings: Vec<(Oid, BindingValue)>,
    ) -> Result<Vec<(Oid, Value)>, ManagerError> {
        if bindings.is_empty() {
            return Err(ManagerError::Malformed);
        }
        let mut objects = Vec::new();
        for (oid, value) in bindings {
            let BindingValue::Value(value) = value else {
                self.done = true;
                break;
            };
            if oid <= self.position {
                return Err(ManagerError::OutOfOrder(oid));
            }
            if !oid.starts_with(&self.root) {
                self.done = true;
                break;
            }
            self.position.clone_from(&oid);
            objects.push((oid, value));
        }
        Ok(objects)
    }
}

/// The increase of a 64-bit counter between two readings with at most one wrap. Returns `None` if the counter's
/// discontinuity time changed between the readings (`discontinuity`).
pub fn counter_increase(before: u64, after: u64, discontinuity: bool) -> Option<u64> {
    (!discontinuity).then(|| after.wrapping_sub(before))
}

/// The increase of a 32-bit counter; see [`counter_increase`].
pub fn counter32_increase(before: u32, after: u32, discontinuity: bool) -> Option<u32> {
    (!discontinuity).then(|| after.wrapping_sub(before))
}
