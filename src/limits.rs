//! All limits on sizes, counts and times of the process, in one type that is created at startup and passed down.

use std::time::Duration;

mod platform;

pub use platform::{LimitsError, PlatformBounds};

/// The limits of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Worker threads for coroutines; one, since the platform provides one core.
    pub workers: usize,
    /// Stack size of a coroutine that serves one connection, in machine words.
    pub stack_words: usize,
    /// Stack size of the coroutine that runs the core, and of a call to discovery, in machine words.
    pub core_stack_words: usize,
    /// Stacks of ended coroutines that are kept for new ones. Each keeps the memory that it was used for.
    pub spare_stacks: usize,
    /// Maximum number of open client connections.
    pub clients: usize,
    /// Further connections that are open while evicted ones close, so that new clients need not wait for that.
    pub closing_clients: usize,
    /// Memory that a client connection may use for what it has received, and again for a request that waits for its
    /// answer, in bytes. What exceeds it comes from `request_memory`.
    pub request_allowance: usize,
    /// Memory for larger requests of all client connections together, in bytes.
    pub request_memory: usize,
    /// Maximum number of connections to data nodes, including those that are being opened.
    pub node_sockets: usize,
    /// Maximum size of the head of an HTTP request or response, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body of an HTTP request, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a frame from a data node, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum size of the first line of an answer in a frame, in bytes.
    pub max_frame_line_bytes: usize,
    /// Time within which a partially received frame must be complete. `connection_silence_for` replaces it if longer.
    pub frame_read_timeout: Duration,
    /// Cancelled and answered parts that a connection remembers, to recognize late and duplicate answers.
    pub remembered_parts: usize,
    /// Minimum time without a complete frame, while parts are in flight, after which nothing new is sent on a
    /// connection: a machine that has failed, or a connection that was lost, may give no other sign.
    pub connection_silence: Duration,
    /// The shortest latency objective divided by this replaces `connection_silence` if it is longer.
    pub connection_silence_divisor: u32,
    /// Time for which a data node's actor does not dial again after no socket was left for a connection.
    pub no_socket_backoff: Duration,
    /// Minimum interval between log lines about missing sockets, for all data nodes together.
    pub no_socket_log_interval: Duration,
    /// Time for which the name of a finished query is not reused, since late answers still contain it.
    pub query_name_quarantine: Duration,
    /// Maximum size of an endpoint list or of an update to it, in bytes.
    pub max_update_bytes: usize,
    /// Maximum number of header fields of an HTTP request or response.
    pub max_headers: usize,
    /// Messages in the core's mailbox above which new queries are rejected.
    pub core_backlog: usize,
    /// Maximum number of parts that may be queued at one data node's actor; for feature servers, of running fetches.
    pub queued_parts_per_node: usize,
    /// Idle time after which a client connection that has been answered is closed.
    pub client_idle_timeout: Duration,
    /// Idle time after which such a connection may be closed to make room for a new one.
    pub client_evictable_idle: Duration,
    /// Time after which a connection without a complete request may be closed to make room for a new one, since the
    /// data that a client sends at once has arrived by then. If there is no such connection, an answered one may be
    /// closed that has been idle for at least this long, but for less than `client_evictable_idle`.
    pub client_evictable_silence: Duration,
    /// Idle time up to which a connection with several answers is not closed for a new one: its client sends one query
    /// after another.
    pub client_active_pause: Duration,
    /// Time for which a new connection waits for another one to be closed before it is rejected.
    pub client_slot_timeout: Duration,
    /// Time within which a request must be complete: the first one since the connection was accepted, further ones
    /// since their first byte.
    pub request_read_timeout: Duration,
    /// Bytes that a client may send ahead while a request is pending. Further bytes are dropped, and the connection is
    /// closed after the last answer to the accepted ones.
    pub read_ahead: usize,
    /// Maximum number of connections that are being rejected with an answer; further ones may be reset.
    pub rejected_clients: usize,
    /// Time for which input is read and dropped after the last answer on a connection, so that a reset does not destroy
    /// the answer.
    pub linger: Duration,
    /// Maximum number of bytes that are read and dropped in that time.
    pub linger_bytes: usize,
    /// Maximum timeout that a client may request.
    pub max_client_timeout: Duration,
    /// Timeout for writing an answer to a client's socket.
    pub client_write_timeout: Duration,
    /// Timeout for writing a frame to a data node's socket.
    pub node_write_timeout: Duration,
    /// Time after which an unanswered health check has failed.
    pub health_check_timeout: Duration,
    /// Safety margin before the idle timeout at which a data node closes a connection. The connection is not used
    /// within it, or within the last quarter of the timeout if that is shorter.
    pub idle_margin: Duration,
    /// Timeout for connecting to discovery. An answer within this time is received in time for the notification rule.
    pub discovery_call_timeout: Duration,
    /// Time after which an unanswered call to discovery is hedged by a second one.
    pub discovery_hedge_delay: Duration,
    /// Time without a complete line after which a watch counts as broken. Heartbeats arrive every 2 s at the latest.
    pub discovery_silence: Duration,
    /// Minimum interval between log lines about failed calls, and between those about unreadable lines of an update.
    pub discovery_log_interval: Duration,
    /// Minimum interval between log lines about updates of the endpoint list.
    pub update_log_interval: Duration,
    /// Minimum interval between log lines about clients that disconnect before their answer.
    pub client_log_interval: Duration,
    /// Subtracted from a client's timeout to leave time for sending the answer.
    pub answer_margin: Duration,
    /// Time after its deadline, margin included, at which a query is ended if the policy has not ended it.
    pub deadline_backstop: Duration,
    /// Maximum query deadline that counts towards the time between SIGTERM and SIGKILL.
    pub term_deadline_max: Duration,
    /// SIGKILL follows SIGTERM no sooner than after the longest deadline, up to `term_deadline_max`, plus this.
    pub term_kill_delay: Duration,
    /// Time between the answer to the last open request and the earliest SIGKILL.
    pub term_margin: Duration,
    /// Time reserved for open requests: new ones are accepted until this long before all must be answered...
    pub term_completion: Duration,
    /// ...or for this long after SIGTERM, if that is later.
    pub term_accept_min: Duration,
    /// Maximum time for closing connections after that.
    pub term_finish: Duration,
    /// Maximum number of open connections at the second address. The oldest is closed for a new one.
    pub control_calls: usize,
    /// The same for clients of a replication group, each of which may wait for the replicated log.
    pub group_calls: usize,
    /// Timeout for reading a call at either of these addresses, and for writing its answer.
    pub control_timeout: Duration,
    /// Time for which further input of a caller is read and dropped after the answer.
    pub control_linger: Duration,
    /// Time after the start of a drain by an operator for which connections stay open, since the platform still sends
    /// clients.
    pub drain_notice: Duration,
    /// Time after the start of such a drain at which idle connections are closed, and those without a complete request.
    pub drain_idle_close_delay: Duration,
    /// Minimum interval between updates of the statistics at the second address.
    pub stats_interval: Duration,
    /// Maximum number of pages that one part of a feature query may fetch.
    pub max_pages: usize,
    /// Maximum number of features on a page of an answer.
    pub max_page_features: usize,
    /// Timeout of requests to the features frontend.
    pub features_timeout: Duration,
    /// Maximum number of rows in an answer or a page of the aggregation frontend.
    pub max_aggregation_rows: usize,
    /// Size of the chunks in which the aggregation frontend sends longer answers, in bytes.
    pub aggregation_chunk_bytes: usize,
    /// Maximum timeout of requests to the aggregation frontend.
    pub aggregation_timeout: Duration,
    /// Maximum number of entries in the cache of ranges from earlier answers.
    pub range_cache_entries: usize,
    /// Maximum age at which such an entry may be used.
    pub range_cache_age: Duration,
    /// Maximum number of rows in the request ledger's table of data nodes: 1,024 listed and as many recently replaced.
    pub node_rows: usize,
    /// Time for which a removed data node keeps its row.
    pub node_row_retention: Duration,
    /// Maximum number of SNMP walks for which snapshots are kept.
    pub snmp_walkers: usize,
    /// Maximum number of objects of all snapshots together: four walks over 1,024 data nodes, or more over fewer.
    pub snmp_objects: usize,
    /// Idle time after which a walk's snapshot is dropped.
    pub snmp_walk_idle: Duration,
    /// Maximum duration of a walk.
    pub snmp_walk: Duration,
    /// Age up to which a snapshot is shared with walks that begin later.
    pub snmp_snapshot_max_age: Duration,
    /// Minimum interval between notifications of the same kind and subject.
    pub notify_min_interval: Duration,
    /// Maximum number of notifications in a burst.
    pub notify_burst: u32,
    /// Interval at which one more notification is allowed after a burst.
    pub notify_refill_interval: Duration,
    /// Maximum number of informs that wait for their acknowledgement.
    pub notify_max_pending_informs: usize,
    /// Time after which an unacknowledged inform is first retried.
    pub notify_retry_delay: Duration,
    /// Maximum number of times that an inform is sent, the first one included.
    pub notify_max_attempts: u32,
    /// Maximum number of variable bindings in an SNMP request or response.
    pub snmp_bindings: usize,
    /// Maximum size of an SNMP request or response, in bytes.
    pub snmp_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workers: 1,
            stack_words: 0x2000,
            core_stack_words: 0x10000,
            spare_stacks: 32,
            clients: 600,
            closing_clients: 16,
            request_allowance: 4 * 1024,
            request_memory: 8 * 1024 * 1024,
            node_sockets: 160,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024,
            max_frame_bytes: 256 * 1024,
            max_frame_line_bytes: 1024,
            frame_read_timeout: Duration::from_millis(250),
            remembered_parts: 128,
            connection_silence: Duration::from_millis(100),
            connection_silence_divisor: 5,
            no_socket_backoff: Duration::from_millis(20),
            no_socket_log_interval: Duration::from_secs(10),
            query_name_quarantine: Duration::from_secs(10),
            max_update_bytes: 1024 * 1024,
            max_headers: 64,
            core_backlog: 4096,
            queued_parts_per_node: 512,
            client_idle_timeout: Duration::from_secs(15),
            client_evictable_idle: Duration::from_secs(2),
            client_evictable_silence: Duration::from_millis(20),
            client_active_pause: Duration::from_millis(500),
            client_slot_timeout: Duration::from_millis(500),
            request_read_timeout: Duration::from_secs(2),
            read_ahead: 16 * 1024,
            rejected_clients: 4,
            linger: Duration::from_secs(1),
            linger_bytes: 4 * 1024 * 1024,
            max_client_timeout: Duration::from_secs(3600),
            client_write_timeout: Duration::from_secs(2),
            node_write_timeout: Duration::from_millis(500),
            health_check_timeout: Duration::from_millis(250),
            idle_margin: Duration::from_secs(2),
            discovery_call_timeout: Duration::from_millis(2200),
            discovery_hedge_delay: Duration::from_secs(3),
            discovery_silence: Duration::from_millis(2600),
            discovery_log_interval: Duration::from_secs(1),
            update_log_interval: Duration::from_millis(100),
            client_log_interval: Duration::from_millis(100),
            answer_margin: Duration::from_millis(12),
            deadline_backstop: Duration::from_millis(6),
            term_deadline_max: Duration::from_secs(3),
            term_kill_delay: Duration::from_millis(700),
            term_margin: Duration::from_millis(300),
            term_completion: Duration::from_millis(900),
            term_accept_min: Duration::from_millis(500),
            term_finish: Duration::from_secs(10),
            control_calls: 12,
            group_calls: 64,
            control_timeout: Duration::from_secs(2),
            control_linger: Duration::from_millis(200),
            drain_notice: Duration::from_millis(400),
            drain_idle_close_delay: Duration::from_millis(1500),
            stats_interval: Duration::from_millis(50),
            max_pages: 64,
            max_page_features: 1000,
            features_timeout: Duration::from_secs(10),
            max_aggregation_rows: 1000,
            aggregation_chunk_bytes: 16 * 1024,
            aggregation_timeout: Duration::from_secs(10),
            range_cache_entries: 4096,
            range_cache_age: Duration::from_secs(600),
            node_rows: 2048,
            node_row_retention: Duration::from_secs(900),
            snmp_walkers: 64,
            snmp_objects: 80_000,
            snmp_walk_idle: Duration::from_secs(2),
            snmp_walk: Duration::from_secs(30),
            snmp_snapshot_max_age: Duration::from_millis(100),
            notify_min_interval: Duration::from_secs(60),
            notify_burst: 20,
            notify_refill_interval: Duration::from_secs(5),
            notify_max_pending_informs: 64,
            notify_retry_delay: Duration::from_secs(2),
            notify_max_attempts: 4,
            snmp_bindings: 64,
            snmp_bytes: 4096,
        }
    }
}

/// The idle margin is at most the idle timeout divided by this.
const IDLE_MARGIN_DIVISOR: u32 = 4;

impl Limits {
    /// The maximum idle time at which a connection is still used, if its data node closes it after `idle`.
    pub fn usable_idle(&self, idle: Duration) -> Duration {
        idle.saturating_sub(self.idle_margin.min(idle / IDLE_MARGIN_DIVISOR))
    }

    /// The times after SIGTERM until which new requests are accepted, and by which all are answered. The second leaves
    /// a margin before the earliest SIGKILL.
    pub fn term(&self, longest_deadline: Duration) -> (Duration, Duration) {
        let kill = longest_deadline.min(self.term_deadline_max) + self.term_kill_delay;
        let answered = kill.saturating_sub(self.term_margin);
        (answered.saturating_sub(self.term_completion).max(self.term_accept_min), answered)
    }

    /// The time without a complete frame after which a connection with parts in flight is not used for new ones.
    pub fn connection_silence_for(&self, shortest_latency_objective: Duration) -> Duration {
        self.connection_silence.max(shortest_latency_objective / self.connection_silence_divisor)
    }
}

#[cfg(test)]
mod tests;
