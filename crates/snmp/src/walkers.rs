//! A walk sees one tree. Each walker is kept on the tree that its walk began with for a stated short time; walkers who
//! come together share one; walkers and trees are bounded in number.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use crate::tree::Tree;
use crate::Oid;

/// Nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// Bounds of what is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Walkers.
    pub walkers: usize,
    /// Objects of all trees that walkers are kept on, the newest tree not counted.
    pub objects: usize,
    /// A walker that has asked nothing for so long has ended its walk.
    pub idle: Nanos,
    /// A walk that lasts longer goes on with a newer tree.
    pub age: Nanos,
    /// A tree that is no older serves whoever comes.
    pub fresh: Nanos,
}

struct Walker {
    tree: Arc<Tree>,
    made: Nanos,
    used: Nanos,
    last: Oid,
}

/// The walkers, by whatever tells them apart.
pub struct Walkers<K> {
    bounds: Bounds,
    newest: Option<(Nanos, Arc<Tree>)>,
    walkers: HashMap<K, Walker>,
}

/// What a request is to be answered from.
#[derive(Debug, Clone, PartialEq)]
pub enum From {
    /// This tree.
    Tree(Arc<Tree>),
    /// One that has to be made first: see [`Walkers::made`].
    Make,
}

impl<K: Eq + Hash + Clone> Walkers<K> {
    /// Nobody walks.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, newest: None, walkers: HashMap::new() }
    }

    /// Walkers that are kept.
    pub fn len(&self) -> usize {
        self.walkers.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.walkers.is_empty()
    }

    /// A request has come from a walker: for the object behind this name, or with none for objects by name.
    pub fn from(&mut self, now: Nanos, who: &K, behind: Option<&[u32]>) -> From {
        let bounds = self.bounds;
        if let (Some(walker), Some(behind)) = (self.walkers.get_mut(who), behind) {
            let goes_on = behind > walker.last.as_slice();
            let kept = now.saturating_sub(walker.used) <= bounds.idle
                && now.saturating_sub(walker.made) <= bounds.age;
            if goes_on && kept {
                (walker.used, walker.last) = (now, behind.to_vec());
                return From::Tree(walker.tree.clone());
            }
        }
        match &self.newest {
            Some((made, tree)) if now.saturating_sub(*made) <= bounds.fresh => {
                let (made, tree) = (*made, tree.clone());
                self.keep(now, who, behind, made, &tree);
                From::Tree(tree)
            }
            _ => From::Make,
        }
    }

    /// A tree was made for a walker's request.
    pub fn made(&mut self, now: Nanos, who: &K, behind: Option<&[u32]>, tree: Tree) -> Arc<Tree> {
        let tree = Arc::new(tree);
        self.newest = Some((now, tree.clone()));
        self.keep(now, who, behind, now, &tree);
        tree
    }

    fn keep(&mut self, now: Nanos, who: &K, behind: Option<&[u32]>, made: Nanos, tree: &Arc<Tree>) {
        let Some(behind) = behind else { return };
        let idle = self.bounds.idle;
        if !self.walkers.contains_key(who) && self.walkers.len() >= self.bounds.walkers {
            self.walkers.retain(|_, w| now.saturating_sub(w.used) <= idle);
        }
        if !self.walkers.contains_key(who) && self.walkers.len() >= self.bounds.walkers {
            // The one that has been silent for longest: its walk goes on with a newer tree, never backwards.
            let oldest = self.walkers.iter().min_by_key(|w| w.1.used).map(|w| w.0.clone());
            oldest.map(|o| self.walkers.remove(&o));
        }
        let walker = Walker { tree: tree.clone(), made, used: now, last: behind.to_vec() };
        self.walkers.insert(who.clone(), walker);
        while self.older_objects() > self.bounds.objects && self.drop_oldest_tree() {}
    }

    /// Objects of the trees that are kept for walks alone.
    fn older_objects(&self) -> usize {
        let newest = self.newest.as_ref().map(|n| Arc::as_ptr(&n.1));
        let trees: HashMap<*const Tree, usize> =
            self.walkers.values().map(|w| (Arc::as_ptr(&w.tree), w.tree.objects().len())).collect();
        trees.iter().filter(|t| Some(*t.0) != newest).map(|t| t.1).sum()
    }

    /// Lets go of the oldest tree, if it is not the newest: the walks on it go on with a newer one.
    fn drop_oldest_tree(&mut self) -> bool {
        let newest = self.newest.as_ref().map(|n| n.1.clone());
        let older =
            self.walkers.values().filter(|w| !newest.as_ref().is_some_and(|n| Arc::ptr_eq(n, &w.tree)));
        let Some(oldest) = older.min_by_key(|w| w.made).map(|w| w.tree.clone()) else { return false };
        self.walkers.retain(|_, w| !Arc::ptr_eq(&w.tree, &oldest));
        true
    }
}

#[cfg(test)]
mod tests;
