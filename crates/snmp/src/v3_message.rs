//! Encoding of version 3 messages with the user-based security model (RFC 3412, section 6; RFC 3414, section 2.4).

use rasn::types::{Integer, OctetString};
use rasn_snmp::v3;

use crate::usm::{digest_range, Keys, DIGEST_BYTES};

/// `msgFlags` bit: the message is authenticated.
pub(crate) const FLAG_AUTH: u8 = 1;
/// `msgFlags` bit: the message is encrypted.
pub(crate) const FLAG_PRIVACY: u8 = 2;
/// `msgFlags` bit: the receiver may reply with a report.
pub(crate) const FLAG_REPORTABLE: u8 = 4;
/// The version number in a version 3 message.
pub(crate) const VERSION_3: u32 = 3;
/// `msgSecurityModel`: the user-based security model.
const SECURITY_MODEL_USM: u32 = 3;

/// Header fields of a version 3 message to encode.
pub(crate) struct Header<'a> {
    pub message_id: &'a Integer,
    pub flags: u8,
    pub engine_id: &'a [u8],
    pub boots: u32,
    pub time_s: u32,
    pub user: &'a str,
    /// Salt for the encryption; used only if the flags request privacy.
    pub salt: u64,
    /// Maximum message size that the sender accepts.
    pub max_bytes: usize,
}

/// Encodes a message, and encrypts and authenticates it as its flags request. Returns `None` if the required keys are
/// missing or encoding fails.
pub(crate) fn encode(header: &Header, keys: Option<&Keys>, scoped: v3::ScopedPdu) -> Option<Vec<u8>> {
    let encrypted = header.flags & FLAG_PRIVACY != 0;
    let scoped_data = match encrypted {
        true => v3::ScopedPduData::EncryptedPdu(encrypt(header, keys?, &scoped)?.into()),
        false => v3::ScopedPduData::CleartextPdu(scoped),
    };
    let mut message = v3::Message {
        version: VERSION_3.into(),
        global_data: v3::HeaderData {
            message_id: header.message_id.clone(),
            max_size: Integer::from(header.max_bytes as u64),
            flags: vec![header.flags].into(),
            security_model: SECURITY_MODEL_USM.into(),
        },
        security_parameters: OctetString::default(),
        scoped_data,
    };
    message.encode_security_parameters(rasn::Codec::Ber, &security_parameters(header)).ok()?;
    let mut bytes = rasn::ber::encode(&message).ok()?;
    if header.flags & FLAG_AUTH != 0 {
        let digest = keys?.digest(&bytes);
        let range = digest_range(&bytes).filter(|range| range.len() == DIGEST_BYTES)?;
        bytes[range].copy_from_slice(&digest);
    }
    Some(bytes)
}

fn encrypt(header: &Header, keys: &Keys, scoped: &v3::ScopedPdu) -> Option<Vec<u8>> {
    let mut data = rasn::ber::encode(scoped).ok()?;
    keys.encrypt(header.boots, header.time_s, header.salt, &mut data).then_some(data)
}

/// The security parameters, with a digest filled with zeros.
fn security_parameters(header: &Header) -> v3::USMSecurityParameters {
    let digest = if header.flags & FLAG_AUTH != 0 { vec![0; DIGEST_BYTES] } else { Vec::new() };
    let salt = if header.flags & FLAG_PRIVACY != 0 { header.salt.to_be_bytes().to_vec() } else { Vec::new() };
    v3::USMSecurityParameters {
        authoritative_engine_id: header.engine_id.to_vec().into(),
        authoritative_engine_boots: header.boots.into(),
        authoritative_engine_time: header.time_s.into(),
        user_name: header.user.as_bytes().to_vec().into(),
        authentication_parameters: digest.into(),
        privacy_parameters: salt.into(),
    }
}

/// Verifies the digest contained in a message.
pub(crate) fn has_valid_digest(bytes: &[u8], keys: &Keys) -> bool {
    let Some(range) = digest_range(bytes).filter(|range| range.len() == DIGEST_BYTES) else { return false };
    let mut zeroed = bytes.to_vec();
    zeroed[range.clone()].fill(0);
    keys.verifies(&zeroed, &bytes[range])
}
