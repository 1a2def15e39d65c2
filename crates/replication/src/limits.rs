//! The limits and the timing of a group.

/// The limits of a group, and its timing in ticks, with the operator's defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationLimits {
    /// Keys of the map.
    pub max_keys: usize,
    /// Bytes of a key.
    pub max_key_bytes: usize,
    /// Bytes of a value.
    pub max_value_bytes: usize,
    /// Requests of this member that wait for the log; one more is rejected at once.
    pub max_pending_requests: usize,
    /// Entries applied between two snapshots. The log before a snapshot is dropped, so that the log on disk holds about
    /// this many entries beyond one snapshot.
    pub snapshot_interval_entries: u64,
    /// Ticks without a message from the leader after which a follower campaigns. raft-rs draws the actual timeout at
    /// random between once and twice this, which spreads the candidates.
    pub election_timeout_ticks: usize,
    /// Replaces the random part of the election timeout, so that a scripted run is the same each time. Members of one
    /// group need different ones.
    pub fixed_election_delay_ticks: Option<usize>,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_interval_ticks: usize,
    /// Ticks after which a pending request completes as [unknown](crate::RequestOutcome::Unknown).
    pub request_timeout_ticks: u64,
    /// Ticks after which the leader is asked again for a read index that it has not confirmed.
    pub read_retry_ticks: u64,
    /// Append messages in flight to one follower: back-pressure on a follower that lags.
    pub max_inflight_messages: usize,
    /// Bytes of one append message.
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
