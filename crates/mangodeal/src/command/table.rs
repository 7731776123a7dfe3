//! Output in aligned columns.

use serde_json::Value;

/// Prints rows below their headings; each column is as wide as its widest cell.
pub(super) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain(headings.get(column).map(|heading| heading.len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_line = |cells: Vec<&str>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_line(headings.to_vec());
    for row in rows {
        print_line(row.iter().map(String::as_str).collect());
    }
}

/// Formats a JSON value as a table cell.
pub(super) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints a list of JSON objects as a table with the given fields.
pub(super) fn print_fields(entries: &Value, fields: &[&str]) {
    let empty = Vec::new();
    let entries = entries.as_array().unwrap_or(&empty);
    let row = |entry: &Value| fields.iter().map(|field| format_cell(&entry[*field])).collect();
    let rows: Vec<Vec<String>> = entries.iter().map(row).collect();
    print_table(fields, &rows);
}
