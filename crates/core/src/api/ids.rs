//! Identifiers and the unit of time.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $of);
    };
}
id!(
    /// A query, as the embedder numbers it.
    QueryId,
    u64
);
id!(
    /// A part (sub-request) of a query, as the embedder numbers it.
    PartId,
    u64
);
id!(
    /// A server (data node), numbered by the embedder for this instance alone.
    ServerId,
    u32
);
id!(
    /// A shard, from 0.
    ShardId,
    u32
);
id!(
    /// A class of query: its index in [`Settings::classes`](super::Settings::classes).
    ClassId,
    usize
);
id!(
    /// A zone: its index below [`Settings::zones`](super::Settings::zones).
    ZoneId,
    u32
);
id!(
    /// The key of a query; queries with the same key need the same data.
    KeyId,
    u64
);
id!(
    /// A tenant: its index in [`Settings::tenants`](super::Settings::tenants).
    TenantId,
    usize
);
