//! The interface of the policy: its settings, the events it receives and the actions it requests.
//!
//! Times are nanoseconds of one monotonic clock. Ids are opaque numbers chosen by the embedder: unique for
//! the life of a [`crate::Policy`], never reused.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use endpoints::{EndpointRecord, EndpointState, EndpointUpdateKind};
pub use events::{Event, Outcome};
pub use ids::{ClassId, KeyId, Nanos, PartId, QueryId, ServerId, ShardId, TenantId, ZoneId};
pub use settings::{
    Class, DiscoveryMode, RetryBudget, RetrySafety, Settings, SettingsError, ShardLayout, SlowStartPolicy,
    Tenant,
};
