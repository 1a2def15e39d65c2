//! Definitions of the objects of a MIB: names, syntax and meaning. The text of the MIB (SMIv2, RFC 2578 to 2580) is
//! generated from them, and tests compare them with the objects that an agent serves.

use std::fmt::Write;

use crate::tree::Value;
use crate::Oid;

/// The syntax of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Syntax {
    /// A count that wraps after 2^64 - 1.
    Counter64,
    /// A count that wraps after 2^32 - 1.
    Counter32,
    /// A value that can increase and decrease.
    Gauge32,
    /// A row index, from 1.
    Unsigned32,
    /// The `sysUpTime` of an event, in hundredths of a second.
    TimeStamp,
    /// Human-readable text.
    DisplayString,
    /// An enumeration of these labels and numbers.
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

    /// The type name without ranges and labels, as used in the sequence of a table row.
    fn type_name(self) -> String {
        match self {
            Self::Enum(_) => "INTEGER".into(),
            Self::Unsigned32 => "Unsigned32".into(),
            other => other.text(),
        }
    }

    /// Whether a value has this syntax.
    pub fn matches(self, value: &Value) -> bool {
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

/// A scalar object, or a column of a table.
#[derive(Debug, Clone)]
pub struct Object {
    /// Descriptor in the MIB, unique in the module.
    pub name: String,
    /// Last arc of the object identifier, below the group or the table row.
    pub arc: u32,
    /// Type of the value, with its range or labels.
    pub syntax: Syntax,
    /// Unit of the value; empty if it has none.
    pub units: &'static str,
    /// Meaning of the value, and when it is counted.
    pub description: String,
}

/// Scalar objects below one parent.
#[derive(Debug, Clone)]
pub struct Group {
    /// Descriptor of the parent.
    pub name: &'static str,
    /// Arc of the parent below the module's root.
    pub arc: u32,
    /// Descriptor of the conformance group.
    pub conformance: &'static str,
    /// The scalars of the group.
    pub objects: Vec<Object>,
}

/// A table. Columns that are part of its index come first and are not accessible.
#[derive(Debug, Clone)]
pub struct Table {
    /// Descriptor without the suffix `Table`; the row object has the suffix `Entry` instead.
    pub name: &'static str,
    /// Arc of the table below [`Module::tables_arc`].
    pub arc: u32,
    /// Meaning of a row.
    pub description: &'static str,
    /// Descriptors of the index objects, of this table or another.
    pub index: Vec<&'static str>,
    /// The columns, including index columns.
    pub columns: Vec<Object>,
}

/// A notification, below arc 0 of the module's root (RFC 2578, section 8.5).
#[derive(Debug, Clone)]
pub struct Notification {
    /// Descriptor in the MIB.
    pub name: &'static str,
    /// Last arc of the object identifier.
    pub arc: u32,
    /// Descriptors of the objects that it carries.
    pub objects: Vec<&'static str>,
    /// When the notification is sent.
    pub description: &'static str,
}

impl Table {
    fn is_index(&self, column: &Object) -> bool {
        self.index.contains(&column.name.as_str())
    }

    fn accessible_columns(&self) -> impl Iterator<Item = &Object> {
        self.columns.iter().filter(|column| !self.is_index(column))
    }
}

/// A MIB module.
#[derive(Debug, Clone)]
pub struct Module {
    /// Name of the module, such as `CURLEWDECK-MIB`.
    pub name: &'static str,
    /// Descriptor of the root object.
    pub root_name: &'static str,
    /// Object identifier of the root, below `enterprises`.
    pub root: Oid,
    /// Revisions of the module, newest first: the time (UTC, `YYYYMMDDHHMMZ`) and a description.
    pub revisions: Vec<(&'static str, &'static str)>,
    /// Purpose of the module.
    pub description: &'static str,
    /// Groups of scalars.
    pub groups: Vec<Group>,
    /// Arc of the parent of all tables, below the root.
    pub tables_arc: u32,
    /// Tables, in the order of the MIB's text.
    pub tables: Vec<Table>,
    /// Notifications, in the order of the MIB's text.
    pub notifications: Vec<Notification>,
    /// Arc of the conformance statements, below the root.
    pub conformance_arc: u32,
}

/// Number of arcs in the object identifier of `enterprises`.
const ENTERPRISES_ARCS: usize = 6;

impl Module {
    fn below(&self, arcs: &[u32]) -> Oid {
        [&self.root[..], arcs].concat()
    }

    /// All readable objects with their object identifiers without instance, ordered by identifier.
    pub fn objects(&self) -> Vec<(Oid, &Object)> {
        let scalars =
            self.groups.iter().flat_map(|g| g.objects.iter().map(move |o| (self.below(&[g.arc, o.arc]), o)));
        let columns = self.tables.iter().flat_map(|t| {
            t.accessible_columns().map(move |c| (self.below(&[self.tables_arc, t.arc, 1, c.arc]), c))
        });
        let mut all: Vec<_> = scalars.chain(columns).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// The object identifier of a readable object, without instance.
    pub fn oid_of(&self, name: &str) -> Option<Oid> {
        self.objects().into_iter().find(|o| o.1.name == name).map(|o| o.0)
    }

    /// The descriptor of the object that an object identifier belongs to, and the instance part of the identifier.
    pub fn object_by_oid<'a>(&self, name: &'a [u32]) -> Option<(String, &'a [u32])> {
        let found = self.objects().into_iter().rfind(|o| name.starts_with(&o.0));
        found.map(|(oid, object)| (object.name.clone(), &name[oid.len()..]))
    }

    /// The object identifier of a notification.
    pub fn notification(&self, name: &str) -> Option<Oid> {
        self.notifications.iter().find(|n| n.name == name).map(|n| self.below(&[0, n.arc]))
    }

    /// The notification with this object identifier.
    pub fn notification_of(&self, oid: &[u32]) -> Option<&Notification> {
        self.notifications.iter().find(|n| self.below(&[0, n.arc]) == oid)
    }

    /// The text of the module in SMIv2.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        self.write_imports(out)?;
        self.write_identity(out)?;
        self.write_parents(out)?;
        for group in &self.groups {
            group.objects.iter().try_for_each(|o| write_object(out, o, group.name, "read-only"))?;
        }
        self.tables.iter().try_for_each(|table| write_table(out, table))?;
        self.write_notifications(out)?;
        self.write_conformance(out)?;
        writeln!(out, "\nEND")
    }

    fn write_imports(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "{} DEFINITIONS ::= BEGIN\n\nIMPORTS", self.name)?;
        writeln!(
            out,
            "    MODULE-IDENTITY, OBJECT-TYPE, NOTIFICATION-TYPE, Counter64, Counter32, Gauge32, Unsigned32, enterprises"
        )?;
        writeln!(out, "        FROM SNMPv2-SMI\n    DisplayString, TimeStamp\n        FROM SNMPv2-TC")?;
        writeln!(
            out,
            "    MODULE-COMPLIANCE, OBJECT-GROUP, NOTIFICATION-GROUP\n        FROM SNMPv2-CONF;\n"
        )?;
        writeln!(
            out,
            "-- Written by 'curlewdeck mib' from the registry that the agent serves: do not edit.\n"
        )
    }

    fn write_identity(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "{} MODULE-IDENTITY", self.root_name)?;
        writeln!(out, "    LAST-UPDATED \"{}\"", self.revisions.first().map_or("", |r| r.0))?;
        writeln!(
            out,
            "    ORGANIZATION \"curlewdeck\"\n    CONTACT-INFO \"The operators of the deployment\""
        )?;
        writeln!(out, "    DESCRIPTION  \"{}\"", self.description)?;
        for (when, what) in &self.revisions {
            writeln!(out, "    REVISION     \"{when}\"\n    DESCRIPTION  \"{what}\"")?;
        }
        let arcs = &self.root[ENTERPRISES_ARCS.min(self.root.len())..];
        let arcs: Vec<String> = arcs.iter().map(u32::to_string).collect();
        writeln!(out, "    ::= {{ enterprises {} }}\n", arcs.join(" "))
    }

    /// Writes the parents of scalars, conformance statements, notifications and tables.
    fn write_parents(&self, out: &mut String) -> std::fmt::Result {
        let root = self.root_name;
        for group in &self.groups {
            writeln!(out, "{} OBJECT IDENTIFIER ::= {{ {root} {} }}", group.name, group.arc)?;
        }
        writeln!(out, "cdConformance OBJECT IDENTIFIER ::= {{ {root} {} }}", self.conformance_arc)?;
        writeln!(out, "cdNotifications OBJECT IDENTIFIER ::= {{ {root} 0 }}")?;
        writeln!(out, "cdTables OBJECT IDENTIFIER ::= {{ {root} {} }}", self.tables_arc)
    }

    fn write_notifications(&self, out: &mut String) -> std::fmt::Result {
        for notification in &self.notifications {
            writeln!(out, "\n{} NOTIFICATION-TYPE", notification.name)?;
            if !notification.objects.is_empty() {
                writeln!(out, "    OBJECTS     {{ {} }}", notification.objects.join(", "))?;
            }
            writeln!(out, "    STATUS      current\n    DESCRIPTION \"{}\"", notification.description)?;
            writeln!(out, "    ::= {{ cdNotifications {} }}", notification.arc)?;
        }
        Ok(())
    }

    /// Descriptors of the conformance groups and of their objects.
    fn conformance_groups(&self) -> Vec<(String, Vec<String>)> {
        let scalars = self.groups.iter().map(|group| {
            let objects = group.objects.iter().map(|o| o.name.clone()).collect();
            (group.conformance.to_string(), objects)
        });
        let tables = self.tables.iter().map(|table| {
            let objects = table.accessible_columns().map(|c| c.name.clone()).collect();
            (format!("{}Group", table.name), objects)
        });
        scalars.chain(tables).collect()
    }

    fn write_conformance(&self, out: &mut String) -> std::fmt::Result {
        let groups = self.conformance_groups();
        for (index, (name, objects)) in groups.iter().enumerate() {
            // The first group and the compliance statement keep the arcs 1 and 2 of the first revision, so later groups
            // follow from 3.
            let arc = if index == 0 { 1 } else { index + 2 };
            let objects = objects.join(",\n                  ");
            writeln!(out, "\n{name} OBJECT-GROUP\n    OBJECTS     {{ {objects} }}")?;
            write_group_end(out, arc)?;
        }
        let mut names: Vec<&str> = groups.iter().map(|(name, _)| name.as_str()).collect();
        let notifications: Vec<&str> = self.notifications.iter().map(|n| n.name).collect();
        if !notifications.is_empty() {
            names.push("cdNotificationGroup");
            let notifications = notifications.join(",\n                    ");
            writeln!(out, "\ncdNotificationGroup NOTIFICATION-GROUP")?;
            writeln!(out, "    NOTIFICATIONS {{ {notifications} }}")?;
            write_group_end(out, groups.len() + 2)?;
        }
        writeln!(out, "\ncdCompliance MODULE-COMPLIANCE\n    STATUS      current")?;
        writeln!(out, "    DESCRIPTION \"An agent serves all of them.\"\n    MODULE")?;
        writeln!(out, "        MANDATORY-GROUPS {{ {} }}", names.join(",\n                           "))?;
        writeln!(out, "    ::= {{ cdConformance 2 }}")
    }
}

fn write_group_end(out: &mut String, arc: usize) -> std::fmt::Result {
    writeln!(
        out,
        "    STATUS      current\n    DESCRIPTION \"All of them.\"\n    ::= {{ cdConformance {arc} }}"
    )
}

fn write_table(out: &mut String, table: &Table) -> std::fmt::Result {
    let name = table.name;
    let entry = format!("{}{}", name[..1].to_uppercase(), &name[1..]);
    writeln!(out, "\n{name}Table OBJECT-TYPE\n    SYNTAX      SEQUENCE OF {entry}Entry")?;
    writeln!(out, "    MAX-ACCESS  not-accessible\n    STATUS      current")?;
    writeln!(out, "    DESCRIPTION \"{}\"\n    ::= {{ cdTables {} }}", table.description, table.arc)?;
    writeln!(out, "\n{name}Entry OBJECT-TYPE\n    SYNTAX      {entry}Entry")?;
    writeln!(out, "    MAX-ACCESS  not-accessible\n    STATUS      current")?;
    writeln!(out, "    DESCRIPTION \"A row.\"\n    INDEX       {{ {} }}", table.index.join(", "))?;
    writeln!(out, "    ::= {{ {name}Table 1 }}\n\n{entry}Entry ::= SEQUENCE {{")?;
    let column = |column: &Object| format!("    {} {}", column.name, column.syntax.type_name());
    let columns: Vec<String> = table.columns.iter().map(column).collect();
    writeln!(out, "{}\n}}", columns.join(",\n"))?;
    let parent = format!("{name}Entry");
    table.columns.iter().try_for_each(|column| {
        let access = if table.is_index(column) { "not-accessible" } else { "read-only" };
        write_object(out, column, &parent, access)
    })
}

fn write_object(out: &mut String, object: &Object, parent: &str, access: &str) -> std::fmt::Result {
    writeln!(out, "\n{} OBJECT-TYPE\n    SYNTAX      {}", object.name, object.syntax.text())?;
    if !object.units.is_empty() {
        writeln!(out, "    UNITS       \"{}\"", object.units)?;
    }
    writeln!(out, "    MAX-ACCESS  {access}\n    STATUS      current")?;
    writeln!(out, "    DESCRIPTION \"{}\"\n    ::= {{ {parent} {} }}", object.description, object.arc)
}
