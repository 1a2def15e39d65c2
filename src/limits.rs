//! Every size, count and time that bounds the program, in one type: filled at the start and handed down.

use std::time::Duration;

use thiserror::Error;

/// The limits of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Worker threads: the platform provides one core.
    pub workers: usize,
    /// Stack of a coroutine that serves one connection, in machine words.
    pub stack_words: usize,
    /// Stack of the coroutine that runs the core, and of a call to discovery, in machine words.
    pub core_stack_words: usize,
    /// Client connections that may be open at once.
    pub clients: usize,
    /// Connections to data nodes that may be open or being opened at once.
    pub node_sockets: usize,
    /// Bytes of a request's head, or of an answer's.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Bytes of a frame from a data node.
    pub max_frame_bytes: usize,
    /// Bytes of the line that begins an answer in a frame.
    pub max_frame_line_bytes: usize,
    /// A frame that has begun to come must be complete within this, or within the silence that the latency objectives
    /// allow where that is longer.
    pub frame_read_timeout: Duration,
    /// Cancelled parts, and answered parts, that one connection remembers: their answers may come late or twice.
    pub remembered_parts: usize,
    /// Nothing new is sent on a connection that has been silent for this long with parts in flight, or for one in
    /// `link_silence_part` of the shortest latency objective if that is longer: a machine that has vanished, and a
    /// connection that has died unseen, say nothing.
    pub connection_silence: Duration,
    /// The divisor of the shortest latency objective, see `link_silence`.
    pub connection_silence_divisor: u32,
    /// Where no socket was left for a connection to a data node, its actor does not dial again for so long.
    pub no_socket_backoff: Duration,
    /// The shortest time between two log lines that say so, for all data nodes together.
    pub no_socket_log_interval: Duration,
    /// The name of a query is not used again for so long after its end: late answers carry it.
    pub query_name_quarantine: Duration,
    /// Bytes of an endpoint list, or of a change to it.
    pub max_update_bytes: usize,
    /// Header lines of a request or an answer.
    pub headers: usize,
    /// Messages that may wait for the core before new queries are rejected.
    pub core_backlog: usize,
    /// Calls that may wait at one data node's actor.
    pub queued_parts_per_node: usize,
    /// A client connection that has been answered is closed once it has been idle for this long.
    pub client_idle: Duration,
    /// One that has been idle for this long is closed earlier where a new one needs its place.
    pub client_evictable_idle: Duration,
    /// After this long one without a complete request yet may be closed for a new one, since what a client sends
    /// at once has come by then; and, where there is none, one that has been idle for less than `client_rest`.
    pub client_evictable_silence: Duration,
    /// A new connection waits so long for a place before it is rejected.
    pub client_place_timeout: Duration,
    /// The first request on a connection must be complete this long after it was accepted, a further one this long
    /// after its first byte.
    pub request_read_timeout: Duration,
    /// While a request is open, so many bytes may be sent ahead of its answer: what comes after them is dropped, and the
    /// connection ends with the last answer to them.
    pub read_ahead: usize,
    /// Connections that are rejected with an answer at once: any further ones may be reset.
    pub rejected_clients: usize,
    /// After a connection's last answer, what its client still sends is read and dropped for this long, so
    /// that the answer is not lost to a reset.
    pub linger: Duration,
    /// And no more bytes than this are read then.
    pub linger_bytes: usize,
    /// The longest time that a client may say it waits.
    pub max_client_timeout: Duration,
    /// An answer must be taken by its client's socket within this.
    pub client_write_timeout: Duration,
    /// A frame must be taken by the data node's socket within this.
    pub node_write_timeout: Duration,
    /// A health check unanswered for this long has failed.
    pub health_check_timeout: Duration,
    /// Connections are not used this close to the end of the idle time after which their data node closes them, or
    /// within the last quarter of it where that is short.
    pub idle_margin: Duration,
    /// A connection to discovery must be up within this; a service that answers within it is heard in time.
    pub discovery_call_timeout: Duration,
    /// A call to discovery that has not been answered within this is hedged by another one.
    pub discovery_hedge_delay: Duration,
    /// A watch without a complete line for this long is broken: heartbeats come every 2 s at the latest.
    pub discovery_silence: Duration,
    /// The shortest time between two log lines on failed calls, and between two on unreadable lines of an update.
    pub discovery_log_interval: Duration,
    /// The shortest time between two log lines on updates of the endpoint list.
    pub update_log_interval: Duration,
    /// The shortest time between two log lines on clients that disconnect without their answer.
    pub client_log_interval: Duration,
    /// Taken off the time that the client waits, for the answer's way back.
    pub answer_margin: Duration,
    /// A query that the policy leaves open is ended this long after its deadline, margin included.
    pub backstop: Duration,
    /// SIGKILL follows SIGTERM no sooner than the longest deadline, or this if it is shorter...
    pub term_longest: Duration,
    /// ...and this.
    pub term_kill: Duration,
    /// Open requests are answered this long before that.
    pub term_margin: Duration,
    /// New requests are accepted until this long before open requests are answered...
    pub term_last: Duration,
    /// ...or for this long after SIGTERM, if that is more.
    pub term_accept: Duration,
    /// Connections may take this long to close after that.
    pub term_finish: Duration,
    /// Callers at the second address at once: the oldest is closed for a new one.
    pub control_calls: usize,
    /// The same of clients of a replication group, each of which may wait for the log.
    pub group_calls: usize,
    /// A call there must be complete within this, and its answer be taken.
    pub control_read: Duration,
    /// After the answer, what its caller still sends is read and dropped for this long.
    pub control_linger: Duration,
    /// Drained by an operator: connections stay open for so long, since the platform still sends clients...
    pub drain_notice: Duration,
    /// ...and after so long, idle connections are closed, and those without a complete request.
    pub drain_rest: Duration,
    /// The shortest time between two updates of the figures at the second address.
    pub stats_interval: Duration,
    /// Pages that one part of a feature query may fetch.
    pub pages: usize,
    /// Most features on one page of an answer.
    pub page_features: usize,
    /// How long a client of the features frontend waits.
    pub features_timeout: Duration,
    /// Most rows of an answer of the aggregation frontend, or of a page.
    pub max_aggregation_rows: usize,
    /// Bytes of a piece in which a longer answer of the aggregation frontend is sent.
    pub aggregation_chunk_bytes: usize,
    /// How long a client of the aggregation frontend waits at most.
    pub aggregation_timeout: Duration,
    /// Entries of the cache of ranges from earlier answers.
    pub range_cache_entries: usize,
    /// How long such an entry may be used.
    pub range_cache_age: Duration,
    /// Rows of the request ledger's table of data nodes: 1,024 that are listed, and as many that were replaced lately.
    pub node_rows: usize,
    /// How long a data node that was removed keeps its row.
    pub node_row_retention: Duration,
    /// Walks of managers whose figures are kept.
    pub snmp_walkers: usize,
    /// Objects of all walks together: four walks of 1,024 data nodes, or more of fewer.
    pub snmp_objects: usize,
    /// How long a walk may be silent before its figures are dropped.
    pub snmp_walk_idle: Duration,
    /// How long a walk may last.
    pub snmp_walk: Duration,
    /// How long a walk's figures are shared with walks that begin after it.
    pub snmp_fresh: Duration,
    /// The shortest time between two notifications of the same kind and subject.
    pub notify_gap: Duration,
    /// Notifications that may be sent at once.
    pub notify_burst: u32,
    /// How long until one more may be sent.
    pub notify_refill: Duration,
    /// Informs that may wait for their acknowledgement.
    pub notify_waiting: usize,
    /// After how long an inform is first repeated.
    pub notify_retry_delay: Duration,
    /// How often an inform is sent in all.
    pub notify_attempts: u32,
    /// Variables in one management request or answer.
    pub snmp_bindings: usize,
    /// Bytes of the same.
    pub snmp_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workers: 1,
            stack_words: 0x2000,
            core_stack_words: 0x10000,
            clients: 600,
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
            headers: 64,
            core_backlog: 4096,
            queued_parts_per_node: 512,
            client_idle: Duration::from_secs(15),
            client_evictable_idle: Duration::from_secs(2),
            client_evictable_silence: Duration::from_millis(20),
            client_place_timeout: Duration::from_millis(500),
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
            backstop: Duration::from_millis(6),
            term_longest: Duration::from_secs(3),
            term_kill: Duration::from_millis(700),
            term_margin: Duration::from_millis(300),
            term_last: Duration::from_millis(900),
            term_accept: Duration::from_millis(500),
            term_finish: Duration::from_secs(10),
            control_calls: 12,
            group_calls: 64,
            control_read: Duration::from_secs(2),
            control_linger: Duration::from_millis(200),
            drain_notice: Duration::from_millis(400),
            drain_rest: Duration::from_millis(1500),
            stats_interval: Duration::from_millis(50),
            pages: 64,
            page_features: 1000,
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
            snmp_fresh: Duration::from_millis(100),
            notify_gap: Duration::from_secs(60),
            notify_burst: 20,
            notify_refill: Duration::from_secs(5),
            notify_waiting: 64,
            notify_retry_delay: Duration::from_secs(2),
            notify_attempts: 4,
            snmp_bindings: 64,
            snmp_bytes: 4096,
        }
    }
}

/// The share of a short idle time at whose end a connection is not used any more: one in so many.
const IDLE_MARGIN_DIVISOR: u32 = 4;

/// Descriptors for standard streams, the poller, the listeners and discovery.
const RESERVED_SOCKETS: usize = 32;
const MIN_SOCKETS: usize = 128;

const KB_PER_MB: usize = 1024;
/// The memory of a process without a client.
const PROCESS_KB: usize = 11 * KB_PER_MB;
/// The memory of a client's connection with its two coroutines, its buffers and a query in flight.
const CLIENT_KB: usize = 48;
const MIN_CLIENTS: usize = 32;

/// The most of the descriptors that data nodes get: one in so many, so that clients' requests are not left without...
const NODE_SOCKETS_DIVISOR: usize = 3;
/// ...and where there are more data nodes than that, one in so many.
const LARGE_FLEET_NODE_SOCKETS_DIVISOR: usize = 2;
/// Connections to data nodes beyond one to each, one in so many: some are opened anew before the old one has ended.
const SPARE_NODE_SOCKETS_DIVISOR: usize = 4;

/// Why a process cannot serve within what the platform allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitsError {
    /// Too few descriptors.
    #[error("limits.sockets is {allowed}, at least {MIN_SOCKETS} are needed")]
    TooFewSockets {
        /// Descriptors of this process.
        allowed: usize,
    },
    /// Too little memory.
    #[error("limits.memory_mb is {allowed}, at least {needed} are needed")]
    TooLittleMemory {
        /// Megabytes that the platform allows all processes together.
        allowed: usize,
        /// Megabytes that they need together.
        needed: usize,
    },
}

/// What the platform allows all processes of a coordinator together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// File descriptors.
    pub sockets: usize,
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Other processes that may serve at the same address within the same bounds.
    pub others: usize,
    /// Data nodes of the endpoint list from before the start.
    pub nodes: usize,
}

impl Limits {
    /// How long a connection may have been idle and still be used, if its data node closes it after `idle`.
    pub fn usable_idle(&self, idle: Duration) -> Duration {
        idle.saturating_sub(self.idle_margin.min(idle / IDLE_MARGIN_DIVISOR))
    }

    /// After SIGTERM: how long new requests are accepted, and by when all are answered, with a margin before SIGKILL may
    /// come.
    pub fn term(&self, longest_deadline: Duration) -> (Duration, Duration) {
        let kill = longest_deadline.min(self.term_longest) + self.term_kill;
        let answered = kill.saturating_sub(self.term_margin);
        (answered.saturating_sub(self.term_last).max(self.term_accept), answered)
    }

    /// After how long a silence a connection with parts in flight is sent nothing new.
    pub fn connection_silence_for(&self, shortest_latency_objective: Duration) -> Duration {
        self.connection_silence.max(shortest_latency_objective / self.connection_silence_divisor)
    }

    /// The limits under the platform's bounds: clients get what data nodes and the process leave.
    ///
    /// # Errors
    /// Too few descriptors, or too little memory, to serve at all.
    pub fn within(platform: Platform) -> Result<Self, LimitsError> {
        let processes = platform.others + 1;
        let sockets = platform.sockets / processes;
        if sockets < MIN_SOCKETS {
            return Err(LimitsError::TooFewSockets { allowed: sockets });
        }
        let max_clients = clients_in_memory(platform.memory_mb.saturating_mul(KB_PER_MB) / processes);
        if max_clients < MIN_CLIENTS {
            let needed = (PROCESS_KB + MIN_CLIENTS * CLIENT_KB).div_ceil(KB_PER_MB) * processes;
            return Err(LimitsError::TooLittleMemory { allowed: platform.memory_mb, needed });
        }
        let mut limits = Self::default();
        limits.node_sockets = node_sockets(limits.node_sockets, sockets, platform.nodes);
        limits.clients =
            limits.clients.min(sockets - RESERVED_SOCKETS - limits.node_sockets).min(max_clients);
        Ok(limits)
    }
}

/// Client connections for which there is memory.
fn clients_in_memory(kilobytes: usize) -> usize {
    kilobytes.saturating_sub(PROCESS_KB) / CLIENT_KB
}

/// Descriptors for connections to so many data nodes: a query of many parts may need each of them at once.
fn node_sockets(default: usize, sockets: usize, nodes: usize) -> usize {
    let for_each_node = nodes + nodes / SPARE_NODE_SOCKETS_DIVISOR;
    let wanted = default.min(sockets / NODE_SOCKETS_DIVISOR).max(for_each_node);
    wanted.min(sockets / LARGE_FLEET_NODE_SOCKETS_DIVISOR)
}

#[cfg(test)]
mod tests;
