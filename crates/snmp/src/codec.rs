//! Between this crate's values and the `rasn` crates' messages.

use rasn::types::ObjectIdentifier;
use rasn_smi::v1::{Counter, Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{VarBind, VarBindValue};

use crate::tree::Value;
use crate::Oid;

/// A name for messages.
pub fn name(oid: &[u32]) -> ObjectIdentifier {
    ObjectIdentifier::new_unchecked(oid.to_vec().into())
}

/// A value for messages.
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

/// A value of a message; none for kinds that are not served here.
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

/// A binding of a name and a value.
pub fn bind(oid: &[u32], value: &Value) -> VarBind {
    VarBind { name: name(oid), value: VarBindValue::Value(syntax(value)) }
}

/// A binding of a requested name, without a value.
pub fn unset(oid: &[u32]) -> VarBind {
    VarBind { name: name(oid), value: VarBindValue::Unspecified }
}

/// A binding's name.
pub fn oid(binding: &VarBind) -> Oid {
    binding.name.to_vec()
}
