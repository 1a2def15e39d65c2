//! Where objects are defined, once: their names, kinds and meaning. The MIB's text (SMIv2, RFC 2578 to 2580) is written
//! from it, and what an agent serves is held against it.

use std::fmt::Write;

use crate::tree::Value;
use crate::Oid;

/// The kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Syntax {
    /// A count that wraps after 2^64.
    Counter64,
    /// A count that wraps after 2^32.
    Counter32,
    /// A figure that goes up and down.
    Gauge32,
    /// A row's number.
    Unsigned32,
    /// Hundredths of a second of `sysUpTime` at which something happened.
    TimeStamp,
    /// A text.
    DisplayString,
    /// One of these, by number.
    Enum(&'static [(&'static str, i32)]),
}

impl Syntax {
    fn text(self) -> String {
        match self {
            Self::Counter64 => "Counter64".into(),
            Self::Counter32 => "Counter32".into(),
            Self::Gauge32 => "Gauge32".into(),
            Self::Unsigned32 => "Unsigned32 (1..4294967295)".into(),
            Self::TimeStamp => "TimeStamp".into(),
            Self::DisplayString => "DisplayString".into(),
            Self::Enum(names) => {
                let names: Vec<String> = names.iter().map(|(name, n)| format!("{name}({n})")).collect();
                format!("INTEGER {{ {} }}", names.join(", "))
            }
        }
    }

    /// The name of its type alone, as a row's sequence has it.
    fn base(self) -> String {
        match self {
            Self::Enum(_) => "INTEGER".into(),
            Self::Unsigned32 => "Unsigned32".into(),
            other => other.text(),
        }
    }

    /// Whether a value is of this kind.
    pub fn fits(self, value: &Value) -> bool {
        match (self, value) {
            (Self::Counter64, Value::Counter64(_))
            | (Self::Counter32, Value::Counter32(_))
            | (Self::Gauge32 | Self::Unsigned32, Value::Gauge(_))
            | (Self::TimeStamp, Value::Ticks(_))
            | (Self::DisplayString, Value::Text(_)) => true,
            (Self::Enum(names), Value::Integer(n)) => names.iter().any(|name| name.1 == *n),
            _ => false,
        }
    }
}

/// One object, or one column of a table.
#[derive(Debug, Clone)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// Its number below its parent.
    pub arc: u32,
    /// Its kind.
    pub syntax: Syntax,
    /// Its unit, if it has one.
    pub units: &'static str,
    /// What it says, and when it is counted.
    pub about: String,
}

/// Scalars below one parent.
#[derive(Debug, Clone)]
pub struct Group {
    /// The parent's name.
    pub name: &'static str,
    /// Its number below the module.
    pub arc: u32,
    /// The name of its conformance group.
    pub conformance: &'static str,
    /// Its objects.
    pub objects: Vec<Object>,
}

/// A table. Columns that are its own index come first and are not accessible.
#[derive(Debug, Clone)]
pub struct Table {
    /// Its name without `Table`: rows are called by it with `Entry`.
    pub name: &'static str,
    /// Its number below `tables`.
    pub arc: u32,
    /// What a row is.
    pub about: &'static str,
    /// The objects that make its index, of this table or another.
    pub index: Vec<&'static str>,
    /// Its columns.
    pub columns: Vec<Object>,
}

/// A notification, below the root's object 0 (RFC 2578, section 8.5).
#[derive(Debug, Clone)]
pub struct Notification {
    /// Its name.
    pub name: &'static str,
    /// Its number.
    pub arc: u32,
    /// The objects that it carries.
    pub objects: Vec<&'static str>,
    /// When it is sent.
    pub about: &'static str,
}

/// A MIB module.
#[derive(Debug, Clone)]
pub struct Module {
    /// The module's name.
    pub name: &'static str,
    /// The name of its root object.
    pub root_name: &'static str,
    /// The root's full name; it stands below `enterprises`.
    pub root: Oid,
    /// Changes of the module, the newest first: when (UTC, `YYYYMMDDHHMMZ`) and what.
    pub revisions: Vec<(&'static str, &'static str)>,
    /// What it is about.
    pub about: &'static str,
    /// Its scalars.
    pub groups: Vec<Group>,
    /// The arc of its tables.
    pub tables_arc: u32,
    /// Its tables.
    pub tables: Vec<Table>,
    /// Its notifications.
    pub notifications: Vec<Notification>,
    /// The arc of its conformance statements.
    pub conformance_arc: u32,
}

/// The length of `enterprises`.
const ENTERPRISES: usize = 6;

impl Module {
    fn below(&self, arcs: &[u32]) -> Oid {
        [&self.root[..], arcs].concat()
    }

    /// All objects that can be read: their full names without an instance, and their kinds. In the order of names.
    pub fn objects(&self) -> Vec<(Oid, &Object)> {
        let scalars =
            self.groups.iter().flat_map(|g| g.objects.iter().map(move |o| (self.below(&[g.arc, o.arc]), o)));
        let columns = self.tables.iter().flat_map(|t| {
            let own = t.columns.iter().filter(|c| !t.index.contains(&c.name.as_str()));
            own.map(move |c| (self.below(&[self.tables_arc, t.arc, 1, c.arc]), c))
        });
        let mut all: Vec<_> = scalars.chain(columns).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// The full name of an object, without an instance.
    pub fn name_of(&self, name: &str) -> Option<Oid> {
        self.objects().into_iter().find(|o| o.1.name == name).map(|o| o.0)
    }

    /// The object that a full name belongs to, and its instance.
    pub fn object_of<'a>(&self, name: &'a [u32]) -> Option<(String, &'a [u32])> {
        let found = self.objects().into_iter().rfind(|o| name.starts_with(&o.0));
        found.map(|(oid, object)| (object.name.clone(), &name[oid.len()..]))
    }

    /// The full name of a notification.
    pub fn notification(&self, name: &str) -> Option<Oid> {
        self.notifications.iter().find(|n| n.name == name).map(|n| self.below(&[0, n.arc]))
    }

    /// The notification of this full name.
    pub fn notification_of(&self, oid: &[u32]) -> Option<&Notification> {
        self.notifications.iter().find(|n| self.below(&[0, n.arc]) == oid)
    }

    /// The module's text.
    pub fn text(&self) -> String {
        let mut t = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut t);
        t
    }

    fn write(&self, t: &mut String) -> std::fmt::Result {
        let (name, root) = (self.name, self.root_name);
        writeln!(t, "{name} DEFINITIONS ::= BEGIN\n\nIMPORTS")?;
        writeln!(
            t,
            "    MODULE-IDENTITY, OBJECT-TYPE, NOTIFICATION-TYPE, Counter64, Counter32, Gauge32, Unsigned32, enterprises"
        )?;
        writeln!(t, "        FROM SNMPv2-SMI\n    DisplayString, TimeStamp\n        FROM SNMPv2-TC")?;
        writeln!(t, "    MODULE-COMPLIANCE, OBJECT-GROUP, NOTIFICATION-GROUP\n        FROM SNMPv2-CONF;\n")?;
        writeln!(
            t,
            "-- Written by 'curlewdeck mib' from the registry that the agent serves: do not edit.\n"
        )?;
        writeln!(t, "{root} MODULE-IDENTITY")?;
        writeln!(t, "    LAST-UPDATED \"{}\"", self.revisions.first().map_or("", |r| r.0))?;
        writeln!(t, "    ORGANIZATION \"curlewdeck\"\n    CONTACT-INFO \"The operators of the deployment\"")?;
        writeln!(t, "    DESCRIPTION  \"{}\"", self.about)?;
        for (when, what) in &self.revisions {
            writeln!(t, "    REVISION     \"{when}\"\n    DESCRIPTION  \"{what}\"")?;
        }
        let below: Vec<String> =
            self.root[ENTERPRISES.min(self.root.len())..].iter().map(u32::to_string).collect();
        writeln!(t, "    ::= {{ enterprises {} }}\n", below.join(" "))?;
        for group in &self.groups {
            writeln!(t, "{} OBJECT IDENTIFIER ::= {{ {root} {} }}", group.name, group.arc)?;
        }
        writeln!(t, "cdConformance OBJECT IDENTIFIER ::= {{ {root} {} }}", self.conformance_arc)?;
        writeln!(t, "cdNotifications OBJECT IDENTIFIER ::= {{ {root} 0 }}")?;
        writeln!(t, "cdTables OBJECT IDENTIFIER ::= {{ {root} {} }}", self.tables_arc)?;
        for group in &self.groups {
            group.objects.iter().try_for_each(|o| object(t, o, group.name, "read-only"))?;
        }
        self.tables.iter().try_for_each(|table| self.write_table(t, table))?;
        self.write_notifications(t)?;
        self.write_conformance(t)?;
        writeln!(t, "\nEND")
    }

    fn write_table(&self, t: &mut String, table: &Table) -> std::fmt::Result {
        let (name, about) = (table.name, table.about);
        let entry = format!("{}{}", name[..1].to_uppercase(), &name[1..]);
        writeln!(t, "\n{name}Table OBJECT-TYPE\n    SYNTAX      SEQUENCE OF {entry}Entry")?;
        writeln!(t, "    MAX-ACCESS  not-accessible\n    STATUS      current")?;
        writeln!(t, "    DESCRIPTION \"{about}\"\n    ::= {{ cdTables {} }}", table.arc)?;
        writeln!(t, "\n{name}Entry OBJECT-TYPE\n    SYNTAX      {entry}Entry")?;
        writeln!(t, "    MAX-ACCESS  not-accessible\n    STATUS      current")?;
        writeln!(t, "    DESCRIPTION \"A row.\"\n    INDEX       {{ {} }}", table.index.join(", "))?;
        writeln!(t, "    ::= {{ {name}Table 1 }}\n\n{entry}Entry ::= SEQUENCE {{")?;
        let columns: Vec<String> =
            table.columns.iter().map(|c| format!("    {} {}", c.name, c.syntax.base())).collect();
        writeln!(t, "{}\n}}", columns.join(",\n"))?;
        let row = format!("{name}Entry");
        table.columns.iter().try_for_each(|c| {
            let own = table.index.contains(&c.name.as_str());
            object(t, c, &row, if own { "not-accessible" } else { "read-only" })
        })
    }

    fn write_notifications(&self, t: &mut String) -> std::fmt::Result {
        for n in &self.notifications {
            writeln!(t, "\n{} NOTIFICATION-TYPE", n.name)?;
            if !n.objects.is_empty() {
                writeln!(t, "    OBJECTS     {{ {} }}", n.objects.join(", "))?;
            }
            writeln!(t, "    STATUS      current\n    DESCRIPTION \"{}\"", n.about)?;
            writeln!(t, "    ::= {{ cdNotifications {} }}", n.arc)?;
        }
        Ok(())
    }

    fn write_conformance(&self, t: &mut String) -> std::fmt::Result {
        let mut groups: Vec<(String, Vec<String>)> = Vec::new();
        for g in &self.groups {
            groups.push((g.conformance.to_string(), g.objects.iter().map(|o| o.name.clone()).collect()));
        }
        for table in &self.tables {
            let own = table.columns.iter().filter(|c| !table.index.contains(&c.name.as_str()));
            groups.push((format!("{}Group", table.name), own.map(|c| c.name.clone()).collect()));
        }
        // The group of the counters and the compliance statement keep their first numbers.
        for (n, (name, objects)) in groups.iter().enumerate() {
            let arc = if n == 0 { 1 } else { n + 2 };
            writeln!(
                t,
                "\n{name} OBJECT-GROUP\n    OBJECTS     {{ {} }}",
                objects.join(",\n                  ")
            )?;
            writeln!(t, "    STATUS      current\n    DESCRIPTION \"All of them.\"\n    ::= {{ cdConformance {arc} }}")?;
        }
        let mut names: Vec<&str> = groups.iter().map(|g| g.0.as_str()).collect();
        let told: Vec<&str> = self.notifications.iter().map(|n| n.name).collect();
        if !told.is_empty() {
            names.push("cdNotificationGroup");
            writeln!(t, "\ncdNotificationGroup NOTIFICATION-GROUP")?;
            writeln!(t, "    NOTIFICATIONS {{ {} }}", told.join(",\n                    "))?;
            let arc = groups.len() + 2;
            writeln!(t, "    STATUS      current\n    DESCRIPTION \"All of them.\"\n    ::= {{ cdConformance {arc} }}")?;
        }
        writeln!(t, "\ncdCompliance MODULE-COMPLIANCE\n    STATUS      current")?;
        writeln!(t, "    DESCRIPTION \"An agent serves all of them.\"\n    MODULE")?;
        writeln!(t, "        MANDATORY-GROUPS {{ {} }}", names.join(",\n                           "))?;
        writeln!(t, "    ::= {{ cdConformance 2 }}")
    }
}

fn object(t: &mut String, o: &Object, parent: &str, access: &str) -> std::fmt::Result {
    writeln!(t, "\n{} OBJECT-TYPE\n    SYNTAX      {}", o.name, o.syntax.text())?;
    if !o.units.is_empty() {
        writeln!(t, "    UNITS       \"{}\"", o.units)?;
    }
    writeln!(t, "    MAX-ACCESS  {access}\n    STATUS      current")?;
    writeln!(t, "    DESCRIPTION \"{}\"\n    ::= {{ {parent} {} }}", o.about, o.arc)
}
