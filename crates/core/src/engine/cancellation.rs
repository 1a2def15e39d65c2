//! Prevents attempts from being sent after the engine has cancelled them or their client has disconnected.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use super::optional_check::OptionalCheck;

/// Returns whether a client is still connected.
pub type IsConnected = dyn Fn() -> bool + Send + Sync;

/// A frontend's check of whether the client of a query is still connected. Without a check the client counts as
/// connected.
#[derive(Clone, Default, PartialEq)]
pub struct ClientLiveness(OptionalCheck<IsConnected>);

impl ClientLiveness {
    /// Creates a check that calls `is_connected` each time the liveness of the client is queried.
    pub fn new(is_connected: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(OptionalCheck::new(Arc::new(is_connected)))
    }

    /// Returns whether the client is connected now.
    pub fn is_connected(&self) -> bool {
        self.0.get().is_none_or(|is_connected| is_connected())
    }
}

impl fmt::Debug for ClientLiveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt_as("ClientLiveness", f)
    }
}

/// Shared flag that is active while an attempt may still be sent.
///
/// The engine cancels the token as soon as the attempt has ended, before it returns the query's answer. A sender checks
/// the token right before it writes the first byte of a frame, so that no attempt of an answered query is sent,
/// whichever mailbox it waits in. The token is also inactive once the client of the query has disconnected.
#[derive(Debug, Clone, Default)]
pub struct CancellationToken {
    active: Arc<AtomicBool>,
    client: ClientLiveness,
}

impl CancellationToken {
    /// Creates a token that is active until it is cancelled.
    pub fn new() -> Self {
        Self::for_client(ClientLiveness::default())
    }

    /// Creates a token that is active until it is cancelled or the client has disconnected.
    pub fn for_client(client: ClientLiveness) -> Self {
        Self { active: Arc::new(AtomicBool::new(true)), client }
    }

    /// Returns whether the attempt may still be sent.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire) && self.client.is_connected()
    }

    /// Prevents the attempt from being sent from now on.
    pub(super) fn cancel(&self) {
        self.active.store(false, Ordering::Release);
    }
}

impl PartialEq for CancellationToken {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.active, &other.active)
    }
}
