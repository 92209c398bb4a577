//! Runs one case: `review-rig-3 CASE FOLDER`, in the repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod bookings;
mod cold;
mod crowd;
mod drill;
mod early;
mod gateway;
mod http;
mod names;
mod parts;
mod platform;
mod record;
mod store;
mod worker;
mod world;

use std::{env, fs, path::PathBuf, process::ExitCode, thread, time::Duration};

use record::Record;
use world::{Case, Setup};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run: it took too long");
        gateway::kill_all();
        std::process::exit(2);
    });
    match run() {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(why) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Setup<bool> {
    let mut arguments = env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        return Err("usage: review-rig-3 CASE FOLDER".into());
    };
    let dir = env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
    let case = Case {
        root: env::current_dir().map_err(|err| err.to_string())?,
        dir,
        record: Record::create(&PathBuf::from(folder)).map_err(|err| err.to_string())?,
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    case.record
        .line(format!("case {name}, the disruption {}", if case.trouble { "takes place" } else { "is left out" }));
    let broken = match name.as_str() {
        "names" => names::run(&case),
        "drill" => drill::run(&case),
        "cold" => cold::run(&case),
        "early" => early::run(&case),
        "crowd" => crowd::run(&case),
        "parts" => parts::run(&case),
        _ => Err(format!("there is no case {name}")),
    };
    let _ = fs::remove_dir_all(&case.dir);
    let broken = broken?;
    case.record.line(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}
