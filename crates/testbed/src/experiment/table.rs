//! Result tables, which can be printed with aligned columns or written as CSV.

use std::{fmt, fs, path::Path};

use eyre::{Result, WrapErr};

/// Results of an experiment, as rows with named columns.
#[derive(Clone, Debug)]
pub struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&'static str]) -> Self {
        Self { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row, which must have one cell for each column.
    pub fn add_row(&mut self, cells: &[&dyn fmt::Display]) {
        assert_eq!(cells.len(), self.columns.len(), "a row has one cell for each column");
        self.rows.push(cells.iter().map(ToString::to_string).collect());
    }

    /// Writes the table as CSV.
    pub fn write_csv(&self, path: &Path) -> Result<()> {
        let lines = self.rows.iter().map(|row| row.join(","));
        let text =
            std::iter::once(self.columns.join(",")).chain(lines).fold(String::new(), |text, line| text + &line + "\n");
        fs::write(path, text).wrap_err_with(|| format!("could not write {}", path.display()))
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header: Vec<String> = self.columns.iter().map(ToString::to_string).collect();
        let width = |i: usize| self.rows.iter().chain([&header]).map(|row| row[i].len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..header.len()).map(width).collect();
        for row in [&header].into_iter().chain(&self.rows) {
            let cells: Vec<String> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}")).collect();
            writeln!(f, "{}", cells.join("  "))?;
        }
        Ok(())
    }
}

/// Formats a number with three decimals.
pub fn decimal(value: f64) -> String {
    format!("{value:.3}")
}
