//! Checks of the second review. `probes CASE FOLDER` plays one case, writes `record.txt` into FOLDER, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod crowd;
mod gateway;
mod http;
mod leaving;
mod record;
mod revoked_key;
mod silence;
mod store;
mod withdrawn;
mod wrong_model;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), PathBuf::from(args.next().unwrap_or_default()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = std::env::temp_dir().join(format!("probes-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    let mut record = Record::new();
    let verdict = match case.as_str() {
        "leaving" => leaving::play(trouble, &work, &mut record),
        "withdrawn" => withdrawn::play(trouble, &work, &mut record),
        "wrong-model" => wrong_model::play(trouble, &work, &mut record),
        "crowd" => crowd::play(trouble, &work, &mut record),
        "silence" => silence::play(trouble, &work, &mut record),
        "revoked-key" => revoked_key::play(trouble, &work, &mut record),
        _ => {
            eprintln!("unknown case {case:?}");
            Verdict::CouldNotRun
        }
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case couldn't run", 2),
    };
    record.say(text);
    println!("{text}");
    let _ = std::fs::remove_dir_all(&work);
    if record.write(&folder.join("record.txt")).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
