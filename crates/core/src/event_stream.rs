//! Splits a stream of server-sent events into whole events, so that a stream which breaks off inside an event can be
//! resumed after the last whole one.

use compact_str::CompactString;

/// Bytes of an incomplete event above which the stream counts as broken.
const MAX_PENDING: usize = 1 << 20;

/// Whole events of one read, as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events.
    pub bytes: Vec<u8>,
    /// Id of the last of them that has one.
    pub last_id: Option<CompactString>,
}

/// Collects bytes until they make up whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = searched + last_boundary(&self.pending[searched..])?;
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        let last_id = last_id(&whole);
        Some(Events { bytes: whole, last_id })
    }

    /// Whether bytes of an incomplete event are held.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the incomplete event is too long to be one.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_PENDING
    }

    /// Drops the incomplete event.
    pub fn reset(&mut self) {
        self.pending.clear();
    }
}

/// End of the last blank line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let line = events.split(|&byte| byte == b'\n').rev().find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    Some(text.trim().into())
}
