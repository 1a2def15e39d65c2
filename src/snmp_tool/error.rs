//! Why a command of the manager fails.

use std::io;

use curlewdeck_snmp::manager::{BindingValue, ManagerError};
use thiserror::Error;

use crate::config::SecretError;

/// Why a command of the manager fails. No text repeats a secret.
#[derive(Debug, Error)]
pub enum SnmpToolError {
    /// An option of the command line cannot be read.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// A word of the command line is missing.
    #[error("snmp: {0} is missing, see 'curlewdeck help'")]
    MissingWord(&'static str),
    /// The first word is no command.
    #[error("snmp: '{0}' is not known, see 'curlewdeck help'")]
    UnknownCommand(String),
    /// A name is neither an object nor a table of the MIB, nor in dots.
    #[error("snmp: '{0}' is no object of the MIB")]
    UnknownObject(String),
    /// Neither a community nor a user is given.
    #[error("snmp: --community, or --users and --user, are needed")]
    MissingCredentials,
    /// The file of users cannot be read.
    #[error(transparent)]
    UsersFile(#[from] SecretError),
    /// The file of users has a line that cannot be used.
    #[error("{file}: {reason}")]
    InvalidUsers {
        /// The file.
        file: String,
        /// The line and what is wrong with it.
        reason: String,
    },
    /// The file of users does not name the user.
    #[error("{file}: there is no user '{name}'")]
    UnknownUser {
        /// The file.
        file: String,
        /// The user.
        name: String,
    },
    /// There is no socket for the address.
    #[error("{address}: {source}")]
    Socket {
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// Sending or receiving failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A request cannot be encoded.
    #[error("the request cannot be written")]
    Unencodable,
    /// The agent's answer is an error, or cannot be used.
    #[error(transparent)]
    Agent(#[from] ManagerError),
    /// The agent has no value of the object.
    #[error("{name}: {got}")]
    NoValue {
        /// The object.
        name: String,
        /// What the agent answered.
        got: BindingValue,
    },
    /// The agent has no object below a name.
    #[error("nothing is served below {0}")]
    NothingServed(String),
    /// The agent did not answer.
    #[error("no answer in {attempts} tries of {timeout_ms} ms")]
    NoAnswer {
        /// Attempts that were made.
        attempts: u32,
        /// How long each waited.
        timeout_ms: u128,
    },
}
