//! `curlewdeck query`: asks a desk front and prints what came.

use curlewdeck_client::http::{run, Service};
use curlewdeck_client::query::{Page, Query};
use curlewdeck_client::table::{coverage, render};
use curlewdeck_client::walk::{Budget, End, Walk};
use pico_args::Arguments;

/// What the command line asks for.
#[derive(Debug)]
pub struct Command {
    address: String,
    set: String,
    query: Query,
    budget: Budget,
    json: bool,
}

/// What it takes, for the help page.
pub const HELP: &str = "\
    curlewdeck query ADDRESS SET OP [--measure M] [--order desc|asc] [--grouped] [--limit N]
                     [--filter FIELD=VALUE]... [--cursor C] [--pages N | --all] [--timeout MS]
                     [--tries N] [--json]             ask a desk front; OP is rank, sum, count, min, max,
                                                      mean or list. Ends with 0 whole, 2 partial, 3 refused,
                                                      4 failed, 5 where the query is at fault";

fn wrong(e: &pico_args::Error) -> String {
    e.to_string()
}

impl Command {
    /// Reads the rest of a command line.
    ///
    /// # Errors
    /// Says in one line what is missing or not known.
    pub fn read(args: &mut Arguments) -> Result<Self, String> {
        let option = |args: &mut Arguments, name: &'static str| {
            args.opt_value_from_str::<_, String>(name).map_err(|e| wrong(&e))
        };
        let mut filter = std::collections::BTreeMap::new();
        for pair in args.values_from_str::<_, String>("--filter").map_err(|e| wrong(&e))? {
            let (field, value) =
                pair.split_once('=').ok_or_else(|| format!("--filter {pair}: FIELD=VALUE is expected"))?;
            filter.insert(field.to_string(), value.to_string());
        }
        let (measure, order, cursor) =
            (option(args, "--measure")?, option(args, "--order")?, option(args, "--cursor")?);
        let number = |args: &mut Arguments, name: &'static str| {
            args.opt_value_from_str::<_, u32>(name).map_err(|e| wrong(&e))
        };
        let limit = number(args, "--limit")?.map(|n| n as usize);
        let timeout_ms = number(args, "--timeout")?.map(u64::from);
        let default = Budget::default();
        let pages = number(args, "--pages")?.unwrap_or(default.pages);
        let pages = if args.contains("--all") { 0 } else { pages };
        let budget =
            Budget { tries: number(args, "--tries")?.unwrap_or(default.tries).max(1), pages, ..default };
        let (grouped, json) = (args.contains("--grouped"), args.contains("--json"));
        let word = |args: &mut Arguments, name: &str| {
            args.free_from_str::<String>()
                .map_err(|_| format!("query: {name} is missing, see 'curlewdeck help'"))
        };
        let (address, set, op) = (word(args, "ADDRESS")?, word(args, "SET")?, word(args, "OP")?);
        let query = Query { op, measure, order, grouped, limit, filter, cursor, timeout_ms };
        Ok(Self { address, set, query, budget, json })
    }

    /// Asks and prints; returns the exit status.
    pub fn run(self) -> u8 {
        let service = Service::new(&self.address, &self.set);
        let walk = Walk::new(self.query, self.budget, fastrand::u64(..));
        let json = self.json;
        let (end, walk) = run(walk, &service, |page| print(page, json));
        match &end {
            End::Whole | End::Partial => {}
            End::Refused(problem) => eprintln!("curlewdeck: refused: {}", problem.detail),
            End::Failed(why) => eprintln!("curlewdeck: {why}"),
            End::BadQuery(problem) if problem.field.is_empty() => eprintln!("curlewdeck: {}", problem.detail),
            End::BadQuery(problem) => eprintln!("curlewdeck: {}: {}", problem.field, problem.detail),
        }
        if let (true, Some(cursor)) = (end.status() > 2, walk.cursor()) {
            eprintln!("curlewdeck: go on with --cursor {cursor}");
        }
        end.status()
    }
}

/// As JSON a row or figure a line, so that pages follow each other without a seam; what a page rests on goes to
/// standard error then.
fn print(page: &Page, json: bool) {
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
mod tests {
    use super::*;

    fn read(line: &str) -> Result<Command, String> {
        let words = line.split_whitespace().map(Into::into).collect();
        Command::read(&mut Arguments::from_vec(words))
    }

    #[test]
    fn a_command_line_becomes_a_query() {
        let command =
            read("127.0.0.1:1 plazas rank --limit 3 --order asc --filter a=b=c --filter d=e --all").unwrap();
        assert_eq!((command.set.as_str(), command.query.limit, command.budget.pages), ("plazas", Some(3), 0));
        assert_eq!(command.query.filter["a"], "b=c");
        for (line, why) in [
            ("127.0.0.1:1 plazas", "OP is missing"),
            ("127.0.0.1:1 plazas rank --limit three", "three"),
            ("127.0.0.1:1 plazas rank --filter a", "FIELD=VALUE"),
        ] {
            assert!(read(line).unwrap_err().contains(why), "{line}");
        }
    }
}
