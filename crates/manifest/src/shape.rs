//! The shape of a manifest: which keys stand where and what their values are. A wrong node is
//! reported and replaced by a stand-in, so that the rest of the document can still be checked.

use std::collections::HashSet;

use serde_json::{Map, Value};
use serde_saphyr::Spanned;

use crate::{
    check::{MAX_PROBLEMS, Path, Problem},
    tree::Node,
};

/// Longest id in bytes. Ids are parts of object keys and URLs, which also limits their characters.
pub const MAX_ID_LEN: usize = 128;

/// What a value must be.
#[derive(Debug)]
pub enum Shape {
    Text,
    Bool,
    /// A whole number up to the given one.
    Whole(u64),
    Number,
    OneOf(&'static [&'static str]),
    List(&'static Self),
    /// A mapping from ids to values of one shape.
    Map(&'static Self),
    /// A mapping with known keys.
    Struct(&'static [Field]),
}

/// A key of a mapping with known keys.
#[derive(Debug)]
pub struct Field {
    name: &'static str,
    shape: Shape,
    required: bool,
}

const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, required: true }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, required: false }
}

const COUNT: Shape = Shape::Whole(u32::MAX as u64);
const QUANTITY: Shape = Shape::Whole(u64::MAX);

/// Shape of a whole manifest. It follows the types in `manifest.rs`.
pub static MANIFEST: Shape = Shape::Struct(&[
    optional("domains", Shape::Map(&DOMAIN)),
    optional("services", Shape::Map(&SERVICE)),
    optional("models", Shape::Map(&MODEL)),
    optional("classes", Shape::Map(&CLASS)),
    optional("customers", Shape::Map(&CUSTOMER)),
    optional("draining", Shape::Map(&DRAIN)),
]);

static DOMAIN: Shape = Shape::Struct(&[required("region", Shape::Text), required("in_service", Shape::Bool)]);

static DRAIN: Shape = Shape::Struct(&[]);

static SERVICE: Shape = Shape::Struct(&[
    required("kind", Shape::OneOf(&["model", "plain"])),
    required("max_running", COUNT),
    optional("max_queued", COUNT),
    optional("tokens_limit", QUANTITY),
    required("cold_limit", COUNT),
    optional("warm_interval", QUANTITY),
    optional("routes", Shape::List(&ROUTE)),
    optional("call_price", QUANTITY),
]);

static ROUTE: Shape = Shape::Struct(&[
    required("method", Shape::Text),
    required("path", Shape::Text),
    required("idempotent", Shape::Bool),
]);

static MODEL: Shape = Shape::Struct(&[
    required("service", Shape::Text),
    required("current", Shape::Text),
    required("versions", Shape::Map(&VERSION)),
    optional("rollout", ROLLOUT),
    optional("prior_quality", Shape::Number),
]);

static VERSION: Shape = Shape::Struct(&[
    required("state", Shape::OneOf(&["open", "closed", "withdrawn"])),
    required("input_price", QUANTITY),
    required("output_price", QUANTITY),
]);

const ROLLOUT: Shape = Shape::Struct(&[
    required("version", Shape::Text),
    optional("steps_permille", Shape::List(&COUNT)),
    optional("good_error_rate", Shape::Number),
    optional("bad_error_rate", Shape::Number),
    optional("slow_after", QUANTITY),
    optional("step_time", QUANTITY),
]);

static CLASS: Shape = Shape::Struct(&[required("candidates", Shape::List(&Shape::Text))]);

static CUSTOMER: Shape = Shape::Struct(&[
    required("api_key_sha256", Shape::Text),
    optional("weight", COUNT),
    optional("priority", COUNT),
    optional("models", Shape::Map(&Shape::List(&Shape::Text))),
    optional("services", Shape::List(&Shape::Text)),
    optional("quality_targets", Shape::Map(&Shape::Number)),
    optional("budget", BUDGET),
]);

const BUDGET: Shape = Shape::Struct(&[required("cap", QUANTITY), required("period", Shape::Text)]);

impl Shape {
    /// Reads `node`. Reports what does not fit and returns a value that does.
    pub fn read(&self, node: &Spanned<Node>, path: &mut Path, problems: &mut Vec<Problem>) -> Value {
        match (self, &node.value) {
            (Self::Text, Node::Text(text)) => return Value::String(text.clone()),
            (Self::Bool, Node::Bool(value)) => return Value::Bool(*value),
            (Self::Whole(max), Node::Whole(value)) if value <= max => return Value::from(*value),
            (Self::Number, Node::Whole(value)) => return Value::from(*value as f64),
            (Self::Number, Node::Number(value)) if value.is_finite() => return Value::from(*value),
            (Self::OneOf(names), Node::Text(text)) if names.contains(&text.as_str()) => {
                return Value::String(text.clone());
            }
            (Self::List(inner), Node::List(items)) => return read_list(inner, items, path, problems),
            (Self::Map(inner), Node::Map(entries)) => return read_map(inner, entries, path, problems),
            (Self::Struct(fields), Node::Map(entries)) => {
                return read_struct(fields, entries, node.referenced.line(), path, problems);
            }
            _ => {}
        }
        let expected = format!("{}, not {}", self.describe(), node.value.describe());
        report(problems, path, node.referenced.line(), expected);
        self.stand_in()
    }

    fn describe(&self) -> String {
        match self {
            Self::Text => "text (put numbers in quotes)".into(),
            Self::Bool => "true or false".into(),
            Self::Whole(max) => format!("a whole number from 0 to {max}"),
            Self::Number => "a number".into(),
            Self::OneOf(names) => format!("one of {}", names.join(", ")),
            Self::List(_) => "a list".into(),
            Self::Map(_) => "a mapping".into(),
            Self::Struct(fields) => {
                let names: Vec<_> = fields.iter().filter(|field| field.required).map(|field| field.name).collect();
                if names.is_empty() { "a mapping".into() } else { format!("a mapping with {}", names.join(", ")) }
            }
        }
    }

    fn stand_in(&self) -> Value {
        match self {
            Self::Text => Value::String(String::new()),
            Self::Bool => Value::Bool(false),
            Self::Whole(_) => Value::from(0),
            Self::Number => Value::from(0.0),
            Self::OneOf(names) => Value::from(names[0]),
            Self::List(_) => Value::Array(Vec::new()),
            Self::Map(_) => Value::Object(Map::new()),
            Self::Struct(fields) => {
                let required = fields.iter().filter(|field| field.required);
                Value::Object(required.map(|field| (field.name.into(), field.shape.stand_in())).collect())
            }
        }
    }
}

fn read_list(inner: &Shape, items: &[Spanned<Node>], path: &mut Path, problems: &mut Vec<Problem>) -> Value {
    let read = items.iter().enumerate().map(|(index, item)| {
        path.push(&index.to_string());
        let value = inner.read(item, path, problems);
        path.pop();
        value
    });
    Value::Array(read.collect())
}

fn read_map(
    inner: &Shape,
    entries: &[(Spanned<String>, Spanned<Node>)],
    path: &mut Path,
    problems: &mut Vec<Problem>,
) -> Value {
    let mut map = Map::new();
    for (key, node) in entries {
        path.push(&key.value);
        let line = key.referenced.line();
        if !is_id(&key.value) {
            let expected = format!("an id of 1 to {MAX_ID_LEN} letters, digits or any of -._~+:@");
            report(problems, path, line, expected);
        }
        if map.contains_key(&key.value) {
            report(problems, path, line, "each key once".into());
        }
        let value = inner.read(node, path, problems);
        path.pop();
        map.insert(key.value.clone(), value);
    }
    Value::Object(map)
}

fn read_struct(
    fields: &[Field],
    entries: &[(Spanned<String>, Spanned<Node>)],
    line: u64,
    path: &mut Path,
    problems: &mut Vec<Problem>,
) -> Value {
    let mut map = Map::new();
    let mut seen = HashSet::new();
    for (key, node) in entries {
        path.push(&key.value);
        let line = key.referenced.line();
        match fields.iter().find(|field| field.name == key.value) {
            None => {
                let names: Vec<_> = fields.iter().map(|field| field.name).collect();
                let expected = match names.as_slice() {
                    [] => "no key here".into(),
                    names => format!("a known key ({})", names.join(", ")),
                };
                report(problems, path, line, expected);
            }
            Some(field) if !seen.insert(field.name) => {
                report(problems, path, line, "each key once".into());
            }
            // The JSON form writes an absent optional value as null.
            Some(field) if !field.required && matches!(node.value, Node::Null) => {}
            Some(field) => {
                let value = field.shape.read(node, path, problems);
                map.insert(field.name.into(), value);
            }
        }
        path.pop();
    }
    for field in fields.iter().filter(|field| field.required && !seen.contains(field.name)) {
        path.push(field.name);
        report(problems, path, line, format!("this key: {}", field.shape.describe()));
        path.pop();
        map.insert(field.name.into(), field.shape.stand_in());
    }
    Value::Object(map)
}

fn report(problems: &mut Vec<Problem>, path: &Path, line: u64, expected: String) {
    if problems.len() < MAX_PROBLEMS {
        problems.push(Problem { path: path.clone(), line, expected });
    }
}

/// Whether `text` may be the id of anything.
pub fn is_id(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~+:@".contains(&b);
    (1..=MAX_ID_LEN).contains(&text.len()) && text.bytes().all(plain)
}

/// Whether `path` is a whole section of the manifest, or the manifest itself.
pub fn is_section(path: &Path) -> bool {
    let Shape::Struct(sections) = &MANIFEST else { return false };
    path.segments().first().is_none_or(|first| sections.iter().any(|section| section.name == first.as_str()))
}
