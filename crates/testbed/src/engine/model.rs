//! Answers of the stand-in's models. Their text is a function of model, version and prompt.

use eelgrasswell_core::hash::stable_hash;
use serde::Deserialize;
use serde_json::{Value, json};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages that make up the prompt.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Number of output tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the answer is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of the prompt.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Text of the message.
    pub content: String,
}

fn default_max_tokens() -> u64 {
    16
}

impl ChatRequest {
    /// Returns the prompt: the text of all messages, one a line.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|message| message.content.as_str()).collect::<Vec<_>>().join("\n")
    }
}

/// Returns token number `index` of an answer.
pub fn token(model: &str, version: &str, prompt: &str, bad: bool, index: u64) -> String {
    let kind = if bad { "bad" } else { "good" };
    let hash = stable_hash(&[kind, model, version, prompt, &index.to_string()]);
    format!("{}{:04x} ", if bad { "x" } else { "w" }, hash & 0xffff)
}

/// Returns the complete text of a good answer.
pub fn answer_text(model: &str, version: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(model, version, prompt, false, index)).collect()
}

/// Counts the tokens of a prompt, which are its words.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Returns the `usage` object of an answer.
pub fn usage(input: u64, output: u64) -> Value {
    json!({"prompt_tokens": input, "completion_tokens": output, "total_tokens": input + output})
}

/// Returns the body of an answer that is not streamed.
pub fn completion(id: &str, model: &str, text: &str, usage: &Value) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "length",
        }],
        "usage": usage,
    })
    .to_string()
}

/// Returns the server-sent event of one token.
pub fn token_event(id: &str, model: &str, token: &str) -> String {
    let event = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": token}}],
    });
    format!("data: {event}\n\n")
}

/// Returns the server-sent events that end a stream.
pub fn final_events(id: &str, model: &str, usage: &Value) -> String {
    let event = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        "usage": usage,
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}
