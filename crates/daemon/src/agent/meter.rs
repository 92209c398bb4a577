//! Counts the tokens of a model's answer as its bytes pass.

use eelgrasswell_core::unit::Tokens;
use serde::Deserialize;
use serde_json::Deserializer;

/// What precedes the object with the token counts.
const KEY: &[u8] = b"\"usage\":";
/// Most bytes kept so that an object split between chunks is still seen whole.
const MAX_CARRY: usize = 512;
/// Longest line of a stream that is looked at; engines send one token per line.
const MAX_LINE: usize = 64 << 10;

/// Counts tokens; feed it the bytes of the answer in order.
#[derive(Debug, Default)]
pub struct TokenMeter {
    stream: bool,
    carry: Vec<u8>,
    line: Vec<u8>,
    delivered: u64,
    usage: Option<Usage>,
    done: bool,
}

/// The `usage` object of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(rename = "prompt_tokens")]
    pub input: u64,
    /// Tokens of the answer.
    #[serde(rename = "completion_tokens")]
    pub output: u64,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl TokenMeter {
    /// Starts for a stream of server-sent events or for an answer in one piece.
    pub fn new(stream: bool) -> Self {
        Self { stream, ..Self::default() }
    }

    /// Takes in the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.find_usage(bytes);
        if self.stream {
            self.count(bytes);
        }
    }

    /// What the engine reported, if it got that far.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Whether the end of the answer was seen: the end mark of a stream, or the usage.
    pub fn is_complete(&self) -> bool {
        if self.stream { self.done } else { self.usage.is_some() }
    }

    /// Tokens delivered so far: what the engine reported, or else the tokens of the stream.
    pub fn delivered(&self) -> Tokens {
        Tokens(self.usage.map_or(self.delivered, |usage| usage.output))
    }

    /// Quotes inside text are escaped, so that text cannot be taken for the object.
    fn find_usage(&mut self, bytes: &[u8]) {
        self.carry.extend_from_slice(bytes);
        let key = self.carry.windows(KEY.len()).rposition(|window| window == KEY);
        let object = key.map(|at| {
            let rest = &self.carry[at + KEY.len()..];
            (self.carry.len() - at, Deserializer::from_slice(rest).into_iter::<Usage>().next())
        });
        let keep = match object {
            Some((_, Some(Ok(usage)))) => {
                self.usage = Some(usage);
                0
            }
            // The rest of the object comes with the next bytes.
            Some((length, None)) => length,
            Some((length, Some(Err(err)))) if err.is_eof() => length,
            Some((_, Some(Err(_)))) | None => KEY.len() - 1,
        };
        let surplus = self.carry.len().saturating_sub(keep.min(MAX_CARRY));
        self.carry.drain(..surplus);
    }

    fn count(&mut self, bytes: &[u8]) {
        for piece in bytes.split_inclusive(|&byte| byte == b'\n') {
            if self.line.len() + piece.len() <= MAX_LINE {
                self.line.extend_from_slice(piece);
            }
            if piece.ends_with(b"\n") {
                self.delivered += u64::from(has_content(&self.line));
                self.done |= self.line.trim_ascii() == b"data: [DONE]";
                self.line.clear();
            }
        }
    }
}

/// Whether a line of a stream carries a token.
fn has_content(line: &[u8]) -> bool {
    let Some(json) = line.strip_prefix(b"data:") else { return false };
    let Ok(event) = serde_json::from_slice::<Event>(json) else { return false };
    event.choices.iter().any(|choice| choice.delta.content.as_ref().is_some_and(|content| !content.is_empty()))
}
