//! `curlewdeck snmp`: a command-line SNMP manager.

mod display;
mod error;
mod listen;
mod requester;

#[cfg(test)]
mod tests;

use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_snmp::manager::{BindingValue, Request, Security, Session, Walk};
use curlewdeck_snmp::registry::Module;
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::usm::User;
use curlewdeck_snmp::{dotted, parse_oid, Oid};
use pico_args::Arguments;

use self::display::{object_name, tables_text, value_text};
use self::requester::Requester;
use crate::config::read_secret;
use crate::mib;

pub use self::error::SnmpToolError;
pub use self::listen::listen;

/// Usage of `curlewdeck snmp`, part of the output of `curlewdeck help`.
pub const HELP: &str = "\
    curlewdeck snmp listen ADDRESS [--count N] [--json]
                                                      print notifications, and answer informs
    curlewdeck snmp get|walk|table ADDRESS NAME (--community C | --users FILE --user NAME)
                     [--timeout MS] [--tries N] [--json]
                                                      ask a management agent; NAME is an object of the MIB,
                                                      with or without an instance, a table, or in dots";

const DEFAULT_TIMEOUT_MS: u32 = 1000;
const DEFAULT_ATTEMPTS: u32 = 3;
/// Upper bound of the size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Repetitions requested by a bulk request; the agent returns as many as fit its message.
const MAX_REPETITIONS: u32 = 50;

/// A parsed `curlewdeck snmp get`, `walk` or `table` command line.
pub struct Command {
    operation: Operation,
    address: String,
    name: Oid,
    security: Security,
    timeout: Duration,
    max_attempts: u32,
    json: bool,
    module: Module,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Get,
    Walk,
    Table,
}

impl Operation {
    fn read(word: String) -> Result<Self, SnmpToolError> {
        match word.as_str() {
            "get" => Ok(Self::Get),
            "walk" => Ok(Self::Walk),
            "table" => Ok(Self::Table),
            _ => Err(SnmpToolError::UnknownCommand(word)),
        }
    }
}

/// Reads the next positional argument; `name` is used in the error message.
fn positional(args: &mut Arguments, name: &'static str) -> Result<String, SnmpToolError> {
    args.free_from_str().map_err(|_| SnmpToolError::MissingArgument(name))
}

/// Builds the credentials from the options: either a community, or a users file and a user name.
fn security(
    community: Option<String>,
    users: Option<String>,
    user: Option<String>,
) -> Result<Security, SnmpToolError> {
    match (community, users, user) {
        (Some(community), None, None) => Ok(Security::Community(community)),
        (None, Some(file), Some(name)) => read_user(file, name).map(Security::User),
        _ => Err(SnmpToolError::MissingCredentials),
    }
}

fn read_user(file: String, name: String) -> Result<User, SnmpToolError> {
    let text = read_secret(&PathBuf::from(&file))?;
    match User::parse_file(&text) {
        Ok(users) => {
            users.into_iter().find(|user| user.name == name).ok_or(SnmpToolError::UnknownUser { file, name })
        }
        Err(reason) => Err(SnmpToolError::InvalidUsers { file, reason }),
    }
}

impl Command {
    /// Parses the arguments that follow `curlewdeck snmp`.
    ///
    /// # Errors
    /// An argument is missing or invalid. The error message is one line without secrets.
    pub fn read(args: &mut Arguments) -> Result<Self, SnmpToolError> {
        let community = args.opt_value_from_str("--community")?;
        let users = args.opt_value_from_str("--users")?;
        let user = args.opt_value_from_str("--user")?;
        let timeout_ms = args.opt_value_from_str("--timeout")?.unwrap_or(DEFAULT_TIMEOUT_MS).max(1);
        let max_attempts = args.opt_value_from_str("--tries")?.unwrap_or(DEFAULT_ATTEMPTS).max(1);
        let json = args.contains("--json");
        let operation = Operation::read(positional(args, "get, walk or table")?)?;
        let address = positional(args, "ADDRESS")?;
        let name = positional(args, "NAME")?;
        let security = security(community, users, user)?;
        let module = mib::module();
        let name = resolve(&module, &name).ok_or(SnmpToolError::UnknownObject(name))?;
        let timeout = Duration::from_millis(timeout_ms.into());
        Ok(Self { operation, address, name, security, timeout, max_attempts, json, module })
    }

    /// Sends the requests and prints the returned objects.
    ///
    /// # Errors
    /// A request failed or timed out, or the agent returned no object. The error message is one line.
    pub fn run(self) -> Result<(), SnmpToolError> {
        let mut requester = self.requester()?;
        let objects = match self.operation {
            Operation::Get => self.get(&mut requester)?,
            Operation::Walk | Operation::Table => self.walk(&mut requester)?,
        };
        if objects.is_empty() {
            return Err(SnmpToolError::NothingServed(object_name(&self.module, &self.name)));
        }
        match self.operation {
            Operation::Table if !self.json => println!("{}", tables_text(&self.module, &objects)),
            _ => objects.iter().for_each(|(oid, value)| self.print_object(oid, value)),
        }
        Ok(())
    }

    fn requester(&self) -> Result<Requester, SnmpToolError> {
        let socket = UdpSocket::bind("0.0.0.0:0").and_then(|s| s.connect(&self.address).map(|()| s));
        let socket =
            socket.map_err(|source| SnmpToolError::Socket { address: self.address.clone(), source })?;
        let last_request_id = fastrand::i32(1..i32::MAX / 2);
        let session = Session::new(self.security.clone(), last_request_id, fastrand::u64(..));
        Ok(Requester::new(session, socket, self.timeout, self.max_attempts))
    }

    /// Gets the value of one instance. A name without an instance suffix refers to a scalar, instance 0.
    fn get(&self, requester: &mut Requester) -> Result<Vec<(Oid, Value)>, SnmpToolError> {
        let lacks_instance =
            self.module.object_by_oid(&self.name).is_some_and(|(_, instance)| instance.is_empty());
        let instance: &[u32] = if lacks_instance { &[0] } else { &[] };
        let name = [&self.name[..], instance].concat();
        let value = |(oid, got): (Oid, BindingValue)| match got {
            BindingValue::Value(value) => Ok((oid, value)),
            got => Err(SnmpToolError::NoValue { name: object_name(&self.module, &oid), got }),
        };
        requester.request(&Request::Get(vec![name]))?.into_iter().map(value).collect()
    }

    fn walk(&self, requester: &mut Requester) -> Result<Vec<(Oid, Value)>, SnmpToolError> {
        let mut walk = Walk::new(self.name.clone(), MAX_REPETITIONS);
        let mut objects = Vec::new();
        while let Some(request) = walk.next_request() {
            objects.extend(walk.handle_answer(requester.request(&request)?)?);
        }
        Ok(objects)
    }

    fn print_object(&self, oid: &[u32], value: &Value) {
        let name = object_name(&self.module, oid);
        let text = value_text(&self.module, oid, value);
        match self.json {
            true => println!("{}", serde_json::json!({"name": name, "oid": dotted(oid), "value": text})),
            false => println!("{name} = {text}"),
        }
    }
}

/// Resolves the name of an object (with or without an instance suffix) or of a table, or a dotted OID.
fn resolve(module: &Module, name: &str) -> Option<Oid> {
    if name.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        return parse_oid(name);
    }
    let (object, instance) = name.split_once('.').unwrap_or((name, ""));
    let table = module.tables.iter().find(|t| t.name == object || format!("{}Table", t.name) == object);
    let base = match table {
        Some(t) => [&module.root[..], &[module.tables_arc, t.arc, 1]].concat(),
        None => module.oid_of(object)?,
    };
    let instance: Option<Oid> = match instance {
        "" => Some(Vec::new()),
        text => text.split('.').map(|arc| arc.parse().ok()).collect(),
    };
    Some([&base[..], &instance?].concat())
}
