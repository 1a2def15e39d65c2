//! The command `curlewdeck group`: makes the folder of a founding member, and calls a member that runs.

use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_client::http;
use pico_args::Arguments;

use super::startup;
use crate::config::Edge;

/// Its part of the help page.
pub const HELP: &str = "\
    curlewdeck group found --id N [--edge FILE]       make the folder of a founder of a new group
    curlewdeck group status|snapshot ADDRESS          how the member at that control address stands; have
                                                      it make a snapshot now
    curlewdeck group add ADDRESS N WHERE              add member N, which listens for members at WHERE
    curlewdeck group remove ADDRESS N                 remove member N";

/// A member answers sooner: each of its calls has a shorter timeout.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Make a founder's folder.
    Found {
        /// The founder's id.
        id: u64,
        /// The edge's file, if it is not the default one.
        edge: Option<PathBuf>,
    },
    /// Call a member.
    Call {
        /// The HTTP method.
        method: &'static str,
        /// The address and the path.
        url: String,
        /// The request's body.
        body: String,
    },
}

impl Command {
    /// Reads the rest of a command line.
    ///
    /// # Errors
    /// Says in one line for the operator what is missing or not known.
    pub fn read(args: &mut Arguments) -> Result<Self, String> {
        let word = |args: &mut Arguments, name: &str| {
            args.free_from_str::<String>()
                .map_err(|_| format!("group: {name} is missing, see 'curlewdeck help'"))
        };
        let action = word(args, "what to do")?;
        if action == "found" {
            let id = args.value_from_str("--id").map_err(|e| e.to_string())?;
            let edge = args.opt_value_from_str("--edge").map_err(|e| e.to_string())?;
            return Ok(Self::Found { id, edge });
        }
        let address = word(args, "ADDRESS")?;
        let call = |method, path: &str, body| Self::Call {
            method,
            url: format!("http://{address}/group/{path}"),
            body,
        };
        Ok(match action.as_str() {
            "status" => call("GET", "status", String::new()),
            "snapshot" => call("POST", "snapshot", String::new()),
            "add" => call("PUT", &format!("members/{}", word(args, "N")?), word(args, "WHERE")?),
            "remove" => call("DELETE", &format!("members/{}", word(args, "N")?), String::new()),
            other => return Err(format!("group: '{other}' is not known, see 'curlewdeck help'")),
        })
    }

    /// Carries the command out, and prints the answer.
    ///
    /// # Errors
    /// What was rejected or failed, in one line for the operator.
    pub fn run(self, load_edge: impl FnOnce(Option<PathBuf>) -> Result<Edge, String>) -> Result<(), String> {
        let (method, url, body) = match self {
            Self::Call { method, url, body } => (method, url, body),
            Self::Found { id, edge } => {
                let group = load_edge(edge)?.group.ok_or("the edge's file has no section [group]")?;
                startup::found(&group, id).map_err(|error| error.to_string())?;
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
