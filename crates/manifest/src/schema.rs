//! Schema of a manifest: its keys and the types of their values. A node that does not match is
//! reported and replaced by a placeholder, so that the rest of the document can still be checked.

use std::collections::HashSet;

use serde_json::{Map, Value};
use serde_saphyr::Spanned;

use crate::{
    check::{MAX_PROBLEMS, Path, Problem},
    tree::Node,
};

/// Length limit of an id in bytes. Ids are parts of object keys and URLs, which is also why their
/// characters are limited.
pub const MAX_ID_LEN: usize = 128;

/// Expected type of a value.
#[derive(Debug)]
pub enum Schema {
    Text,
    Bool,
    /// An unsigned integer up to and including the given one.
    Integer(u64),
    Number,
    OneOf(&'static [&'static str]),
    List(&'static Self),
    /// A mapping from ids to values that share one schema.
    Map(&'static Self),
    /// A mapping with a fixed set of keys.
    Struct(&'static [Field]),
}

/// A key of a mapping with a fixed set of keys.
#[derive(Debug)]
pub struct Field {
    name: &'static str,
    schema: Schema,
    required: bool,
}

const fn required(name: &'static str, schema: Schema) -> Field {
    Field { name, schema, required: true }
}

const fn optional(name: &'static str, schema: Schema) -> Field {
    Field { name, schema, required: false }
}

const COUNT: Schema = Schema::Integer(u32::MAX as u64);
const QUANTITY: Schema = Schema::Integer(u64::MAX);

/// Schema of a whole manifest. It mirrors the types in `manifest.rs`.
pub static MANIFEST: Schema = Schema::Struct(&[
    optional("domains", Schema::Map(&DOMAIN)),
    optional("services", Schema::Map(&SERVICE)),
    optional("models", Schema::Map(&MODEL)),
    optional("classes", Schema::Map(&CLASS)),
    optional("customers", Schema::Map(&CUSTOMER)),
    optional("draining", Schema::Map(&DRAIN)),
]);

static DOMAIN: Schema = Schema::Struct(&[required("region", Schema::Text), required("in_service", Schema::Bool)]);

static DRAIN: Schema = Schema::Struct(&[]);

static SERVICE: Schema = Schema::Struct(&[
    required("kind", Schema::OneOf(&["model", "plain"])),
    required("max_running", COUNT),
    optional("max_queued", COUNT),
    optional("tokens_limit", QUANTITY),
    required("cold_limit", COUNT),
    optional("warm_interval", QUANTITY),
    optional("routes", Schema::List(&ROUTE)),
    optional("call_price", QUANTITY),
]);

static ROUTE: Schema = Schema::Struct(&[
    required("method", Schema::Text),
    required("path", Schema::Text),
    required("idempotent", Schema::Bool),
]);

static MODEL: Schema = Schema::Struct(&[
    required("service", Schema::Text),
    required("current", Schema::Text),
    required("versions", Schema::Map(&VERSION)),
    optional("rollout", ROLLOUT),
    optional("prior_quality", Schema::Number),
]);

static VERSION: Schema = Schema::Struct(&[
    required("state", Schema::OneOf(&["open", "closed", "withdrawn"])),
    required("input_price", QUANTITY),
    required("output_price", QUANTITY),
]);

const ROLLOUT: Schema = Schema::Struct(&[
    required("version", Schema::Text),
    optional("steps_permille", Schema::List(&COUNT)),
    optional("good_error_rate", Schema::Number),
    optional("bad_error_rate", Schema::Number),
    optional("slow_after", QUANTITY),
    optional("step_time", QUANTITY),
]);

static CLASS: Schema = Schema::Struct(&[required("candidates", Schema::List(&Schema::Text))]);

static CUSTOMER: Schema = Schema::Struct(&[
    required("api_key_sha256", Schema::Text),
    optional("weight", COUNT),
    optional("priority", COUNT),
    optional("models", Schema::Map(&Schema::List(&Schema::Text))),
    optional("services", Schema::List(&Schema::Text)),
    optional("quality_targets", Schema::Map(&Schema::Number)),
    optional("budget", BUDGET),
]);

const BUDGET: Schema = Schema::Struct(&[required("cap", QUANTITY), required("period", Schema::Text)]);

impl Schema {
    /// Converts `node` to JSON that matches the schema. Mismatches are added to `problems` and
    /// replaced by placeholders.
    pub fn read(&self, node: &Spanned<Node>, path: &mut Path, problems: &mut Vec<Problem>) -> Value {
        match (self, &node.value) {
            (Self::Text, Node::Text(text)) => return Value::String(text.clone()),
            (Self::Bool, Node::Bool(value)) => return Value::Bool(*value),
            (Self::Integer(max), Node::Integer(value)) if value <= max => return Value::from(*value),
            (Self::Number, Node::Integer(value)) => return Value::from(*value as f64),
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
        report_problem(problems, path, node.referenced.line(), expected);
        self.placeholder()
    }

    /// Text for the "expected" part of a problem.
    fn describe(&self) -> String {
        match self {
            Self::Text => "text (put numbers in quotes)".into(),
            Self::Bool => "true or false".into(),
            Self::Integer(max) => format!("a whole number from 0 to {max}"),
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

    /// A minimal value that matches the schema.
    fn placeholder(&self) -> Value {
        match self {
            Self::Text => Value::String(String::new()),
            Self::Bool => Value::Bool(false),
            Self::Integer(_) => Value::from(0),
            Self::Number => Value::from(0.0),
            Self::OneOf(names) => Value::from(names[0]),
            Self::List(_) => Value::Array(Vec::new()),
            Self::Map(_) => Value::Object(Map::new()),
            Self::Struct(fields) => {
                let required = fields.iter().filter(|field| field.required);
                Value::Object(required.map(|field| (field.name.into(), field.schema.placeholder())).collect())
            }
        }
    }
}

fn read_list(inner: &Schema, items: &[Spanned<Node>], path: &mut Path, problems: &mut Vec<Problem>) -> Value {
    let values = items.iter().enumerate().map(|(index, item)| {
        path.push(&index.to_string());
        let value = inner.read(item, path, problems);
        path.pop();
        value
    });
    Value::Array(values.collect())
}

fn read_map(
    inner: &Schema,
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
            report_problem(problems, path, line, expected);
        }
        if map.contains_key(&key.value) {
            report_problem(problems, path, line, "each key once".into());
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
                report_problem(problems, path, line, expected);
            }
            Some(field) if !seen.insert(field.name) => {
                report_problem(problems, path, line, "each key once".into());
            }
            // JSON that is serialised from a manifest has null for an absent optional value.
            Some(field) if !field.required && matches!(node.value, Node::Null) => {}
            Some(field) => {
                let value = field.schema.read(node, path, problems);
                map.insert(field.name.into(), value);
            }
        }
        path.pop();
    }
    for field in fields.iter().filter(|field| field.required && !seen.contains(field.name)) {
        path.push(field.name);
        report_problem(problems, path, line, format!("this key: {}", field.schema.describe()));
        path.pop();
        map.insert(field.name.into(), field.schema.placeholder());
    }
    Value::Object(map)
}

fn report_problem(problems: &mut Vec<Problem>, path: &Path, line: u64, expected: String) {
    if problems.len() < MAX_PROBLEMS {
        problems.push(Problem { path: path.clone(), line, expected });
    }
}

/// Whether `text` is a valid id.
pub fn is_id(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~+:@".contains(&b);
    (1..=MAX_ID_LEN).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Whether the first segment of `path` names a section of the manifest, or `path` is the manifest
/// itself.
pub fn is_section(path: &Path) -> bool {
    let Schema::Struct(sections) = &MANIFEST else { return false };
    path.segments().first().is_none_or(|first| sections.iter().any(|section| section.name == first.as_str()))
}
