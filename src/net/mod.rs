//! Sockets: an actor with a mailbox for each data node, the list and the module; parsing and the states of
//! a connection are pure, beside them.

pub mod connection_pool;
pub mod coordinator;
pub mod dial_error;
pub mod discovery;
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
