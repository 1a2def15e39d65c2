//! The values of all objects at one moment, in the order of their names.

use crate::Oid;

/// A value (RFC 2578, section 7.1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// INTEGER.
    Integer(i32),
    /// OCTET STRING.
    Text(Vec<u8>),
    /// OBJECT IDENTIFIER.
    Name(Oid),
    /// Counter32: wraps.
    Counter32(u32),
    /// Gauge32 and Unsigned32: does not wrap.
    Gauge(u32),
    /// TimeTicks, in hundredths of a second.
    Ticks(u32),
    /// Counter64: wraps.
    Counter64(u64),
}

/// A table of values that never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    objects: Vec<(Oid, Value)>,
}

impl Tree {
    /// Of these objects, in any order; of two with one name the first counts.
    pub fn new(mut objects: Vec<(Oid, Value)>) -> Self {
        objects.sort_by(|a, b| a.0.cmp(&b.0));
        objects.dedup_by(|b, a| a.0 == b.0);
        Self { objects }
    }

    /// All objects, in order.
    pub fn objects(&self) -> &[(Oid, Value)] {
        &self.objects
    }

    /// The value of this name.
    pub fn get(&self, name: &[u32]) -> Option<&Value> {
        let at = self.objects.binary_search_by(|o| o.0.as_slice().cmp(name)).ok()?;
        self.objects.get(at).map(|o| &o.1)
    }

    /// The first object behind this name that the view admits.
    pub fn next(&self, name: &[u32], view: &View) -> Option<&(Oid, Value)> {
        let from = self.objects.partition_point(|o| o.0.as_slice() <= name);
        self.objects[from..].iter().find(|o| view.admits(&o.0))
    }

    /// Whether some object lies below this name.
    pub fn has_below(&self, name: &[u32]) -> bool {
        let from = self.objects.partition_point(|o| o.0.as_slice() < name);
        self.objects.get(from).is_some_and(|o| o.0.starts_with(name))
    }
}

/// What a user may see (RFC 3415, without masks): the longest subtree that holds a name decides.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Subtrees that are seen; none: all.
    pub include: Vec<Oid>,
    /// Subtrees that are not.
    pub exclude: Vec<Oid>,
}

impl View {
    /// Whether a name is seen.
    pub fn admits(&self, name: &[u32]) -> bool {
        let longest = |subtrees: &[Oid]| subtrees.iter().filter(|s| name.starts_with(s)).map(Vec::len).max();
        match (longest(&self.include), longest(&self.exclude)) {
            (None, None) => self.include.is_empty(),
            (None, Some(_)) => false,
            (Some(_), None) => true,
            (Some(seen), Some(hidden)) => seen > hidden,
        }
    }
}

#[cfg(test)]
mod tests;
