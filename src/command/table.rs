//! Plain-text tables for operators.

/// Table of text cells under headings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows; headings are printed in upper case.
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| heading.to_uppercase()).collect()] }
    }

    /// Adds a row.
    pub fn add(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the text of the table: each column is as wide as its widest cell, and lines have no trailing spaces.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
        };
        let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
        let line = |row: &Vec<String>| -> String {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
