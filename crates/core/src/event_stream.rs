//! Splits a stream of server-sent events into complete events, so that a stream that breaks off within an event can be
//! resumed after the last complete one.

use compact_str::CompactString;

/// Maximum size of an incomplete event in bytes. A stream with a larger one counts as broken.
const MAX_PENDING: usize = 1 << 20;
/// How events begin, unless with a field that has no meaning.
const FIELD_STARTS: [&[u8]; 3] = [b"id:", b"data:", b"event:"];

/// Complete events, in their received form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events.
    pub bytes: Vec<u8>,
    /// Id of the last event that has one.
    pub last_id: Option<CompactString>,
}

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that they complete; none if no event is complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = search_from + last_boundary(&self.pending[search_from..])?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        let last_id = last_id(&bytes);
        Some(Events { bytes, last_id })
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the buffered bytes are the beginning of an event, and not of something else.
    pub fn is_inside_known_field(&self) -> bool {
        FIELD_STARTS.iter().any(|start| self.pending.starts_with(start))
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_PENDING
    }

    /// Discards the incomplete event.
    pub fn reset(&mut self) {
        self.pending.clear();
    }
}

/// Position after the last blank line, which ends an event.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let line = events.split(|&byte| byte == b'\n').rev().find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    Some(text.trim().into())
}
