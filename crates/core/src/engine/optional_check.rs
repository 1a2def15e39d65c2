//! An optional check that a frontend attaches to a query.

use std::fmt;
use std::sync::Arc;

/// An optional function, shared by all clones. Two checks are equal if they share one function or neither has one.
pub(super) struct OptionalCheck<F: ?Sized>(Option<Arc<F>>);

impl<F: ?Sized> OptionalCheck<F> {
    pub(super) fn new(check: Arc<F>) -> Self {
        Self(Some(check))
    }

    pub(super) fn get(&self) -> Option<&F> {
        self.0.as_deref()
    }

    /// Formats the type that contains this check, and whether the check has a function.
    pub(super) fn fmt_as(&self, type_name: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let content = if self.0.is_some() { "check" } else { "any" };
        write!(f, "{type_name}({content})")
    }
}

impl<F: ?Sized> Clone for OptionalCheck<F> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<F: ?Sized> Default for OptionalCheck<F> {
    fn default() -> Self {
        Self(None)
    }
}

impl<F: ?Sized> PartialEq for OptionalCheck<F> {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        }
    }
}
