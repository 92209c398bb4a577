//! `eelgrasswell explain`

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::eyre;
use serde_json::json;

use crate::{
    cause, cmd,
    error::Error,
    log::{self, Line},
};

/// Explain the outcome of a request from the logs of gateways.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCmd {
    /// id of the request
    #[argh(positional)]
    id: String,

    /// log files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

pub fn run(cmd: &ExplainCmd, json: bool) -> Result<String, Error> {
    if cmd.files.is_empty() {
        return Err(Error::Usage("could not explain a request without logs: name at least one file".into()));
    }
    let mut all: Vec<Line> = Vec::new();
    for file in &cmd.files {
        all.extend(log::read_events(file)?);
    }
    all.sort_by(|a, b| a.time.cmp(&b.time));
    let request_lines: Vec<Line> = all.iter().filter(|line| line.get("request") == Some(&cmd.id)).cloned().collect();
    if request_lines.is_empty() {
        return Err(eyre!("could not find request {} in the logs", cmd.id).into());
    }
    let cause = cause::summarize(&request_lines, &all);
    let context = cause::context_lines(&request_lines, &all);
    if json {
        let lines = |lines: &mut dyn Iterator<Item = &Line>| {
            lines.map(|line| json!({"time": line.time, "source": line.source, "line": line.text})).collect::<Vec<_>>()
        };
        let value = json!({
            "cause": cause,
            "lines": lines(&mut request_lines.iter()),
            "context": lines(&mut context.iter().copied()),
        });
        return Ok(cmd::to_pretty_json(&value));
    }
    let format_line = |line: &Line| format!("  {} {} {}\n", line.time, line.source, line.text);
    let mut text = format!("{cause}\n\nits lines:\n");
    text.extend(request_lines.iter().map(format_line));
    if !context.is_empty() {
        text.push_str("\nknown by then:\n");
        text.extend(context.into_iter().map(format_line));
    }
    Ok(text)
}
