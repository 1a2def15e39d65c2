//! `curlewdeck group`: founds a member's folder, and asks a member that runs.

use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_client::http;
use pico_args::Arguments;

use super::driver;
use crate::config::Edge;

/// What it takes, for the help page.
pub const HELP: &str = "\
    curlewdeck group found --id N [--edge FILE]       make the folder of a founder of a new group
    curlewdeck group status|snapshot ADDRESS          how the member at that control address stands; have
                                                      it make a snapshot now
    curlewdeck group add ADDRESS N WHERE              add member N, which listens for members at WHERE
    curlewdeck group remove ADDRESS N                 remove member N";

/// A member answers within its own wait, or is not there.
const WITHIN: Duration = Duration::from_secs(40);

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Make a founder's folder.
    Found(u64, Option<PathBuf>),
    /// A call: its method, its address and path, its body.
    Call(&'static str, String, String),
}

impl Command {
    /// Reads the rest of a command line.
    ///
    /// # Errors
    /// Says in one line what is missing or not known.
    pub fn read(args: &mut Arguments) -> Result<Self, String> {
        let word = |args: &mut Arguments, name: &str| {
            args.free_from_str::<String>()
                .map_err(|_| format!("group: {name} is missing, see 'curlewdeck help'"))
        };
        let what = word(args, "what to do")?;
        if what == "found" {
            let id = args.value_from_str("--id").map_err(|e| e.to_string())?;
            return Ok(Self::Found(id, args.opt_value_from_str("--edge").map_err(|e| e.to_string())?));
        }
        let address = word(args, "ADDRESS")?;
        let call =
            |method, path: &str, body| Self::Call(method, format!("http://{address}/group/{path}"), body);
        Ok(match what.as_str() {
            "status" => call("GET", "status", String::new()),
            "snapshot" => call("POST", "snapshot", String::new()),
            "add" => call("PUT", &format!("members/{}", word(args, "N")?), word(args, "WHERE")?),
            "remove" => call("DELETE", &format!("members/{}", word(args, "N")?), String::new()),
            other => return Err(format!("group: '{other}' is not known, see 'curlewdeck help'")),
        })
    }

    /// Does it, and prints what came.
    ///
    /// # Errors
    /// What was refused or failed, in one line.
    pub fn run(self, edge: impl FnOnce(Option<PathBuf>) -> Result<Edge, String>) -> Result<(), String> {
        let (method, url, body) = match self {
            Self::Call(method, url, body) => (method, url, body),
            Self::Found(id, file) => {
                let group = edge(file)?.group.ok_or("the edge's file has no section [group]")?;
                driver::found(&group, id)?;
                println!("member {id} can be started");
                return Ok(());
            }
        };
        match http::call(method, &url, &body, WITHIN)? {
            (200, text) => print!("{text}"),
            (status, text) => return Err(format!("{status}: {}", text.trim())),
        }
        Ok(())
    }
}
