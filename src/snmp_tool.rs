//! `curlewdeck snmp`: a manager for the shell.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use curlewdeck_client::table::columns;
use curlewdeck_snmp::manager::{Ask, Got, Reply, Security, Session, Walk};
use curlewdeck_snmp::notify::receive;
use curlewdeck_snmp::registry::{Module, Syntax};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::usm::User;
use curlewdeck_snmp::{dotted, parse_oid, Oid};
use pico_args::Arguments;

use crate::config::read_secret;
use crate::mib;

/// What it takes, for the help page.
pub const HELP: &str = "\
    curlewdeck snmp listen ADDRESS [--count N] [--json]
                                                      print notifications, and answer informs
    curlewdeck snmp get|walk|table ADDRESS NAME (--community C | --users FILE --user NAME)
                     [--timeout MS] [--tries N] [--json]
                                                      ask a management agent; NAME is an object of the MIB,
                                                      with or without an instance, a table, or in dots";

/// What the command line asks for.
pub struct Command {
    what: What,
    address: String,
    name: Oid,
    security: Security,
    timeout: Duration,
    tries: u32,
    json: bool,
    module: Module,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum What {
    Get,
    Walk,
    Table,
}

/// `listen`: prints notifications of version 2c that come to an address, and answers informs; so many, or without end.
///
/// # Errors
/// Says in one line what is missing, or why it cannot listen.
pub fn listen(args: &mut Arguments) -> Result<impl FnOnce() -> Result<(), String>, String> {
    let count = args.opt_value_from_str::<_, u64>("--count").map_err(|e| e.to_string())?.unwrap_or(u64::MAX);
    let json = args.contains("--json");
    let address: String =
        args.free_from_str().map_err(|_| "snmp: ADDRESS is missing, see 'curlewdeck help'")?;
    Ok(move || {
        let socket = UdpSocket::bind(&address).map_err(|e| format!("{address}: {e}"))?;
        let (module, mut buf, mut heard) = (mib::module(), vec![0; 65_536], 0);
        while heard < count {
            let (size, from) = socket.recv_from(&mut buf).map_err(|e| e.to_string())?;
            let Some((oid, objects, answer)) = receive(&buf[..size]) else { continue };
            if let Some(answer) = answer {
                socket.send_to(&answer, from).map_err(|e| e.to_string())?;
            }
            heard += 1;
            let name = module.notification_of(&oid).map_or_else(|| dotted(&oid), |n| n.name.to_string());
            let objects: BTreeMap<String, String> =
                objects.iter().map(|(oid, value)| (shown(&module, oid), text(&module, oid, value))).collect();
            match json {
                true => println!(
                    "{}",
                    serde_json::json!({"from": from.to_string(), "name": name, "objects": objects})
                ),
                false => {
                    let objects: Vec<String> = objects.iter().map(|(n, v)| format!("{n}={v}")).collect();
                    println!("{from} {name} {}", objects.join(" "));
                }
            }
        }
        Ok(())
    })
}

/// A name as the MIB has it.
fn shown(module: &Module, oid: &[u32]) -> String {
    match module.object_of(oid) {
        Some((name, [])) => name,
        Some((name, instance)) => format!("{name}.{}", dotted(instance)),
        None => dotted(oid),
    }
}

/// A value in words; a number of a list by its name.
fn text(module: &Module, oid: &[u32], value: &Value) -> String {
    match value {
        Value::Integer(n) => {
            let object = module.objects().into_iter().rfind(|o| oid.starts_with(&o.0));
            let named = object.and_then(|(_, o)| match o.syntax {
                Syntax::Enum(names) => names.iter().find(|name| name.1 == *n).map(|name| name.0.to_string()),
                _ => None,
            });
            named.unwrap_or_else(|| n.to_string())
        }
        Value::Text(text) => match std::str::from_utf8(text) {
            Ok(text) if !text.chars().any(char::is_control) => text.to_string(),
            _ => text.iter().map(|b| format!("{b:02x}")).collect(),
        },
        Value::Name(oid) => dotted(oid),
        Value::Counter32(n) | Value::Gauge(n) => n.to_string(),
        Value::Ticks(n) => format!("{}.{:02} s", n / 100, n % 100),
        Value::Counter64(n) => n.to_string(),
    }
}

/// Rounds of a bulk request: the agent fills its message with as many as fit.
const ROUNDS: u32 = 50;

impl Command {
    /// Reads the rest of a command line.
    ///
    /// # Errors
    /// Says in one line what is missing or not known, and never a secret.
    pub fn read(args: &mut Arguments) -> Result<Self, String> {
        let option = |args: &mut Arguments, name: &'static str| {
            args.opt_value_from_str::<_, String>(name).map_err(|e| e.to_string())
        };
        let number = |args: &mut Arguments, name: &'static str| {
            args.opt_value_from_str::<_, u32>(name).map_err(|e| e.to_string())
        };
        let (community, users, user) =
            (option(args, "--community")?, option(args, "--users")?, option(args, "--user")?);
        let timeout = Duration::from_millis(number(args, "--timeout")?.unwrap_or(1000).max(1).into());
        let tries = number(args, "--tries")?.unwrap_or(3).max(1);
        let json = args.contains("--json");
        let word = |args: &mut Arguments, name: &str| {
            args.free_from_str::<String>()
                .map_err(|_| format!("snmp: {name} is missing, see 'curlewdeck help'"))
        };
        let what = match word(args, "get, walk or table")?.as_str() {
            "get" => What::Get,
            "walk" => What::Walk,
            "table" => What::Table,
            other => return Err(format!("snmp: '{other}' is not known, see 'curlewdeck help'")),
        };
        let (address, name) = (word(args, "ADDRESS")?, word(args, "NAME")?);
        let security = match (community, users, user) {
            (Some(community), None, None) => Security::Community(community),
            (None, Some(file), Some(name)) => {
                let path = PathBuf::from(&file);
                let users = User::read_all(&read_secret(&path).map_err(|e| e.to_string())?)
                    .map_err(|why| format!("{file}: {why}"))?;
                let found = users.into_iter().find(|u| u.name == name);
                Security::User(found.ok_or_else(|| format!("{file}: there is no user '{name}'"))?)
            }
            _ => return Err("snmp: --community, or --users and --user, are needed".into()),
        };
        let module = mib::module();
        let name =
            resolve(&module, &name).ok_or_else(|| format!("snmp: '{name}' is no object of the MIB"))?;
        Ok(Self { what, address, name, security, timeout, tries, json, module })
    }

    /// Asks and prints.
    ///
    /// # Errors
    /// Says in one line why nothing came.
    pub fn run(self) -> Result<(), String> {
        let socket = UdpSocket::bind("0.0.0.0:0").and_then(|s| s.connect(&self.address).map(|()| s));
        let socket = socket.map_err(|e| format!("{}: {e}", self.address))?;
        let first = fastrand::i32(1..i32::MAX / 2);
        let mut asking = Asking {
            session: Session::new(self.security.clone(), first, fastrand::u64(..)),
            socket,
            timeout: self.timeout,
            tries: self.tries,
            begun: Instant::now(),
        };
        let mut met = Vec::new();
        if self.what == What::Get {
            let name = if self.module.object_of(&self.name).is_some_and(|o| o.1.is_empty()) {
                [&self.name[..], &[0]].concat()
            } else {
                self.name.clone()
            };
            for (oid, got) in asking.ask(&Ask::Get(vec![name]))? {
                match got {
                    Got::Value(value) => met.push((oid, value)),
                    other => return Err(format!("{}: {other:?}", self.shown(&oid))),
                }
            }
        } else {
            let mut walk = Walk::new(self.name.clone(), ROUNDS);
            while let Some(what) = walk.ask() {
                met.extend(walk.took(asking.ask(&what)?).map_err(|e| e.to_string())?);
            }
        }
        if met.is_empty() {
            return Err(format!("nothing is served below {}", self.shown(&self.name)));
        }
        match self.what {
            What::Table if !self.json => println!("{}", self.table(&met)),
            _ => met.iter().for_each(|(oid, value)| self.line(oid, value)),
        }
        Ok(())
    }

    fn shown(&self, oid: &[u32]) -> String {
        shown(&self.module, oid)
    }

    fn line(&self, oid: &[u32], value: &Value) {
        let (name, text) = (self.shown(oid), text(&self.module, oid, value));
        match self.json {
            true => println!("{}", serde_json::json!({"name": name, "oid": dotted(oid), "value": text})),
            false => println!("{name} = {text}"),
        }
    }

    /// Rows by index; a column for each object. Tables that are met together follow each other.
    fn table(&self, met: &[(Oid, Value)]) -> String {
        let mut tables: BTreeMap<Oid, BTreeMap<Vec<u32>, BTreeMap<u32, String>>> = BTreeMap::new();
        for (oid, value) in met {
            let Some((_, instance)) = self.module.object_of(oid) else { continue };
            let column = &oid[..oid.len() - instance.len()];
            let Some((&arc, row)) = column.split_last() else { continue };
            let rows = tables.entry(row.to_vec()).or_default();
            rows.entry(instance.to_vec()).or_default().insert(arc, text(&self.module, oid, value));
        }
        let one = |(base, rows): (&Oid, &BTreeMap<Vec<u32>, BTreeMap<u32, String>>)| {
            let arcs: BTreeSet<u32> = rows.values().flat_map(|r| r.keys().copied()).collect();
            let name = |arc: &u32| self.shown(&[&base[..], &[*arc]].concat());
            let head: Vec<String> =
                std::iter::once("index".to_string()).chain(arcs.iter().map(name)).collect();
            let row = |(index, cells): (&Vec<u32>, &BTreeMap<u32, String>)| {
                let cell = |arc: &u32| cells.get(arc).cloned().unwrap_or_default();
                std::iter::once(dotted(index)).chain(arcs.iter().map(cell)).collect::<Vec<String>>()
            };
            columns(&head, &rows.iter().map(row).collect::<Vec<_>>())
        };
        tables.iter().map(one).collect::<Vec<_>>().join("\n\n")
    }
}

/// An object, with or without an instance, a table, or a name in dots.
fn resolve(module: &Module, name: &str) -> Option<Oid> {
    if name.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        return parse_oid(name);
    }
    let (object, instance) = name.split_once('.').unwrap_or((name, ""));
    let table = module.tables.iter().find(|t| t.name == object || format!("{}Table", t.name) == object);
    let base = match table {
        Some(t) => [&module.root[..], &[module.tables_arc, t.arc, 1]].concat(),
        None => module.name_of(object)?,
    };
    let instance: Option<Oid> = match instance {
        "" => Some(Vec::new()),
        text => text.split('.').map(|a| a.parse().ok()).collect(),
    };
    Some([&base[..], &instance?].concat())
}

/// Requests on a socket, each tried a few times.
struct Asking {
    session: Session,
    socket: UdpSocket,
    timeout: Duration,
    tries: u32,
    begun: Instant,
}

impl Asking {
    fn ask(&mut self, what: &Ask) -> Result<Vec<(Oid, Got)>, String> {
        self.session.begin();
        let mut left = self.tries;
        let mut buf = vec![0; 65_536];
        while left > 0 {
            left -= 1;
            let bytes = self.session.write(what, self.now()).ok_or("the request cannot be written")?;
            self.socket.send(&bytes).map_err(|e| e.to_string())?;
            let sent = Instant::now();
            while let Some(wait) = self.timeout.checked_sub(sent.elapsed()).filter(|w| !w.is_zero()) {
                self.socket.set_read_timeout(Some(wait)).map_err(|e| e.to_string())?;
                let size = match self.socket.recv(&mut buf) {
                    Ok(size) => size,
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                    Err(e) => return Err(e.to_string()),
                };
                match self.session.read(&buf[..size], self.now()).map_err(|e| e.to_string())? {
                    Reply::Bindings(bindings) => return Ok(bindings),
                    Reply::NotOurs => {}
                    Reply::Again => {
                        // What was learnt costs no try.
                        left += 1;
                        break;
                    }
                }
            }
        }
        Err(format!("no answer in {} tries of {} ms", self.tries, self.timeout.as_millis()))
    }

    fn now(&self) -> u32 {
        u32::try_from(self.begun.elapsed().as_secs()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_objects_tables_or_dots() {
        let module = mib::module();
        let root = |arcs: &[u32]| Some([&mib::ROOT[..], arcs].concat());
        assert_eq!(resolve(&module, "cdQueriesTaken"), root(&[1, 4]));
        assert_eq!(resolve(&module, "cdQueriesTaken.0"), root(&[1, 4, 0]));
        assert_eq!(resolve(&module, "cdClassTable"), root(&[3, 1, 1]));
        assert_eq!(resolve(&module, "cdEndCount.1.2"), root(&[3, 2, 1, 2, 1, 2]));
        assert_eq!(resolve(&module, ".1.3.6"), Some(vec![1, 3, 6]));
        assert_eq!((resolve(&module, "cdNothing"), resolve(&module, "cdQueriesTaken.x")), (None, None));
    }

    #[test]
    fn a_command_line_names_what_is_missing() {
        let read = |line: &str| {
            let words = line.split_whitespace().map(Into::into).collect();
            Command::read(&mut Arguments::from_vec(words)).err().unwrap_or_default()
        };
        assert!(read("fly").contains("'fly'"));
        assert!(read("get").contains("ADDRESS is missing"));
        assert!(read("get 127.0.0.1:1 cdQueriesTaken").contains("--community"));
        assert!(read("get 127.0.0.1:1 cdNothing --community c").contains("cdNothing"));
        assert!(read("get 127.0.0.1:1 cdNothing --users /nowhere --user n").contains("/nowhere"));
        assert_eq!(read("get 127.0.0.1:1 cdQueriesTaken --community c"), "");
    }
}
