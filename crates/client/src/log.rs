//! Parser of the daemon's log lines, which consist of a time, a level and `key=value` pairs.

use std::{fs, path::Path};

use eyre::{Result, WrapErr};

/// A log line with an event.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time in UTC as written, without the final `Z`. Times are compared as text.
    pub time: String,
    /// Process that wrote the line: the word before the time if a log collector added one, otherwise
    /// the file name without its extension.
    pub source: String,
    /// The event and its fields, as written.
    pub text: String,
    fields: Vec<(String, String)>,
}

/// Reads the events of the log at `path`. Lines without an event are ignored.
pub fn read_events(path: &Path) -> Result<Vec<Line>> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read log {}", path.display()))?;
    let file = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(text.lines().filter_map(|line| Line::parse(&file, line)).collect())
}

impl Line {
    /// Parses a line of the file `file`. Returns none if it contains no event.
    pub fn parse(file: &str, line: &str) -> Option<Self> {
        let (head, _) = line.split_at(line.find("event=")?);
        let text = &line[head.len()..];
        let words: Vec<&str> = head.split_whitespace().collect();
        let at = words.iter().position(|word| is_time(word))?;
        let source = at.checked_sub(1).map_or(file, |before| words[before]);
        Some(Self {
            time: words[at].trim_end_matches('Z').to_owned(),
            source: source.to_owned(),
            text: text.to_owned(),
            fields: parse_fields(text),
        })
    }

    /// Name of the event.
    pub fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }

    /// Value of the field `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

fn is_time(word: &str) -> bool {
    word.ends_with('Z') && word.contains('T') && word.starts_with(|c: char| c.is_ascii_digit())
}

/// Parses `key=value key="quoted value"` pairs.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text;
    while let Some((key, after)) = rest.trim_start().split_once('=') {
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.push((key.to_owned(), value));
        rest = remainder;
    }
    fields
}

/// Reads up to the closing quote. Returns the unescaped value and the remaining text.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}
