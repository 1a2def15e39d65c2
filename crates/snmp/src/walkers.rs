//! Consistent walks: requests of a walk are answered from the tree with which the walk began, for a limited time. Walks
//! that begin at about the same time share a tree. Walkers and the objects of their trees are bounded in number.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use crate::tree::Tree;
use crate::Oid;

/// A time or duration in nanoseconds of a monotonic clock.
pub type Nanos = u64;

/// Memory and time limits of walks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of walks in progress.
    pub max_walkers: usize,
    /// Maximum number of objects in all trees held by walks, except the newest tree.
    pub max_objects: usize,
    /// Time without a request after which a walk is considered to have ended.
    pub idle_timeout: Nanos,
    /// Maximum age of a walk's tree; after that the walk continues with a newer tree.
    pub max_walk_age: Nanos,
    /// Maximum age at which the newest tree is used for further walks and requests.
    pub max_shared_age: Nanos,
}

/// A walk in progress.
struct Walker {
    tree: Arc<Tree>,
    tree_created_at: Nanos,
    last_request_at: Nanos,
    position: Oid,
}

/// The walks in progress by walker; `K` identifies a walker.
pub struct Walkers<K> {
    bounds: Bounds,
    /// The newest tree and when it was created.
    newest: Option<(Nanos, Arc<Tree>)>,
    walkers: HashMap<K, Walker>,
}

/// The tree that a request is answered from.
#[derive(Debug, Clone, PartialEq)]
pub enum TreeSource {
    /// An existing tree.
    Existing(Arc<Tree>),
    /// A new tree, to be passed to [`Walkers::add_tree`].
    New,
}

impl<K: Eq + Hash + Clone> Walkers<K> {
    /// Creates a table without walks.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, newest: None, walkers: HashMap::new() }
    }

    /// Number of walks in progress.
    pub fn len(&self) -> usize {
        self.walkers.len()
    }

    /// Whether no walk is in progress.
    pub fn is_empty(&self) -> bool {
        self.walkers.is_empty()
    }

    /// The tree from which to answer a walker's request. `position` is the name after which a walk continues; `None`
    /// for a request of objects by name.
    pub fn tree_for(&mut self, now: Nanos, walker: &K, position: Option<&[u32]>) -> TreeSource {
        let bounds = self.bounds;
        if let (Some(walk), Some(position)) = (self.walkers.get_mut(walker), position) {
            let continues = position > walk.position.as_slice();
            let idle = now.saturating_sub(walk.last_request_at) > bounds.idle_timeout;
            let expired = now.saturating_sub(walk.tree_created_at) > bounds.max_walk_age;
            if continues && !idle && !expired {
                walk.last_request_at = now;
                walk.position = position.to_vec();
                return TreeSource::Existing(walk.tree.clone());
            }
        }
        match &self.newest {
            Some((created_at, tree)) if now.saturating_sub(*created_at) <= bounds.max_shared_age => {
                let (created_at, tree) = (*created_at, tree.clone());
                self.begin_walk(now, walker, position, created_at, &tree);
                TreeSource::Existing(tree)
            }
            _ => TreeSource::New,
        }
    }

    /// Adds the tree that was created for a walker's request, as the newest one.
    pub fn add_tree(&mut self, now: Nanos, walker: &K, position: Option<&[u32]>, tree: Tree) -> Arc<Tree> {
        let tree = Arc::new(tree);
        self.newest = Some((now, tree.clone()));
        self.begin_walk(now, walker, position, now, &tree);
        tree
    }

    fn begin_walk(
        &mut self,
        now: Nanos,
        walker: &K,
        position: Option<&[u32]>,
        tree_created_at: Nanos,
        tree: &Arc<Tree>,
    ) {
        let Some(position) = position else { return };
        self.make_room(now, walker);
        let walk =
            Walker { tree: tree.clone(), tree_created_at, last_request_at: now, position: position.to_vec() };
        self.walkers.insert(walker.clone(), walk);
        while self.older_objects() > self.bounds.max_objects && self.drop_oldest_tree() {}
    }

    /// If the table is full, removes idle walks, or else the least recently active one. A removed walk continues with a
    /// newer tree.
    fn make_room(&mut self, now: Nanos, walker: &K) {
        if self.has_room(walker) {
            return;
        }
        let idle_timeout = self.bounds.idle_timeout;
        self.walkers.retain(|_, walk| now.saturating_sub(walk.last_request_at) <= idle_timeout);
        if self.has_room(walker) {
            return;
        }
        let oldest = self.walkers.iter().min_by_key(|(_, walk)| walk.last_request_at);
        if let Some(oldest) = oldest.map(|(walker, _)| walker.clone()) {
            self.walkers.remove(&oldest);
        }
    }

    fn has_room(&self, walker: &K) -> bool {
        self.walkers.contains_key(walker) || self.walkers.len() < self.bounds.max_walkers
    }

    /// Number of objects in the trees held by walks, except the newest tree.
    fn older_objects(&self) -> usize {
        let newest = self.newest.as_ref().map(|n| Arc::as_ptr(&n.1));
        let trees: HashMap<*const Tree, usize> =
            self.walkers.values().map(|w| (Arc::as_ptr(&w.tree), w.tree.objects().len())).collect();
        trees.iter().filter(|t| Some(*t.0) != newest).map(|t| t.1).sum()
    }

    /// Drops the oldest tree unless it is the newest. Its walks continue with a newer tree.
    fn drop_oldest_tree(&mut self) -> bool {
        let newest = self.newest.as_ref().map(|n| n.1.clone());
        let older =
            self.walkers.values().filter(|w| !newest.as_ref().is_some_and(|n| Arc::ptr_eq(n, &w.tree)));
        let Some(oldest) = older.min_by_key(|w| w.tree_created_at).map(|w| w.tree.clone()) else {
            return false;
        };
        self.walkers.retain(|_, w| !Arc::ptr_eq(&w.tree, &oldest));
        true
    }
}

#[cfg(test)]
mod tests;
