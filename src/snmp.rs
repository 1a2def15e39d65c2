//! A read-only SNMP agent (version 2c) that serves the counters: `CURLEWDECK-MIB` in `mibs/`.
//!
//! [`respond`] is a pure function over bytes; BER is the `rasn` crates' part.

use std::net::SocketAddr;
use std::sync::Arc;

use may::net::UdpSocket;
use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_snmp::v2::{Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;
use serde::Deserialize;

use rasn_smi::v1::TimeTicks;
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};

use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::io::{spawn, Clock};

/// What the edge's file says of the agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    /// Where it listens (UDP).
    pub listen: SocketAddr,
    /// The community that may read.
    pub community: String,
}

/// `cdCounters` of the MIB; the object of the n-th counter is `cdCounters.n.0`.
const COUNTERS: [u32; 9] = [1, 3, 6, 1, 4, 1, 32473, 1, 1];
/// `curlewdeck` of the MIB.
const PRODUCT: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// `system` of SNMPv2-MIB.
const SYSTEM: [u32; 7] = [1, 3, 6, 1, 2, 1, 1];

/// An object and its value, in the order of their names.
pub type Object = (Vec<u32>, ObjectSyntax);

fn counter(value: u64) -> ObjectSyntax {
    ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(Counter64(value)))
}

fn oid(arcs: &[u32]) -> ObjectIdentifier {
    ObjectIdentifier::new_unchecked(arcs.to_vec().into())
}

/// All objects, after so many hundredths of a second.
pub fn objects(counters: &Counters, ticks: u32) -> Vec<Object> {
    let system = |n: u32| [&SYSTEM[..], &[n, 0]].concat();
    let about = format!("curlewdeck {}", env!("CARGO_PKG_VERSION")).into_bytes();
    let mut all = vec![
        (system(1), ObjectSyntax::Simple(SimpleSyntax::String(about.into()))),
        (system(2), ObjectSyntax::Simple(SimpleSyntax::ObjectId(oid(&PRODUCT)))),
        (system(3), ObjectSyntax::ApplicationWide(ApplicationSyntax::Ticks(TimeTicks(ticks)))),
    ];
    let counted = (1..).zip(counters.all()).map(|(n, (_, value))| {
        let name: Vec<u32> = [&COUNTERS[..], &[n, 0]].concat();
        (name, counter(value))
    });
    all.extend(counted);
    all
}

/// The answer to a request; nothing for what is no request of this version, or of another community.
pub fn respond(bytes: &[u8], community: &str, objects: &[Object], limits: &Limits) -> Option<Vec<u8>> {
    let message: Message<Pdus> = rasn::ber::decode(bytes).ok()?;
    let version = Integer::from(Message::<Pdus>::VERSION);
    if message.version != version || message.community.as_ref() != community.as_bytes() {
        return None;
    }
    let (request_id, asked) = match &message.data {
        Pdus::GetRequest(r) => (r.0.request_id, &r.0.variable_bindings),
        Pdus::GetNextRequest(r) => (r.0.request_id, &r.0.variable_bindings),
        Pdus::SetRequest(r) => (r.0.request_id, &r.0.variable_bindings),
        Pdus::GetBulkRequest(r) => (r.0.request_id, &r.0.variable_bindings),
        _ => return None,
    };
    let answer = |error_status, error_index, variable_bindings| {
        let pdu = Pdu { request_id, error_status, error_index, variable_bindings };
        let community: OctetString = community.as_bytes().to_vec().into();
        let data = Pdus::Response(Response(pdu));
        rasn::ber::encode(&Message { version: version.clone(), community, data }).ok()
    };
    if asked.len() > limits.snmp_bindings {
        return answer(Pdu::ERROR_STATUS_TOO_BIG, 0, Vec::new());
    }
    let found = match &message.data {
        Pdus::GetRequest(_) => asked.iter().map(|b| exact(objects, b)).collect(),
        Pdus::GetNextRequest(_) => asked.iter().map(|b| next(objects, b)).collect(),
        Pdus::GetBulkRequest(r) => bulk(
            objects,
            asked,
            r.0.non_repeaters as usize,
            r.0.max_repetitions as usize,
            limits.snmp_bindings,
        ),
        _ => {
            let index = u32::from(!asked.is_empty());
            return answer(Pdu::ERROR_STATUS_NOT_WRITABLE, index, asked.clone());
        }
    };
    let bytes = answer(Pdu::ERROR_STATUS_NO_ERROR, 0, found)?;
    if bytes.len() > limits.snmp_bytes {
        return answer(Pdu::ERROR_STATUS_TOO_BIG, 0, Vec::new());
    }
    Some(bytes)
}

fn exact(objects: &[Object], asked: &VarBind) -> VarBind {
    let name: &[u32] = asked.name.as_ref();
    let value = match objects.iter().find(|o| o.0 == name) {
        Some(found) => VarBindValue::Value(found.1.clone()),
        // The object is there, but not this instance of it.
        None if objects.iter().any(|o| name.starts_with(&o.0[..o.0.len() - 1])) => {
            VarBindValue::NoSuchInstance
        }
        None => VarBindValue::NoSuchObject,
    };
    VarBind { name: asked.name.clone(), value }
}

fn next(objects: &[Object], asked: &VarBind) -> VarBind {
    let name: &[u32] = asked.name.as_ref();
    match objects.iter().find(|o| o.0.as_slice() > name) {
        Some(found) => VarBind { name: oid(&found.0), value: VarBindValue::Value(found.1.clone()) },
        None => VarBind { name: asked.name.clone(), value: VarBindValue::EndOfMibView },
    }
}

fn bulk(objects: &[Object], asked: &[VarBind], single: usize, rounds: usize, most: usize) -> Vec<VarBind> {
    let (once, repeated) = asked.split_at(single.min(asked.len()));
    let mut found: Vec<VarBind> = once.iter().map(|b| next(objects, b)).collect();
    let mut row = repeated.to_vec();
    for _ in 0..rounds {
        if row.is_empty() || found.len() + row.len() > most {
            break;
        }
        row = row.iter().map(|b| next(objects, b)).collect();
        found.extend(row.iter().cloned());
        if row.iter().all(|b| b.value == VarBindValue::EndOfMibView) {
            break;
        }
    }
    found
}

/// Starts the agent.
///
/// # Errors
/// The address cannot be listened at.
pub fn start(
    config: SnmpConfig,
    counters: Arc<Counters>,
    clock: Clock,
    limits: Arc<Limits>,
) -> std::io::Result<SocketAddr> {
    let socket = UdpSocket::bind(config.listen)?;
    let local = socket.local_addr()?;
    let begun = clock.now();
    spawn("snmp", limits.core_stack_words, move || {
        let mut buf = vec![0; limits.snmp_bytes];
        loop {
            let Ok((size, from)) = socket.recv_from(&mut buf) else {
                // Never a busy loop, whatever the cause.
                may::coroutine::sleep(std::time::Duration::from_millis(10));
                continue;
            };
            // Hundredths of a second, which start over after 497 days.
            let ticks = ((clock.now() - begun) / 10_000_000) as u32;
            let objects = objects(&counters, ticks);
            if let Some(answer) = respond(&buf[..size], &config.community, &objects, &limits) {
                Counters::add(&counters.snmp_requests);
                if let Err(e) = socket.send_to(&answer, from) {
                    log::debug!("snmp: {e}");
                }
            }
        }
    });
    Ok(local)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rasn_snmp::v2::{BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, SetRequest};

    fn binding(name: &[u32]) -> VarBind {
        VarBind { name: oid(name), value: VarBindValue::Unspecified }
    }

    fn pdu(names: &[&[u32]]) -> Pdu {
        let variable_bindings = names.iter().map(|n| binding(n)).collect();
        Pdu { request_id: 7, error_status: 0, error_index: 0, variable_bindings }
    }

    fn message(data: Pdus) -> Vec<u8> {
        let community = b"public".to_vec().into();
        rasn::ber::encode(&Message { version: 1.into(), community, data }).unwrap()
    }

    fn ask(data: Pdus) -> Pdu {
        let counters = Counters::default();
        Counters::add(&counters.queries_taken);
        let bytes = respond(&message(data), "public", &objects(&counters, 5), &Limits::default()).unwrap();
        match rasn::ber::decode::<Message<Pdus>>(&bytes).unwrap().data {
            Pdus::Response(r) => r.0,
            other => panic!("{other:?}"),
        }
    }

    const TAKEN: [u32; 11] = [1, 3, 6, 1, 4, 1, 32473, 1, 1, 4, 0];

    #[test]
    fn counters_are_read_by_name() {
        let absent = [1, 3, 6, 1, 4, 1, 32473, 1, 1, 4, 1];
        let got = ask(Pdus::GetRequest(GetRequest(pdu(&[&TAKEN, &absent, &[1, 3, 9]])))).variable_bindings;
        assert_eq!(got[0].value, VarBindValue::Value(counter(1)));
        assert_eq!(got[1].value, VarBindValue::NoSuchInstance);
        assert_eq!(got[2].value, VarBindValue::NoSuchObject);
    }

    /// A walk meets every object once, in order, and ends.
    #[test]
    fn a_walk_meets_every_object() {
        let expected = objects(&Counters::default(), 5);
        let (mut at, mut met) = (vec![1, 3], Vec::new());
        loop {
            let got = ask(Pdus::GetNextRequest(GetNextRequest(pdu(&[&at])))).variable_bindings.remove(0);
            if got.value == VarBindValue::EndOfMibView {
                break;
            }
            at = got.name.to_vec();
            met.push(at.clone());
        }
        assert_eq!(met, expected.iter().map(|o| o.0.clone()).collect::<Vec<_>>());
        let bulk = BulkPdu {
            request_id: 7,
            non_repeaters: 1,
            max_repetitions: 200,
            variable_bindings: vec![binding(&TAKEN), binding(&[1, 3])],
        };
        let got = ask(Pdus::GetBulkRequest(GetBulkRequest(bulk))).variable_bindings;
        assert_eq!(got.len(), 1 + expected.len() + 1);
    }

    #[test]
    fn nothing_can_be_written() {
        let got = ask(Pdus::SetRequest(SetRequest(pdu(&[&TAKEN]))));
        assert_eq!((got.error_status, got.error_index), (Pdu::ERROR_STATUS_NOT_WRITABLE, 1));
    }

    #[test]
    fn another_community_or_version_is_not_answered() {
        let bytes = message(Pdus::GetRequest(GetRequest(pdu(&[&TAKEN]))));
        let objects = objects(&Counters::default(), 5);
        assert!(respond(&bytes, "private", &objects, &Limits::default()).is_none());
        let community = b"public".to_vec().into();
        let data = Pdus::GetRequest(GetRequest(pdu(&[&TAKEN])));
        let v1 = rasn::ber::encode(&Message { version: 0.into(), community, data }).unwrap();
        assert!(respond(&v1, "public", &objects, &Limits::default()).is_none());
    }

    #[test]
    fn too_many_bindings_are_too_big() {
        let names = vec![&TAKEN[..]; Limits::default().snmp_bindings + 1];
        let got = ask(Pdus::GetRequest(GetRequest(pdu(&names))));
        assert_eq!(got.error_status, Pdu::ERROR_STATUS_TOO_BIG);
    }

    /// The MIB's objects are those that are served, in the same order.
    #[test]
    fn the_mib_names_every_counter() {
        let mib = include_str!("../mibs/CURLEWDECK-MIB.txt");
        for (n, (name, _)) in (1..).zip(Counters::default().all()) {
            assert!(mib.contains(&format!("\n{name} OBJECT-TYPE")), "{name}");
            assert!(mib.contains(&format!("::= {{ cdCounters {n} }}")), "{n}");
        }
    }

    proptest! {
        /// Nothing that a peer sends may panic.
        #[test]
        fn any_bytes_are_taken_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..100)) {
            let _ = respond(&bytes, "public", &objects(&Counters::default(), 0), &Limits::default());
        }

        /// Nor may a request with a byte changed.
        #[test]
        fn a_changed_request_is_taken_without_panic(at in 0..40usize, to in any::<u8>()) {
            let mut bytes = message(Pdus::GetNextRequest(GetNextRequest(pdu(&[&TAKEN]))));
            if let Some(b) = bytes.get_mut(at) {
                *b = to;
            }
            let _ = respond(&bytes, "public", &objects(&Counters::default(), 0), &Limits::default());
        }
    }
}
