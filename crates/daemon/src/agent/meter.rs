//! Counts the tokens of a model's answer while its bytes are relayed.

use eelgrasswell_core::unit::Tokens;
use serde::Deserialize;
use serde_json::Deserializer;

/// JSON key of the object with the token counts.
const USAGE_KEY: &[u8] = b"\"usage\":";
/// Maximum number of bytes carried over between chunks, so that an object that is split between chunks is still parsed.
const MAX_CARRY_BYTES: usize = 512;
/// Maximum length of a line of a stream that is parsed, in bytes; engines send one token per line.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Counts the tokens of one answer. The bytes of the answer must be fed in order.
#[derive(Debug, Default)]
pub struct TokenMeter {
    stream: bool,
    /// Last bytes of the answer, which may hold the start of the `usage` object.
    carry: Vec<u8>,
    /// Incomplete last line of a stream.
    line: Vec<u8>,
    /// Number of tokens counted in a stream.
    delivered: u64,
    usage: Option<Usage>,
    /// Whether the end mark of a stream was received.
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
    /// Creates a meter for a stream of server-sent events, or for an answer that is not streamed.
    pub fn new(stream: bool) -> Self {
        Self { stream, ..Self::default() }
    }

    /// Processes the next bytes of the answer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.find_usage(bytes);
        if self.stream {
            self.count_tokens(bytes);
        }
    }

    /// Returns the token counts reported by the engine, if they were received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Whether the end of the answer was received: the end mark of a stream, or the `usage` object of other answers.
    pub fn is_complete(&self) -> bool {
        if self.stream { self.done } else { self.usage.is_some() }
    }

    /// Returns the number of output tokens so far: the number reported by the engine, or else the tokens counted in the
    /// stream.
    pub fn delivered(&self) -> Tokens {
        Tokens(self.usage.map_or(self.delivered, |usage| usage.output))
    }

    /// Looks for the `usage` object. Text of the answer cannot be mistaken for it, because quotes in text are escaped.
    fn find_usage(&mut self, bytes: &[u8]) {
        self.carry.extend_from_slice(bytes);
        let key = self.carry.windows(USAGE_KEY.len()).rposition(|window| window == USAGE_KEY);
        let object = key.map(|at| {
            let rest = &self.carry[at + USAGE_KEY.len()..];
            (self.carry.len() - at, Deserializer::from_slice(rest).into_iter::<Usage>().next())
        });
        let keep = match object {
            Some((_, Some(Ok(usage)))) => {
                self.usage = Some(usage);
                0
            }
            // The object is incomplete; the rest follows in the next bytes.
            Some((length, None)) => length,
            Some((length, Some(Err(err)))) if err.is_eof() => length,
            Some((_, Some(Err(_)))) | None => USAGE_KEY.len() - 1,
        };
        let surplus = self.carry.len().saturating_sub(keep.min(MAX_CARRY_BYTES));
        self.carry.drain(..surplus);
    }

    /// Counts the tokens of a stream and detects its end mark.
    fn count_tokens(&mut self, bytes: &[u8]) {
        for fragment in bytes.split_inclusive(|&byte| byte == b'\n') {
            if self.line.len() + fragment.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(fragment);
            }
            if fragment.ends_with(b"\n") {
                self.delivered += u64::from(has_content(&self.line));
                self.done |= self.line.trim_ascii() == b"data: [DONE]";
                self.line.clear();
            }
        }
    }
}

/// Whether a line of a stream contains a token.
fn has_content(line: &[u8]) -> bool {
    let Some(json) = line.strip_prefix(b"data:") else { return false };
    let Ok(event) = serde_json::from_slice::<Event>(json) else { return false };
    event.choices.iter().any(|choice| choice.delta.content.as_ref().is_some_and(|content| !content.is_empty()))
}
