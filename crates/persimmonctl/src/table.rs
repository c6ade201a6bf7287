//! Plain-text tables.

/// A table with headings and aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// Adds a row with one cell for each heading.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Formats the table, with one line per row.
    pub(crate) fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let joined = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", joined.trim_end())
}
