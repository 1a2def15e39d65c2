//! `curlewdeck query`: sends a query to the aggregation frontend and prints its answer.

use std::collections::BTreeMap;

use curlewdeck_client::http::{run, Service};
use curlewdeck_client::query::{Page, Query};
use curlewdeck_client::table::{coverage, render};
use curlewdeck_client::walk::{Budget, End, Walk};
use pico_args::Arguments;
use thiserror::Error;

/// Value of [`Budget::pages`] that removes the page limit.
const ALL_PAGES: u32 = 0;

/// A parsed `curlewdeck query` command line.
#[derive(Debug)]
pub struct Command {
    address: String,
    set: String,
    query: Query,
    budget: Budget,
    json: bool,
}

/// Usage of `curlewdeck query`, part of the output of `curlewdeck help`.
pub const HELP: &str = "\
    curlewdeck query ADDRESS SET OP [--measure M] [--order desc|asc] [--grouped] [--limit N]
                     [--filter FIELD=VALUE]... [--cursor C] [--pages N | --all] [--timeout MS]
                     [--tries N] [--json]             ask a desk front; OP is rank, sum, count, min, max,
                                                      mean or list. Ends with 0 whole, 2 partial, 3 refused,
                                                      4 failed, 5 where the query is at fault";

/// Error of parsing a `curlewdeck query` command line.
#[derive(Debug, Error)]
pub enum CommandLineError {
    /// An option is invalid.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// A filter has no equals sign.
    #[error("--filter {0}: expected FIELD=VALUE")]
    Filter(String),
    /// A positional argument is missing.
    #[error("query: {0} is missing, see 'curlewdeck help'")]
    MissingArgument(&'static str),
}

impl Command {
    /// Parses the arguments that follow `curlewdeck query`.
    ///
    /// # Errors
    /// An argument is missing or invalid. The error message is one line.
    pub fn read(args: &mut Arguments) -> Result<Self, CommandLineError> {
        let filter = read_filters(args)?;
        let measure = args.opt_value_from_str("--measure")?;
        let order = args.opt_value_from_str("--order")?;
        let cursor = args.opt_value_from_str("--cursor")?;
        let limit = args.opt_value_from_str::<_, u32>("--limit")?.map(|n| n as usize);
        let timeout_ms = args.opt_value_from_str::<_, u32>("--timeout")?.map(u64::from);
        let budget = read_budget(args)?;
        let grouped = args.contains("--grouped");
        let json = args.contains("--json");
        let address = positional(args, "ADDRESS")?;
        let set = positional(args, "SET")?;
        let op = positional(args, "OP")?;
        let query = Query { op, measure, order, grouped, limit, filter, cursor, timeout_ms };
        Ok(Self { address, set, query, budget, json })
    }

    /// Sends the query and prints its pages; returns the exit status.
    pub fn run(self) -> u8 {
        let service = Service::new(&self.address, &self.set);
        let walk = Walk::new(self.query, self.budget, fastrand::u64(..));
        let json = self.json;
        let (end, walk) = run(walk, &service, |page| print_page(page, json));
        match &end {
            End::Complete | End::Partial => {}
            End::Rejected(problem) => eprintln!("curlewdeck: refused: {}", problem.detail),
            End::Failed(reason) => eprintln!("curlewdeck: {reason}"),
            End::InvalidQuery(problem) if problem.field.is_empty() => {
                eprintln!("curlewdeck: {}", problem.detail)
            }
            End::InvalidQuery(problem) => eprintln!("curlewdeck: {}: {}", problem.field, problem.detail),
        }
        if let (true, Some(cursor)) = (end.status() > 2, walk.cursor()) {
            eprintln!("curlewdeck: continue with --cursor {cursor}");
        }
        end.status()
    }
}

fn read_filters(args: &mut Arguments) -> Result<BTreeMap<String, String>, CommandLineError> {
    let mut filters = BTreeMap::new();
    for pair in args.values_from_str::<_, String>("--filter")? {
        let Some((field, value)) = pair.split_once('=') else { return Err(CommandLineError::Filter(pair)) };
        filters.insert(field.to_string(), value.to_string());
    }
    Ok(filters)
}

fn read_budget(args: &mut Arguments) -> Result<Budget, CommandLineError> {
    let default = Budget::default();
    let pages = args.opt_value_from_str("--pages")?.unwrap_or(default.pages);
    let pages = if args.contains("--all") { ALL_PAGES } else { pages };
    let attempts = args.opt_value_from_str("--tries")?.unwrap_or(default.attempts).max(1);
    Ok(Budget { attempts, pages, ..default })
}

/// Reads the next positional argument; `name` is used in the error message.
fn positional(args: &mut Arguments, name: &'static str) -> Result<String, CommandLineError> {
    args.free_from_str().map_err(|_| CommandLineError::MissingArgument(name))
}

/// Prints a page as a table, or as one line of JSON for each row or figure with the coverage on standard error.
fn print_page(page: &Page, json: bool) {
    if !json {
        println!("{}", render(page));
        if let Some(next) = &page.next {
            println!("next: {next}");
        }
        return;
    }
    if let Some(figure) = &page.figure {
        println!(
            "{}",
            serde_json::json!({"value": figure.value, "exact": figure.exact, "rows": figure.rows})
        );
    }
    for row in &page.rows {
        let body = row.body.as_ref().map_or(serde_json::Value::Null, |b| serde_json::json!(b));
        println!(
            "{}",
            serde_json::json!({"key": row.key, "value": row.value, "range": row.range, "exact": row.exact,
                "late": row.late, "body": body})
        );
    }
    eprintln!("{}", coverage(page));
}

#[cfg(test)]
mod tests;
