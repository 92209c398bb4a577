//! Checks the events that a caller gets in one stream, which may come from the answers of several servers.
//!
//! The pattern is a server that continues a stream with something else: an error's text or a whole response in place of
//! events, or the events from the start although it was asked for those after a certain one. None of it may reach the
//! caller, and a stream that ends there is not complete.

use std::fmt;

use compact_str::CompactString;

/// Fields of events that have a meaning. An event has at least one of them.
const FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];
/// Bytes with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// What is wrong with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// The bytes are not an event.
    NotAnEvent,
    /// The id is not above that of the event before.
    OutOfOrder {
        /// Id of the event.
        id: CompactString,
        /// Id of the event before.
        after: CompactString,
    },
}

impl fmt::Display for EventFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAnEvent => f.write_str("it sent bytes that are no event"),
            Self::OutOfOrder { id, after } => write!(f, "it sent event {id} after event {after}"),
        }
    }
}

impl std::error::Error for EventFault {}

/// Order of the events that the caller has got.
#[derive(Clone, Debug, Default)]
pub struct EventOrder {
    last_id: Option<CompactString>,
    /// Whether events without an id have followed the one with the last id.
    has_unnamed: bool,
}

impl EventOrder {
    /// Order of a stream that begins after the event `last_id`; none for a stream from its start.
    pub fn after(last_id: Option<CompactString>) -> Self {
        Self { last_id, has_unnamed: false }
    }

    /// Id of the last event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the stream can go on after the last id without repeating an event.
    pub fn is_resumable(&self) -> bool {
        !self.has_unnamed
    }

    /// Checks complete events. Returns the number of bytes up to the first fault, which may be passed on, and the fault.
    pub fn accept(&mut self, events: &[u8]) -> (usize, Option<EventFault>) {
        let mut start = 0;
        let mut end = 0;
        let mut event = Event::default();
        for line in events.split_inclusive(|&byte| byte == b'\n') {
            end += line.len();
            let text = line.strip_suffix(b"\n").unwrap_or(line);
            let text = text.strip_suffix(b"\r").unwrap_or(text);
            if !text.is_empty() {
                event.add_line(text);
                continue;
            }
            if let Err(fault) = self.accept_event(&std::mem::take(&mut event)) {
                return (start, Some(fault));
            }
            start = end;
        }
        (start, None)
    }

    fn accept_event(&mut self, event: &Event<'_>) -> Result<(), EventFault> {
        if event.is_malformed || (event.has_other_fields && !event.has_known_field) {
            return Err(EventFault::NotAnEvent);
        }
        let Some(id) = event.id else {
            self.has_unnamed |= event.has_known_field;
            return Ok(());
        };
        if let (Some(after), Some(number)) = (&self.last_id, parse_number(id))
            && after.parse::<u64>().is_ok_and(|after| number <= after)
        {
            return Err(EventFault::OutOfOrder { id: CompactString::from_utf8_lossy(id), after: after.clone() });
        }
        self.last_id = Some(CompactString::from_utf8_lossy(id));
        self.has_unnamed = false;
        Ok(())
    }
}

/// Lines of one event.
#[derive(Debug, Default)]
struct Event<'a> {
    id: Option<&'a [u8]>,
    has_known_field: bool,
    has_other_fields: bool,
    is_malformed: bool,
}

impl<'a> Event<'a> {
    fn add_line(&mut self, line: &'a [u8]) {
        let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        let colon = line.iter().position(|&byte| byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        if FIELDS.contains(&name) {
            self.has_known_field = true;
            if name == b"id" {
                self.id = colon.map(|colon| line[colon + 1..].trim_ascii());
            }
            return;
        }
        // A line that begins with a colon is a comment.
        self.has_other_fields |= !name.is_empty();
        self.is_malformed |= colon.is_none() || !name.iter().all(|&byte| is_name_byte(byte));
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.parse().ok()
}
