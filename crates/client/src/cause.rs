//! Determines the outcome of a request and its cause from the gateways' log lines.

use crate::log::Line;

/// Events on the state of a process, which don't refer to a request.
const PROCESS_EVENTS: [&str; 9] = [
    "gateway_started",
    "shutdown_requested",
    "store_lost",
    "store_regained",
    "config_adopted",
    "evacuations_changed",
    "version_bad",
    "settings_reloaded",
    "connections_cut",
];
/// Events on the state of a backend server.
const BACKEND_EVENTS: [&str; 3] = ["backend_added", "backend_draining", "backend_gone"];

/// Describes the outcome of a request in one sentence. `lines` are the lines of the request in
/// chronological order; `all` are the lines of all processes.
pub fn summarize(lines: &[Line], all: &[Line]) -> String {
    let is_end = |line: &&Line| matches!(line.event(), "refused" | "stream_cut" | "answered");
    let Some(end) = lines.iter().rev().find(is_end) else { return summarize_unfinished(lines, all) };
    let field = |key| end.get(key).unwrap_or("unknown");
    let source = &end.source;
    match end.event() {
        "refused" => {
            let last_send = lines.iter().rev().find(|line| line.event() == "send_ended");
            let send_error = last_send.and_then(|line| line.get("error"));
            let send_error = send_error.map_or_else(String::new, |error| format!("; its last send: {error}"));
            let (status, reason, detail) = (field("status"), field("reason"), field("detail"));
            format!("{source} refused it with {status} ({reason}): {detail}{send_error}")
        }
        "stream_cut" => format!("{source} cut its stream: {}{}", field("error"), describe_failed_resumes(lines)),
        _ if field("status").starts_with('5') => {
            let (status, backend, sends) = (field("status"), field("backend"), field("sends"));
            format!("backend server {backend} answered with {status}, after {sends} sends by {source}")
        }
        _ => match restart_after(end, all) {
            Some(restart) => format!(
                "{source} began its answer and was started again at {}; what was not delivered by then was lost",
                restart.time
            ),
            None => format!(
                "{source} answered with {} from backend server {} after {}; no failure is logged",
                field("status"),
                field("backend"),
                field("after")
            ),
        },
    }
}

/// Returns lines on the state of the system when the request ended: for each event on the state of a
/// process, the latest line of a process that logged the request; for each event on the state of a
/// backend server, the latest line that names a backend server of the request.
pub fn context_lines<'a>(lines: &[Line], all: &'a [Line]) -> Vec<&'a Line> {
    let Some(end) = lines.last() else { return Vec::new() };
    let mut context: Vec<&Line> = Vec::new();
    let before = || all.iter().filter(|line| line.time <= end.time);
    for event in PROCESS_EVENTS {
        let is_of_process = |line: &&Line| line.event() == event && lines.iter().any(|own| own.source == line.source);
        context.extend(before().rfind(is_of_process));
    }
    for event in BACKEND_EVENTS {
        let names_backend = |line: &&Line| {
            let backend = line.get("backend").filter(|backend| !backend.is_empty());
            line.event() == event && backend.is_some_and(|backend| lines.iter().any(|own| own.text.contains(backend)))
        };
        context.extend(before().rfind(names_backend));
    }
    context.sort_by(|a, b| a.time.cmp(&b.time));
    context
}

/// Describes a request without a line on its end.
fn summarize_unfinished(lines: &[Line], all: &[Line]) -> String {
    let Some(last) = lines.last() else { return "no line names it".into() };
    match restart_after(last, all) {
        Some(restart) => {
            format!("{} was working on it and was started again at {}", last.source, restart.time)
        }
        None => format!("{} logged no end of it: the caller left, or the log ends here", last.source),
    }
}

/// Returns the next start of the process that wrote `line`, if it was restarted.
fn restart_after<'a>(line: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let is_restart =
        |other: &&Line| other.event() == "gateway_started" && other.source == line.source && other.time > line.time;
    all.iter().find(is_restart)
}

/// Describes the attempts to resume a stream elsewhere, as the end of a sentence.
fn describe_failed_resumes(lines: &[Line]) -> String {
    let errors: Vec<&str> = lines
        .iter()
        .filter(|line| line.event() == "resume_failed")
        .filter_map(|line| line.get("error").or_else(|| line.get("status")))
        .collect();
    if errors.is_empty() {
        return "; it was not resumed elsewhere, since its tries or the budget of repeats were used up".into();
    }
    format!("; resuming it elsewhere failed: {}", errors.join(", "))
}
