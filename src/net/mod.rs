//! Networking: one actor each for the coordinator, discovery and every data node. Parsing and the connections' state
//! machine are separate modules without I/O.

pub mod connection_pool;
pub mod coordinator;
pub mod dial_error;
pub mod discovery;
pub mod drain_gate;
pub mod endpoint_list_lease;
pub mod endpoints;
pub mod feature_node;
pub mod features;
pub mod frame;
pub mod http;
pub mod log_limit;
pub mod messages;
pub mod node;
pub mod pending_updates;
pub mod received_frames;
pub mod shortest_objective;
