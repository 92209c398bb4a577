//! A YAML document as a tree of nodes with their positions.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{DuplicateKeyPolicy, Location, NonFiniteFloatPolicy, Spanned};

use crate::check::{MAX_BYTES, Path, Problem};

/// A node of the document.
#[derive(Debug)]
pub enum Node {
    Null,
    Bool(bool),
    Integer(u64),
    Number(f64),
    Text(String),
    List(Vec<Spanned<Self>>),
    /// Entries in document order. A repeated key has one entry per occurrence.
    Map(Vec<(Spanned<String>, Spanned<Self>)>),
}

impl Node {
    /// Name of the node's type, for messages.
    pub fn describe(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Integer(_) => "a whole number",
            Self::Number(_) => "a number",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// Limit on the bytes of text in a document after alias expansion. A router must check manifests
/// within its memory limit of 32 MB.
const MAX_TEXT_BYTES: usize = 2 * MAX_BYTES;

/// Parses one YAML document. The parser limits nesting, the number of nodes and alias expansion.
pub fn parse(text: &str) -> Result<Spanned<Node>, Problem> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        budget: serde_saphyr::budget! { max_documents: 1, max_depth: 16, max_total_scalar_bytes: MAX_TEXT_BYTES },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| {
        let line = err.location().map_or(0, |location| location.line());
        Problem { path: Path::default(), line, expected: format!("valid YAML: {}", err.without_snippet()) }
    })
}

/// Returns the line of the node at `path`, or of its deepest ancestor that exists.
pub fn line_of(root: &Spanned<Node>, path: &Path) -> u64 {
    let mut line = root.referenced.line();
    let mut node = &root.value;
    for segment in path.segments() {
        let next = match node {
            Node::Map(entries) => entries
                .iter()
                .find(|(key, _)| key.value == segment.as_str())
                .map(|(key, value)| (key.referenced.line(), &value.value)),
            Node::List(items) => segment
                .parse::<usize>()
                .ok()
                .and_then(|index| items.get(index))
                .map(|item| (item.referenced.line(), &item.value)),
            _ => None,
        };
        let Some((child_line, child)) = next else { break };
        line = child_line;
        node = child;
    }
    line
}

/// Returns the path of the key or value that starts at this line and column.
pub fn path_at(root: &Spanned<Node>, line: u64, column: u64) -> Option<Path> {
    let is_at = |location: &Location| location.line() == line && location.column() == column;
    if let Node::Map(entries) = &root.value {
        for (key, value) in entries {
            let mut path = Path::from_segments(&[&key.value]);
            if is_at(&key.referenced) {
                return Some(path);
            }
            if let Some(relative) = path_at(value, line, column) {
                path.append(&relative);
                return Some(path);
            }
        }
    }
    if let Node::List(items) = &root.value {
        for (index, item) in items.iter().enumerate() {
            if let Some(relative) = path_at(item, line, column) {
                let mut path = Path::from_segments(&[&index.to_string()]);
                path.append(&relative);
                return Some(path);
            }
        }
    }
    is_at(&root.referenced).then(Path::default)
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML node")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Integer(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(u64::try_from(value).map_or(Node::Number(value as f64), Node::Integer))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}
