//! `curlewdeck snmp listen`: prints the notifications received at an address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use curlewdeck_snmp::dotted;
use curlewdeck_snmp::notify::decode_notification;
use curlewdeck_snmp::registry::Module;
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::Oid;
use pico_args::Arguments;

use super::display::{object_name, value_text};
use super::{positional, SnmpToolError, MAX_DATAGRAM_BYTES};
use crate::mib;

/// Parses the arguments of `listen`. The returned function prints SNMPv2c notifications and acknowledges informs; it
/// returns after `--count` notifications, or runs until an error occurs if the option is absent.
///
/// # Errors
/// An argument is missing or invalid. The returned function fails if its socket fails.
pub fn listen(args: &mut Arguments) -> Result<impl FnOnce() -> Result<(), SnmpToolError>, SnmpToolError> {
    let count = args.opt_value_from_str::<_, u64>("--count")?.unwrap_or(u64::MAX);
    let json = args.contains("--json");
    let address = positional(args, "ADDRESS")?;
    Ok(move || print_notifications(address, count, json))
}

fn print_notifications(address: String, count: u64, json: bool) -> Result<(), SnmpToolError> {
    let socket = UdpSocket::bind(&address).map_err(|source| SnmpToolError::Socket { address, source })?;
    let module = mib::module();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut received = 0;
    while received < count {
        let (size, from) = socket.recv_from(&mut buffer)?;
        let Some((oid, objects, acknowledgement)) = decode_notification(&buffer[..size]) else { continue };
        if let Some(acknowledgement) = acknowledgement {
            socket.send_to(&acknowledgement, from)?;
        }
        received += 1;
        print_notification(&module, from, &oid, &objects, json);
    }
    Ok(())
}

fn print_notification(module: &Module, from: SocketAddr, oid: &[u32], objects: &[(Oid, Value)], json: bool) {
    let name = module.notification_of(oid).map_or_else(|| dotted(oid), |n| n.name.to_string());
    let named = |(oid, value): &(Oid, Value)| (object_name(module, oid), value_text(module, oid, value));
    let objects: BTreeMap<String, String> = objects.iter().map(named).collect();
    if json {
        let line = serde_json::json!({"from": from.to_string(), "name": name, "objects": objects});
        println!("{line}");
    } else {
        let objects: Vec<String> = objects.iter().map(|(name, value)| format!("{name}={value}")).collect();
        println!("{from} {name} {}", objects.join(" "));
    }
}
