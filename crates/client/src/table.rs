//! Tables for terminals.

/// A table whose columns are as wide as their longest cell. The first row is the heading.
#[derive(Debug)]
pub struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table with a heading, which is converted to upper case.
    pub fn new(heading: [&str; N]) -> Self {
        Self { rows: vec![heading.map(str::to_uppercase)] }
    }

    pub fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    /// Formats the table as text.
    pub fn render(&self) -> String {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats an amount of micros in currency units with six decimals.
pub fn format_micros(micros: u64) -> String {
    format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000)
}
