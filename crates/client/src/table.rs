//! Formats pages as text tables.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};

use crate::query::Page;

/// Formats a page: its figure and its rows, followed by a line on its coverage.
pub fn render(page: &Page) -> String {
    let mut text = String::new();
    if let Some(figure) = &page.figure {
        let value = figure.value.as_deref().unwrap_or("none");
        text.push_str(&format!("{} {value} over {} rows", page.op, figure.rows));
        if let Some(within) = &figure.within {
            text.push_str(&format!(", within {} and {}", within.low, within.high));
        }
        text.push_str(if figure.exact { "\n" } else { ", not exact\n" });
    }
    if !page.rows.is_empty() {
        text.push_str(&rows(page));
        text.push('\n');
    }
    text.push_str(&coverage(page));
    text
}

/// Formats rows in aligned columns below a header line.
pub fn columns(header: &[String], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

fn rows(page: &Page) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["key", "value", "range", "note", "body"]);
    for (n, row) in page.rows.iter().enumerate() {
        let note = match (page.certain, row.exact, row.late) {
            (_, _, true) => "adds to an earlier page",
            (_, false, _) => "not exact",
            (Some(certain), true, _) if n >= certain => "may be displaced",
            _ => "",
        };
        table.add_row([
            row.key.as_str(),
            row.value.as_deref().unwrap_or("none"),
            &row.range.map(|r| r.to_string()).unwrap_or_default(),
            note,
            row.body.as_ref().map_or("", |b| b.get()),
        ]);
    }
    if let Some(column) = table.column_mut(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table.trim_fmt()
}

/// Describes in one line which ranges the page covers and which are missing.
pub fn coverage(page: &Page) -> String {
    let all = page.ranges.len() + page.missing.len();
    let mut line = match page.complete {
        true => format!("whole: all of {all} ranges"),
        false => format!("not whole: {} of {all} ranges, {} of the data", page.ranges.len(), page.coverage),
    };
    for missing in &page.missing {
        line.push_str(&format!("; range {} {}", missing.range, missing.reason));
    }
    line
}

#[cfg(test)]
mod tests;
