//! Lines of the daemon's log: a time, a level and key=value pairs.

use std::{fs, path::Path};

use eyre::{Result, WrapErr};

/// One event.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time as written, in UTC. Times compare as text.
    pub time: String,
    /// Process that wrote it: the word before the time, where a collector of logs put one, or the file's name.
    pub source: String,
    /// The event with its fields, as written.
    pub text: String,
    fields: Vec<(String, String)>,
}

/// Reads the events of the log at `path`. Lines that are no events are passed over.
pub fn read(path: &Path) -> Result<Vec<Line>> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read log {}", path.display()))?;
    let file = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(text.lines().filter_map(|line| Line::parse(&file, line)).collect())
}

impl Line {
    /// Reads a line of the file `file`; none when it holds no event.
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
            fields: fields(text),
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

/// Reads `key=value key="quoted value"`.
fn fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text;
    while let Some((key, after)) = rest.trim_start().split_once('=') {
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.push((key.to_owned(), value));
        rest = left;
    }
    fields
}

/// Reads up to the closing quote; returns the value and what follows.
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
