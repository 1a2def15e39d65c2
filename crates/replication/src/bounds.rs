//! All limits of a group in one type, with the operator's defaults.

/// How large and how fast a group may grow, and its timing in ticks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Keys held at most.
    pub keys: usize,
    /// Bytes of a key at most.
    pub key_bytes: usize,
    /// Bytes of a value at most.
    pub value_bytes: usize,
    /// Proposals and reads of this member waiting for the log at most; past them a new one is refused at once as busy.
    pub waiting: usize,
    /// Entries applied between two snapshots, after which the log before the snapshot is dropped: the log on disk holds
    /// at most about this many entries beyond one snapshot.
    pub snapshot_every: u64,
    /// Ticks without a leader's word after which a follower stands for election (raft-rs draws the real timeout at
    /// random between this and twice this, which spreads the candidates).
    pub election_ticks: usize,
    /// Ticks beyond `election_ticks` that this member waits, in place of those drawn at random: a scripted run is then
    /// the same each time. Members of one group need different ones.
    pub election_wait: Option<usize>,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Ticks that a proposal or read may wait before it is answered as unknown (it may still be applied later).
    pub wait_ticks: u64,
    /// Append messages in flight to one follower at most: back-pressure on a follower that lags.
    pub inflight: usize,
    /// Bytes of one append message at most.
    pub message_bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            keys: 1024,
            key_bytes: 256,
            value_bytes: 16 * 1024,
            waiting: 256,
            snapshot_every: 1024,
            election_ticks: 10,
            election_wait: None,
            heartbeat_ticks: 1,
            wait_ticks: 30,
            inflight: 64,
            message_bytes: 1 << 20,
        }
    }
}
