//! Columns for people.

use serde_json::Value;

/// Prints rows under heads, each column as wide as its widest cell.
pub(super) fn print(heads: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain(heads.get(column).map(|head| head.len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(heads.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Returns a JSON value as a cell.
pub(super) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints the entries of a list, by the named fields.
pub(super) fn print_fields(entries: &Value, fields: &[&str]) {
    let empty = Vec::new();
    let entries = entries.as_array().unwrap_or(&empty);
    let row = |entry: &Value| fields.iter().map(|field| cell(&entry[*field])).collect();
    let rows: Vec<Vec<String>> = entries.iter().map(row).collect();
    print(fields, &rows);
}
