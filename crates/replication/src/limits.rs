//! The limits and the timing of a group.

/// The limits of a group, and its timing in ticks. The defaults are the values of an operator's group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationLimits {
    /// Maximum number of keys in the map; a command that would add another one is rejected.
    pub max_keys: usize,
    /// Maximum length of a key in bytes; a command with a longer key is rejected.
    pub max_key_bytes: usize,
    /// Maximum length of a value in bytes; a command with a longer value is rejected.
    pub max_value_bytes: usize,
    /// Maximum number of pending requests at this member; further requests are rejected at once.
    pub max_pending_requests: usize,
    /// Entries applied between two snapshots. The entries that a snapshot covers are dropped, so the log on disk holds
    /// about this many entries in addition to one snapshot.
    pub snapshot_interval_entries: u64,
    /// Ticks without a message from the leader after which a follower campaigns. raft-rs randomizes the actual timeout
    /// between one and two times this value, which makes split votes less likely.
    pub election_timeout_ticks: usize,
    /// Replaces the random part of the election timeout, so that a scripted run is reproducible. Members of one group
    /// need different values. None keeps the random part.
    pub fixed_election_delay_ticks: Option<usize>,
    /// Ticks between two heartbeats of the leader.
    pub heartbeat_interval_ticks: usize,
    /// Ticks after which a pending request completes as [unknown](crate::RequestOutcome::Unknown).
    pub request_timeout_ticks: u64,
    /// Ticks after which a read index request that the leader has not confirmed is repeated.
    pub read_retry_ticks: u64,
    /// Maximum number of append messages in flight to one follower, which limits the load on a slow follower.
    pub max_inflight_messages: usize,
    /// Maximum size of one append message in bytes.
    pub max_message_bytes: u64,
}

impl Default for ReplicationLimits {
    fn default() -> Self {
        Self {
            max_keys: 1024,
            max_key_bytes: 256,
            max_value_bytes: 16 * 1024,
            max_pending_requests: 256,
            snapshot_interval_entries: 1024,
            election_timeout_ticks: 10,
            fixed_election_delay_ticks: None,
            heartbeat_interval_ticks: 1,
            request_timeout_ticks: 30,
            read_retry_ticks: 5,
            max_inflight_messages: 64,
            max_message_bytes: 1 << 20,
        }
    }
}
