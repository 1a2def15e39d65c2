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
mod tests {
    use super::*;

    #[test]
    fn the_longest_subtree_decides() {
        let view = View { include: vec![vec![1, 3]], exclude: vec![vec![1, 3, 6], vec![1, 4]] };
        for (name, seen) in
            [(vec![1, 3, 5], true), (vec![1, 3, 6, 1], false), (vec![1, 4], false), (vec![2], false)]
        {
            assert_eq!(view.admits(&name), seen, "{name:?}");
        }
        assert!(View::default().admits(&[1, 3]));
        let all_but = View { exclude: vec![vec![1, 3, 6]], ..View::default() };
        assert!(all_but.admits(&[1, 3]) && !all_but.admits(&[1, 3, 6]));
    }

    #[test]
    fn next_goes_over_what_is_hidden() {
        let object = |arcs: &[u32]| (arcs.to_vec(), Value::Gauge(arcs[0]));
        let tree = Tree::new(vec![object(&[1, 3]), object(&[1, 1]), object(&[1, 2, 1]), object(&[1, 2, 2])]);
        let hidden = View { exclude: vec![vec![1, 2]], ..View::default() };
        assert_eq!(tree.next(&[1, 1], &hidden).map(|o| o.0.clone()), Some(vec![1, 3]));
        assert_eq!(tree.next(&[1, 1], &View::default()).map(|o| o.0.clone()), Some(vec![1, 2, 1]));
        assert_eq!(tree.next(&[1, 3], &View::default()), None);
        assert!(tree.has_below(&[1, 2]) && !tree.has_below(&[1, 4]) && tree.get(&[1, 2]).is_none());
    }
}
