//! Security checks of incoming version 3 messages (RFC 3414, section 3.2): authentication, time window, decryption, and
//! reports of errors.

use rasn::types::{Integer, OctetString};
use rasn_snmp::v2::{Pdu, Pdus, Report};
use rasn_snmp::v3;

use super::{accept, Agent, Incoming, ReplyTo, SecurityLevel, USM_STATS};
use crate::codec::bind;
use crate::tree::Value;
use crate::usm::{in_time, Keys};
use crate::v3_message::{has_valid_digest, FLAG_AUTH, FLAG_PRIVACY, FLAG_REPORTABLE, VERSION_3};

/// Minimum message size that every peer must accept (RFC 3412, section 6).
const MIN_MESSAGE_BYTES: usize = 484;

/// Security errors; the discriminant is the arc of the error's counter below `usmStats`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SecurityError {
    UnsupportedLevel = 1,
    NotInTimeWindow = 2,
    UnknownUser = 3,
    UnknownEngine = 4,
    WrongDigest = 5,
    DecryptionFailed = 6,
}

impl SecurityError {
    /// Index of the error's counter in the agent.
    pub(super) fn index(self) -> usize {
        self as usize - 1
    }
}

/// Why a message is rejected.
enum Rejection {
    /// The message cannot be decoded; no report is sent.
    Malformed,
    /// A security error, to be reported in a message of this security level.
    Report(SecurityError, SecurityLevel),
}

impl From<SecurityError> for Rejection {
    /// Reports the error in clear text, since the message is not secured as its flags indicate.
    fn from(error: SecurityError) -> Self {
        Self::Report(error, SecurityLevel::NoAuth)
    }
}

/// A version 3 message with its decoded header.
struct SecuredMessage<'a> {
    bytes: &'a [u8],
    scoped_data: &'a v3::ScopedPduData,
    message_id: Integer,
    flags: u8,
    usm: v3::USMSecurityParameters,
    max_reply_bytes: usize,
}

impl<'a> SecuredMessage<'a> {
    fn read(bytes: &'a [u8], message: &'a v3::Message) -> Option<Self> {
        let header = &message.global_data;
        let flags = *header.flags.first()?;
        let usm = message.decode_security_parameters(rasn::Codec::Ber).ok()?;
        if message.version != Integer::from(VERSION_3) {
            return None;
        }
        let max_reply_bytes = usize::try_from(header.max_size.clone()).ok()?.max(MIN_MESSAGE_BYTES);
        let message_id = header.message_id.clone();
        Some(Self { bytes, scoped_data: &message.scoped_data, message_id, flags, usm, max_reply_bytes })
    }

    fn wants_auth(&self) -> bool {
        self.flags & FLAG_AUTH != 0
    }

    fn wants_privacy(&self) -> bool {
        self.flags & FLAG_PRIVACY != 0
    }

    /// The engine boots and engine time that the message contains.
    fn engine_time(&self) -> Option<(u32, u32)> {
        let number = |n: &Integer| u32::try_from(n.clone()).ok();
        let boots = number(&self.usm.authoritative_engine_boots)?;
        let time_s = number(&self.usm.authoritative_engine_time)?;
        Some((boots, time_s))
    }

    /// The scoped PDU, decrypted if the flags mark it as encrypted. Returns `None` if flags and content do not match or
    /// decryption fails.
    fn scoped_pdu(&self, keys: &Keys, (boots, time_s): (u32, u32)) -> Option<v3::ScopedPdu> {
        match (self.scoped_data, self.wants_privacy()) {
            (v3::ScopedPduData::CleartextPdu(scoped), false) => Some(scoped.clone()),
            (v3::ScopedPduData::EncryptedPdu(data), true) => {
                let mut data = data.to_vec();
                let salt = <[u8; 8]>::try_from(self.usm.privacy_parameters.as_ref()).ok()?;
                keys.decrypt(boots, time_s, salt, &mut data).then_some(())?;
                rasn::ber::decode(&data).ok()
            }
            _ => None,
        }
    }
}

impl Agent {
    /// Verifies a version 3 message; `time_s` is the time of the engine in seconds.
    pub(super) fn read_v3(&mut self, bytes: &[u8], message: &v3::Message, time_s: u32) -> Option<Incoming> {
        let message = SecuredMessage::read(bytes, message)?;
        match self.verify(&message, time_s) {
            Ok(incoming) => Some(incoming),
            Err(Rejection::Malformed) => None,
            Err(Rejection::Report(error, level)) => Some(self.report(&message, error, level, time_s)),
        }
    }

    fn verify(&self, message: &SecuredMessage, time_s: u32) -> Result<Incoming, Rejection> {
        if message.usm.authoritative_engine_id.as_ref() != self.engine {
            return Err(SecurityError::UnknownEngine.into());
        }
        let name = message.usm.user_name.as_ref();
        let index = self.users.iter().position(|(user, _)| user.name.as_bytes() == name);
        let index = index.ok_or(SecurityError::UnknownUser)?;
        let (user, keys) = &self.users[index];
        // A user must use all of its keys; a user name without authentication gives no access.
        if !message.wants_auth() || message.wants_privacy() != keys.has_privacy() {
            return Err(SecurityError::UnsupportedLevel.into());
        }
        if !has_valid_digest(message.bytes, keys) {
            return Err(SecurityError::WrongDigest.into());
        }
        let engine_time = message.engine_time().ok_or(Rejection::Malformed)?;
        if !in_time((self.boots, time_s), engine_time) {
            return Err(Rejection::Report(SecurityError::NotInTimeWindow, SecurityLevel::Auth(index)));
        }
        let context = message.scoped_pdu(keys, engine_time).ok_or(SecurityError::DecryptionFailed)?;
        let level = match message.wants_privacy() {
            true => SecurityLevel::Privacy(index),
            false => SecurityLevel::Auth(index),
        };
        let pdus = context.data.clone();
        let reply_to = ReplyTo::V3 {
            message_id: message.message_id.clone(),
            user: user.name.clone(),
            level,
            context,
            max_bytes: message.max_reply_bytes,
        };
        Ok(accept(pdus, reply_to, user.view.clone()))
    }

    /// Counts an error, and returns a report if the message is reportable.
    fn report(
        &mut self,
        message: &SecuredMessage,
        error: SecurityError,
        level: SecurityLevel,
        time_s: u32,
    ) -> Incoming {
        let count = &mut self.usm_stats[error.index()];
        *count = count.wrapping_add(1);
        let object = [&USM_STATS[..], &[error as u32, 0]].concat();
        let pdu = Pdu {
            request_id: 0,
            error_status: 0,
            error_index: 0,
            variable_bindings: vec![bind(&object, &Value::Counter32(*count))],
        };
        let scoped = v3::ScopedPdu {
            engine_id: self.engine.clone().into(),
            name: OctetString::default(),
            data: Pdus::Report(Report(pdu)),
        };
        let user = String::from_utf8_lossy(&message.usm.user_name);
        let bytes = self.encode_v3(&message.message_id, &user, level, scoped, time_s);
        let reportable = message.flags & FLAG_REPORTABLE != 0;
        bytes.filter(|_| reportable).map_or(Incoming::Drop, Incoming::Reply)
    }
}
