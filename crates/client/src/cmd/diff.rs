//! `eelgrasswell diff`

use std::{collections::BTreeSet, path::PathBuf};

use argh::{ArgsInfo, FromArgs};
use eelgrasswell_manifest::manifest::Manifest;
use eyre::WrapErr;
use serde_json::{Value, json};

use super::check;
use crate::{api::Api, cmd, error::Error};

/// Print what submitting a manifest would change.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "diff")]
pub struct DiffCmd {
    /// file with the manifest
    #[argh(positional)]
    file: PathBuf,
}

/// A value that differs. `old` or `new` is none if the manifest has no value at the path.
struct Difference {
    path: String,
    old: Option<Value>,
    new: Option<Value>,
}

pub async fn run(cmd: &DiffCmd, api: impl FnOnce() -> Result<Api, Error>, json: bool) -> Result<String, Error> {
    let (_, manifest) = check::read(&cmd.file)?;
    let current = api()?.manifest().await?;
    let mut differences = Vec::new();
    collect_differences("", Some(&json_of(&current.manifest)?), Some(&json_of(&manifest)?), &mut differences);
    if json {
        let changes: Vec<_> = differences.iter().map(|d| json!({"path": d.path, "old": d.old, "new": d.new})).collect();
        return Ok(cmd::to_pretty_json(&json!({"manifest_revision": current.manifest_revision, "changes": changes})));
    }
    let mut text = format!("# against manifest revision {}\n", current.manifest_revision);
    for difference in &differences {
        text.push_str(&format_line(difference));
    }
    Ok(text)
}

fn json_of(manifest: &Manifest) -> Result<Value, Error> {
    Ok(serde_json::to_value(manifest).wrap_err("could not write the manifest as JSON")?)
}

fn format_line(difference: &Difference) -> String {
    let Difference { path, old, new } = difference;
    match (old, new) {
        (Some(old), Some(new)) => format!("~ {path}: {old} -> {new}\n"),
        (Some(old), None) => format!("- {path}: {old}\n"),
        (None, Some(new)) => format!("+ {path}: {new}\n"),
        (None, None) => String::new(),
    }
}

/// Compares mappings recursively and any other values as a whole, including lists, whose order is
/// significant.
fn collect_differences(path: &str, old: Option<&Value>, new: Option<&Value>, differences: &mut Vec<Difference>) {
    if old == new {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (old, new) {
        let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for key in keys {
            let child_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            collect_differences(&child_path, old.get(key), new.get(key), differences);
        }
        return;
    }
    differences.push(Difference { path: path.into(), old: old.cloned(), new: new.cloned() });
}
