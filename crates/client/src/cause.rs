//! What became of a request, and why, by the lines that gateways wrote on it.

use crate::log::Line;

/// Events that tell what a process believed or how it fared, whatever the request.
const STATE_EVENTS: [&str; 9] = [
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
/// Events on one backend server.
const BACKEND_EVENTS: [&str; 3] = ["backend_added", "backend_draining", "backend_gone"];

/// The end of the request in one sentence. `lines` are its own, in order of time; `all` are those of all processes.
pub fn of(lines: &[Line], all: &[Line]) -> String {
    let is_end = |line: &&Line| matches!(line.event(), "refused" | "stream_cut" | "answered");
    let Some(end) = lines.iter().rev().find(is_end) else { return without_end(lines, all) };
    let field = |key| end.get(key).unwrap_or("unknown");
    let source = &end.source;
    match end.event() {
        "refused" => {
            let sent = lines.iter().rev().find(|line| line.event() == "send_ended").and_then(|line| line.get("error"));
            let sent = sent.map_or_else(String::new, |error| format!("; its last send: {error}"));
            let (status, reason, detail) = (field("status"), field("reason"), field("detail"));
            format!("{source} refused it with {status} ({reason}): {detail}{sent}")
        }
        "stream_cut" => format!("{source} cut its stream: {}{}", field("error"), resumes(lines)),
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

/// Lines that tell what was known when the request ended: of each process that had it, the newest of each event, and
/// those of the backend servers that it was sent to.
pub fn context<'a>(lines: &[Line], all: &'a [Line]) -> Vec<&'a Line> {
    let Some(end) = lines.last() else { return Vec::new() };
    let mut found: Vec<&Line> = Vec::new();
    let before = || all.iter().filter(|line| line.time <= end.time);
    for event in STATE_EVENTS {
        let is_told_by_own = |line: &&Line| line.event() == event && lines.iter().any(|own| own.source == line.source);
        found.extend(before().rfind(is_told_by_own));
    }
    for event in BACKEND_EVENTS {
        let names_backend = |line: &&Line| {
            let backend = line.get("backend").filter(|backend| !backend.is_empty());
            line.event() == event && backend.is_some_and(|backend| lines.iter().any(|own| own.text.contains(backend)))
        };
        found.extend(before().rfind(names_backend));
    }
    found.sort_by(|a, b| a.time.cmp(&b.time));
    found
}

fn without_end(lines: &[Line], all: &[Line]) -> String {
    let Some(last) = lines.last() else { return "no line names it".into() };
    match restart_after(last, all) {
        Some(restart) => {
            format!("{} was working on it and was started again at {}", last.source, restart.time)
        }
        None => format!("{} logged no end of it: the caller left, or the log ends here", last.source),
    }
}

/// The next start of the process that wrote `line`.
fn restart_after<'a>(line: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let is_restart =
        |other: &&Line| other.event() == "gateway_started" && other.source == line.source && other.time > line.time;
    all.iter().find(is_restart)
}

fn resumes(lines: &[Line]) -> String {
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
