//! The subcommands, each in its own module.

mod bill;
mod check;
mod completions;
mod diff;
mod domain;
mod drain;
mod explain;
mod rollout;
mod show;
mod status;
mod submit;

use std::{
    env,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
};

use argh::{ArgsInfo, FromArgs};
use eelgrasswell_manifest::check as check_manifest;
use serde_json::Value;

use crate::{
    api::Api,
    error::{EXIT_USAGE, Error},
};

/// Name of the program.
const NAME: &str = "eelgrasswell";

/// Operate an eelgrasswell deployment through one of its routers.
///
/// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another change, 4 invalid
/// manifest, 5 accepted but not in force on all hosts in time.
#[derive(FromArgs, ArgsInfo)]
struct Cmd {
    /// operators' address of a router, ip:port (environment: EELGRASSWELL_ROUTER)
    #[argh(option)]
    router: Option<SocketAddr>,

    /// file with the operators' credential (environment: EELGRASSWELL_CREDENTIAL)
    #[argh(option)]
    credential: Option<PathBuf>,

    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,

    #[argh(subcommand)]
    sub: Sub,
}

#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand)]
enum Sub {
    Check(check::CheckCmd),
    Diff(diff::DiffCmd),
    Submit(submit::SubmitCmd),
    Show(show::ShowCmd),
    Status(status::StatusCmd),
    Rollout(rollout::RolloutCmd),
    Domain(domain::DomainCmd),
    Drain(drain::DrainCmd),
    Bill(bill::BillCmd),
    Explain(explain::ExplainCmd),
    Completions(completions::CompletionsCmd),
}

/// Parses the arguments and runs the selected subcommand.
pub fn run() -> ExitCode {
    let args: Result<Vec<_>, _> = env::args_os().skip(1).map(std::ffi::OsString::into_string).collect();
    let args = match args {
        Ok(args) => args,
        Err(arg) => return print_error(EXIT_USAGE, &format!("could not read argument {arg:?}: it is not UTF-8")),
    };
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let cmd = match Cmd::from_args(&[NAME], &args) {
        Ok(cmd) => cmd,
        Err(exit) if exit.status.is_ok() => return print(&exit.output),
        Err(exit) => return print_error(EXIT_USAGE, exit.output.trim_end()),
    };
    match execute(cmd) {
        Ok(text) => print(&text),
        Err(err) => print_error(err.exit_code(), &err.to_string()),
    }
}

/// Runs the subcommand and returns the text for standard output.
fn execute(cmd: Cmd) -> Result<String, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|err| eyre::eyre!("could not start the runtime: {err}"))?;
    runtime.block_on(async {
        let api = || Api::from_args(cmd.router, cmd.credential.clone());
        match &cmd.sub {
            Sub::Check(sub) => check::run(sub, cmd.json),
            Sub::Diff(sub) => diff::run(sub, api, cmd.json).await,
            Sub::Submit(sub) => submit::run(sub, api, cmd.json).await,
            Sub::Show(sub) => show::run(sub, &api()?, cmd.json).await,
            Sub::Status(sub) => status::run(sub, &api()?, cmd.json).await,
            Sub::Rollout(sub) => rollout::run(sub, &api()?, cmd.json).await,
            Sub::Domain(sub) => domain::run(sub, &api()?, cmd.json).await,
            Sub::Drain(sub) => drain::run(sub, &api()?, cmd.json).await,
            Sub::Bill(sub) => bill::run(sub, &api()?, cmd.json).await,
            Sub::Explain(sub) => explain::run(sub, cmd.json),
            Sub::Completions(sub) => Ok(completions::run(sub)),
        }
    })
}

/// Rejects text that is not a valid id before it becomes part of a URL.
fn require_id(what: &str, text: &str) -> Result<(), Error> {
    if check_manifest::is_id(text) {
        return Ok(());
    }
    Err(Error::Usage(format!("could not use {what} {text:?}: expected letters, digits or any of -._~+:@")))
}

/// Formats JSON with indentation and a final newline.
pub fn to_pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

fn print(text: &str) -> ExitCode {
    match write_stdout(text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => print_error(err.exit_code(), &err.to_string()),
    }
}

/// Writes to standard output. A broken pipe is ignored, since a reader like `head` may stop early.
pub fn write_stdout(text: &str) -> Result<(), Error> {
    let mut stdout = io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        Err(err) if err.kind() != io::ErrorKind::BrokenPipe => {
            Err(eyre::eyre!("could not write to standard output: {err}").into())
        }
        _ => Ok(()),
    }
}

fn print_error(code: u8, message: &str) -> ExitCode {
    eprintln!("{NAME}: {message}");
    ExitCode::from(code)
}
