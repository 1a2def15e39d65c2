//! Counters of connections, requests, queries and attempts. They are logged on SIGUSR1 and at exit, and served by SNMP.
//!
//! A counter's quoted name and its doc comment are the object's name and description in the published MIB. Both are an
//! interface and do not change when the field is renamed.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use curlewdeck_accounting::{QueryEnd, RequestLedger};

use crate::api::Outcome;

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident $shown:literal,)*) => {
        /// All counters of one process, in the order of the MIB. New counters are only appended.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: AtomicU64,)* }

        impl Counters {
            /// Names and values, in the order of the MIB.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$(($shown, self.$name.load(Ordering::Relaxed)),)*]
            }

            /// Names and descriptions, in the same order.
            pub fn described() -> Vec<(&'static str, &'static str)> {
                vec![$(($shown, concat!($($doc),*)),)*]
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    clients_accepted "cdClientsAccepted",
    /// Client connections refused by count.
    clients_refused "cdClientsRefused",
    /// Requests answered without the core: bad input.
    bad_requests "cdBadRequests",
    /// Queries taken.
    queries_accepted "cdQueriesTaken",
    /// Queries turned away over the limit.
    queries_over_limit "cdQueriesFull",
    /// Queries answered whole.
    answers_complete "cdAnswersWhole",
    /// Queries answered in part.
    answers_partial "cdAnswersPartial",
    /// Queries refused.
    queries_rejected "cdQueriesRefused",
    /// Queries failed.
    queries_failed "cdQueriesFailed",
    /// Queries whose client left.
    clients_disconnected "cdClientsGone",
    /// Attempts handed to data nodes.
    attempts_sent "cdAttemptsSent",
    /// Attempts that ended with a value.
    attempts_succeeded "cdAttemptsPassed",
    /// Attempts that ended otherwise.
    attempts_failed "cdAttemptsFailed",
    /// Attempts not sent: their data node drained or their time was over.
    attempts_not_sent "cdAttemptsStale",
    /// Attempts called off.
    attempts_cancelled "cdAttemptsDropped",
    /// Connections opened to data nodes.
    dials "cdDials",
    /// Connections to data nodes that did not come up.
    dials_failed "cdDialsFailed",
    /// Connections that a data node broke.
    connections_broken "cdLinksBroken",
    /// Frames from data nodes that could not be used.
    bad_frames "cdBadFrames",
    /// Probes sent.
    health_checks "cdProbes",
    /// Calls to the list's service.
    discovery_calls "cdListCalls",
    /// Calls that failed and watches that broke.
    discovery_call_errors "cdListErrors",
    /// Times that the list was silent for longer than the settings allow.
    endpoint_list_overdue "cdListOverdue",
    /// Feature requests answered.
    features_requests "cdOgcRequests",
    /// Management requests answered.
    snmp_requests "cdSnmpRequests",
    /// Changes of the list that were taken in.
    endpoint_list_changes "cdListChanges",
    /// Desk requests answered.
    aggregation_requests "cdDeskRequests",
    /// Values that a front did not accept.
    values_invalid "cdValuesUnfit",
    /// Missing ranges that an earlier answer bounded.
    range_cache_hits "cdRecallHits",
    /// What was learnt of ranges and is forgotten by age or size.
    range_cache_evictions "cdRecallEvicted",
    /// Ranges that said two things of one version.
    range_cache_contradictions "cdRecallContradictions",
    /// Management requests that were not served for their security.
    snmp_denied "cdSnmpDenied",
    /// Attempts whose frame was written whole to a data node.
    attempts_written "cdAttemptsWritten",
    /// Configurations taken at SIGHUP.
    reloads_applied "cdReloadsOk",
    /// Configurations turned down at SIGHUP.
    reloads_rejected "cdReloadsFailed",
    /// Times that the list could not be used any more since its news was overdue.
    endpoint_list_expired "cdListExpired",
}

impl Counters {
    /// Increments a counter by one.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Raises a counter to a count that is maintained elsewhere and never decreases.
    pub fn set(counter: &AtomicU64, count: u64) {
        counter.fetch_max(count, Ordering::Relaxed);
    }

    /// Copies the request ledger's counts. These counters are written nowhere else.
    pub fn record_ledger(&self, ledger: &RequestLedger) {
        let queries = |end: QueryEnd| ledger.sum(|class| class.ended_with(end));
        let attempts = ledger.attempts();
        let succeeded = attempts.ended_with(Outcome::Success);
        let not_sent = attempts.ended_with(Outcome::NotSent);
        let cancelled = attempts.ended_with(Outcome::Cancelled);
        let failed = attempts.total_ended() - succeeded - not_sent - cancelled;
        for (counter, count) in [
            (&self.queries_accepted, ledger.sum(|class| class.accepted)),
            (&self.answers_complete, queries(QueryEnd::CompleteInTime) + queries(QueryEnd::CompleteLate)),
            (&self.answers_partial, queries(QueryEnd::Partial)),
            (&self.queries_rejected, queries(QueryEnd::Rejected)),
            (&self.queries_failed, queries(QueryEnd::Failed)),
            (&self.clients_disconnected, queries(QueryEnd::ClientDisconnected)),
            (&self.attempts_sent, attempts.started),
            (&self.attempts_succeeded, succeeded),
            (&self.attempts_not_sent, not_sent),
            (&self.attempts_cancelled, cancelled),
            (&self.attempts_failed, failed),
        ] {
            counter.store(count, Ordering::Relaxed);
        }
    }

    /// Formats the counters as `name value`, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.all() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
        text
    }
}
