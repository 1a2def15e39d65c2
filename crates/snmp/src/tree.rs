//! Snapshots of the values of all objects, ordered by object identifier.

use crate::Oid;

/// The value of an object (RFC 2578, section 7.1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// INTEGER, also for enumerations.
    Integer(i32),
    /// OCTET STRING, such as a DisplayString.
    Text(Vec<u8>),
    /// OBJECT IDENTIFIER, as a value.
    Name(Oid),
    /// Counter32, which wraps after 2^32 - 1.
    Counter32(u32),
    /// Gauge32 and Unsigned32, which do not wrap.
    Gauge(u32),
    /// TimeTicks, in hundredths of a second.
    Ticks(u32),
    /// Counter64, which wraps after 2^64 - 1.
    Counter64(u64),
}

/// An immutable snapshot of object values.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    objects: Vec<(Oid, Value)>,
}

impl Tree {
    /// Builds a tree of these objects, given in any order. Of several objects with the same name the first is kept.
    pub fn new(mut objects: Vec<(Oid, Value)>) -> Self {
        objects.sort_by(|a, b| a.0.cmp(&b.0));
        objects.dedup_by(|b, a| a.0 == b.0);
        Self { objects }
    }

    /// All objects, ordered by name.
    pub fn objects(&self) -> &[(Oid, Value)] {
        &self.objects
    }

    /// The value of the object instance with this name.
    pub fn get(&self, name: &[u32]) -> Option<&Value> {
        let at = self.objects.binary_search_by(|o| o.0.as_slice().cmp(name)).ok()?;
        self.objects.get(at).map(|o| &o.1)
    }

    /// The first object after this name that the view admits.
    pub fn next(&self, name: &[u32], view: &View) -> Option<&(Oid, Value)> {
        let from = self.objects.partition_point(|o| o.0.as_slice() <= name);
        self.objects[from..].iter().find(|o| view.admits(&o.0))
    }

    /// Whether there is an object with this name or below it.
    pub fn has_below(&self, name: &[u32]) -> bool {
        let from = self.objects.partition_point(|o| o.0.as_slice() < name);
        self.objects.get(from).is_some_and(|o| o.0.starts_with(name))
    }
}

/// The objects that a user may read (RFC 3415, without masks). The longest subtree that contains a name decides.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Visible subtrees; if empty, all objects that are not excluded are visible.
    pub include: Vec<Oid>,
    /// Hidden subtrees.
    pub exclude: Vec<Oid>,
}

impl View {
    /// Whether a name is visible.
    pub fn admits(&self, name: &[u32]) -> bool {
        let longest = |subtrees: &[Oid]| subtrees.iter().filter(|s| name.starts_with(s)).map(Vec::len).max();
        match (longest(&self.include), longest(&self.exclude)) {
            (None, None) => self.include.is_empty(),
            (None, Some(_)) => false,
            (Some(_), None) => true,
            (Some(included), Some(excluded)) => included > excluded,
        }
    }
}

#[cfg(test)]
mod tests;
