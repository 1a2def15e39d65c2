//! Conversion between the values of this crate and the message types of the `rasn` crates.

use rasn::types::ObjectIdentifier;
use rasn_smi::v1::{Counter, Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{VarBind, VarBindValue};

use crate::tree::Value;
use crate::Oid;

/// Converts an object identifier to its message type.
pub fn name(oid: &[u32]) -> ObjectIdentifier {
    ObjectIdentifier::new_unchecked(oid.to_vec().into())
}

/// Converts a value to its message type.
pub fn syntax(value: &Value) -> ObjectSyntax {
    let simple = ObjectSyntax::Simple;
    let wide = ObjectSyntax::ApplicationWide;
    match value {
        Value::Integer(n) => simple(SimpleSyntax::Integer((*n).into())),
        Value::Text(text) => simple(SimpleSyntax::String(text.clone().into())),
        Value::Name(oid) => simple(SimpleSyntax::ObjectId(name(oid))),
        Value::Counter32(n) => wide(ApplicationSyntax::Counter(Counter(*n))),
        Value::Gauge(n) => wide(ApplicationSyntax::Unsigned(Gauge(*n))),
        Value::Ticks(n) => wide(ApplicationSyntax::Ticks(TimeTicks(*n))),
        Value::Counter64(n) => wide(ApplicationSyntax::BigCounter(Counter64(*n))),
    }
}

/// Converts a value from its message type; `None` for types that [`Value`] does not have.
pub fn value(syntax: &ObjectSyntax) -> Option<Value> {
    Some(match syntax {
        ObjectSyntax::Simple(SimpleSyntax::Integer(n)) => Value::Integer(i32::try_from(n.clone()).ok()?),
        ObjectSyntax::Simple(SimpleSyntax::String(text)) => Value::Text(text.to_vec()),
        ObjectSyntax::Simple(SimpleSyntax::ObjectId(oid)) => Value::Name(oid.to_vec()),
        ObjectSyntax::ApplicationWide(wide) => match wide {
            ApplicationSyntax::Counter(n) => Value::Counter32(n.0),
            ApplicationSyntax::Unsigned(n) => Value::Gauge(n.0),
            ApplicationSyntax::Ticks(n) => Value::Ticks(n.0),
            ApplicationSyntax::BigCounter(n) => Value::Counter64(n.0),
            _ => return None,
        },
    })
}

/// Builds a variable binding with a value, as in a response.
pub fn bind(oid: &[u32], value: &Value) -> VarBind {
    VarBind { name: name(oid), value: VarBindValue::Value(syntax(value)) }
}

/// Builds a variable binding without a value, as in a request.
pub fn unset(oid: &[u32]) -> VarBind {
    VarBind { name: name(oid), value: VarBindValue::Unspecified }
}

/// The object identifier of a variable binding.
pub fn oid(binding: &VarBind) -> Oid {
    binding.name.to_vec()
}
