//! `eelgrasswell completions`

use std::str::FromStr;

use argh::{ArgsInfo, FromArgs};
use argh_complete::{Generator, bash::Bash, fish::Fish, zsh::Zsh};

use super::{Cmd, NAME};

/// Print completions for a shell.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "completions")]
pub struct CompletionsCmd {
    /// bash, zsh or fish
    #[argh(positional)]
    shell: Shell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shell {
    Bash,
    Zsh,
    Fish,
}

impl FromStr for Shell {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            _ => Err(format!("expected bash, zsh or fish, not {s:?}")),
        }
    }
}

pub fn run(cmd: &CompletionsCmd) -> String {
    let info = Cmd::get_args_info();
    match cmd.shell {
        Shell::Bash => Bash::generate(NAME, &info),
        Shell::Zsh => Zsh::generate(NAME, &info),
        Shell::Fish => Fish::generate(NAME, &info),
    }
}
