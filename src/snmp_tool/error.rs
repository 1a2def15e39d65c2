//! Errors of `curlewdeck snmp`.

use std::io;

use curlewdeck_snmp::manager::{BindingValue, ManagerError};
use thiserror::Error;

use crate::config::SecretError;

/// Error of a `curlewdeck snmp` command. Error messages contain no secrets.
#[derive(Debug, Error)]
pub enum SnmpToolError {
    /// A command-line option is invalid.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// A positional argument is missing.
    #[error("snmp: {0} is missing, see 'curlewdeck help'")]
    MissingArgument(&'static str),
    /// The operation is none of `get`, `walk` and `table`.
    #[error("snmp: unknown command '{0}', see 'curlewdeck help'")]
    UnknownCommand(String),
    /// A name is neither an object or table of the MIB nor a dotted OID.
    #[error("snmp: '{0}' is not an object of the MIB")]
    UnknownObject(String),
    /// The options give neither a community alone nor a users file with a user name.
    #[error("snmp: either --community or both --users and --user are required")]
    MissingCredentials,
    /// Reading the users file failed.
    #[error(transparent)]
    UsersFile(#[from] SecretError),
    /// The users file has an invalid line.
    #[error("{file}: {reason}")]
    InvalidUsers {
        /// Path of the users file.
        file: String,
        /// Line number and the syntax error.
        reason: String,
    },
    /// The users file does not contain the user.
    #[error("{file}: user '{name}' not found")]
    UnknownUser {
        /// Path of the users file.
        file: String,
        /// The requested user name.
        name: String,
    },
    /// Opening, binding or connecting a socket failed.
    #[error("{address}: {source}")]
    Socket {
        /// The address given on the command line.
        address: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Sending or receiving failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Encoding a request failed.
    #[error("cannot encode the request")]
    Unencodable,
    /// The agent's response is an error or is invalid.
    #[error(transparent)]
    Agent(#[from] ManagerError),
    /// The agent has no value for the object.
    #[error("{name}: {got}")]
    NoValue {
        /// Name of the object.
        name: String,
        /// The binding that the agent returned in place of a value.
        got: BindingValue,
    },
    /// The agent returned no objects below the name.
    #[error("nothing is served below {0}")]
    NothingServed(String),
    /// All attempts timed out.
    #[error("no answer in {attempts} tries of {timeout_ms} ms")]
    NoAnswer {
        /// Number of attempts.
        attempts: u32,
        /// Timeout of each attempt in milliseconds.
        timeout_ms: u128,
    },
}
