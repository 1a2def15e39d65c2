//! Publishes the process stats, so that readers do not wait for the actor.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use curlewdeck_accounting::process_stats::{process_stats, ProcessGauges};

use crate::api::Nanos;
use crate::net::coordinator::actor::CoreActor;
use crate::runtime::lock;

impl CoreActor {
    /// Publishes the process stats if they are due; returns the time of the next publication. The interval is
    /// independent of messages, since the set of excluded data nodes changes with time alone.
    pub(super) fn publish_process_stats(&mut self) -> Option<Nanos> {
        let interval = self.stats_interval?;
        let now = self.handle.clock.now();
        if now < self.next_publication {
            return Some(self.next_publication);
        }
        self.next_publication = now.saturating_add(interval);
        self.record_rejected_queue_full();
        let gauges = self.gauges();
        let stats = process_stats(&self.ledger, self.restored_ledger.as_ref(), gauges);
        *lock(&self.handle.published_stats) = Arc::new(stats);
        Some(self.next_publication)
    }

    fn gauges(&self) -> ProcessGauges {
        let nodes_known = self.engine.listed_servers();
        let nodes_excluded = self.engine.excluded_servers();
        let counters = &self.handle.counters;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ProcessGauges {
            attempts_written: count(&counters.attempts_written),
            nodes_known,
            nodes_excluded,
            reloads_ok: count(&counters.reloads_applied),
            reloads_failed: count(&counters.reloads_rejected),
        }
    }
}
