//! Whether an attempt may still be sent: cancelled by the engine, or abandoned by its client.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use super::optional_check::OptionalCheck;

/// Whether a client is still connected.
pub type IsConnected = dyn Fn() -> bool + Send + Sync;

/// Whether the client of a query is still connected, as its frontend sees it at any moment. Without a check the
/// client counts as connected.
#[derive(Clone, Default, PartialEq)]
pub struct ClientLiveness(OptionalCheck<IsConnected>);

impl ClientLiveness {
    /// A client that is connected for as long as `is_connected` returns true.
    pub fn new(is_connected: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(OptionalCheck::new(Arc::new(is_connected)))
    }

    /// Whether the client is still connected.
    pub fn is_connected(&self) -> bool {
        self.0.get().is_none_or(|is_connected| is_connected())
    }
}

impl fmt::Debug for ClientLiveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt_as("ClientLiveness", f)
    }
}

/// Tells whether an attempt may still be sent.
///
/// The engine cancels it as soon as the attempt has ended, before the query's answer is handed out. A sender checks it
/// right before the first byte of a frame, so that nothing is sent for a query that has its answer, whatever mailbox
/// the attempt waits in. The same holds for a query whose client has disconnected.
#[derive(Debug, Clone, Default)]
pub struct CancellationToken {
    flag: Arc<AtomicBool>,
    client: ClientLiveness,
}

impl CancellationToken {
    /// Active until it is cancelled.
    pub fn new() -> Self {
        Self::for_client(ClientLiveness::default())
    }

    /// Active until it is cancelled or this client has disconnected.
    pub fn for_client(client: ClientLiveness) -> Self {
        Self { flag: Arc::new(AtomicBool::new(true)), client }
    }

    /// Whether the attempt may still be sent.
    pub fn is_active(&self) -> bool {
        self.flag.load(Ordering::Acquire) && self.client.is_connected()
    }

    /// From now on the attempt may not be sent.
    pub(super) fn cancel(&self) {
        self.flag.store(false, Ordering::Release);
    }
}

impl PartialEq for CancellationToken {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.flag, &other.flag)
    }
}
