//! The command `curlewdeck group`: creates the folder of a founding member, and calls a running member.

use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_client::http;
use pico_args::Arguments;

use super::startup;
use crate::config::EdgeConfig;

/// The part of the help text for `curlewdeck group`.
pub const HELP: &str = "\
    curlewdeck group found --id N [--edge FILE]       make the folder of a founder of a new group
    curlewdeck group status|snapshot ADDRESS          how the member at that control address stands; have
                                                      it make a snapshot now
    curlewdeck group add ADDRESS N WHERE              add member N, which listens for members at WHERE
    curlewdeck group remove ADDRESS N                 remove member N";

/// Longer than the timeout of any call at the member.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Creates the folder of a founding member.
    Found {
        /// The founder's id.
        id: u64,
        /// The path of the edge's file; none for the default path.
        edge: Option<PathBuf>,
    },
    /// Calls a running member over HTTP.
    Call {
        /// The HTTP method.
        method: &'static str,
        /// The URL of the call at the member's control address.
        url: String,
        /// The request body, which is empty for most calls.
        body: String,
    },
}

impl Command {
    /// Parses the arguments after `curlewdeck group`.
    ///
    /// # Errors
    /// An argument is missing or unknown; the text is one line for the operator.
    pub fn read(args: &mut Arguments) -> Result<Self, String> {
        let argument = |args: &mut Arguments, name: &str| {
            args.free_from_str::<String>()
                .map_err(|_| format!("group: {name} is missing, see 'curlewdeck help'"))
        };
        let action = argument(args, "the action")?;
        if action == "found" {
            let id = args.value_from_str("--id").map_err(|e| e.to_string())?;
            let edge = args.opt_value_from_str("--edge").map_err(|e| e.to_string())?;
            return Ok(Self::Found { id, edge });
        }
        let address = argument(args, "ADDRESS")?;
        let call = |method, path: &str, body| Self::Call {
            method,
            url: format!("http://{address}/group/{path}"),
            body,
        };
        Ok(match action.as_str() {
            "status" => call("GET", "status", String::new()),
            "snapshot" => call("POST", "snapshot", String::new()),
            "add" => call("PUT", &format!("members/{}", argument(args, "N")?), argument(args, "WHERE")?),
            "remove" => call("DELETE", &format!("members/{}", argument(args, "N")?), String::new()),
            other => return Err(format!("group: unknown action '{other}', see 'curlewdeck help'")),
        })
    }

    /// Executes the command, and prints the member's response.
    ///
    /// # Errors
    /// The command was rejected or failed; the text is one line for the operator.
    pub fn run(
        self,
        load_edge: impl FnOnce(Option<PathBuf>) -> Result<EdgeConfig, String>,
    ) -> Result<(), String> {
        let (method, url, body) = match self {
            Self::Call { method, url, body } => (method, url, body),
            Self::Found { id, edge } => {
                let group = load_edge(edge)?.group.ok_or("the edge's file has no section [group]")?;
                startup::create_founder_folder(&group, id).map_err(|error| error.to_string())?;
                println!("member {id} can be started");
                return Ok(());
            }
        };
        match http::call(method, &url, &body, CALL_TIMEOUT)? {
            (200, text) => print!("{text}"),
            (status, text) => return Err(format!("{status}: {}", text.trim())),
        }
        Ok(())
    }
}
