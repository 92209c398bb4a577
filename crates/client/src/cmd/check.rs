//! `eelgrasswell check`

use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use eelgrasswell_manifest::{check, manifest::Manifest};
use eyre::WrapErr;
use serde_json::json;

use crate::{cmd, error::Error};

/// Check a manifest without a router and print every problem.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "check")]
pub struct CheckCmd {
    /// file with the manifest
    #[argh(positional)]
    file: PathBuf,
}

pub fn run(cmd: &CheckCmd, json: bool) -> Result<String, Error> {
    match read(&cmd.file) {
        Ok(_) if json => Ok(cmd::to_pretty_json(&json!({"problems": []}))),
        Ok((_, manifest)) => Ok(format!(
            "{}: valid, {} domains, {} services, {} models, {} classes, {} customers\n",
            cmd.file.display(),
            manifest.domains.len(),
            manifest.services.len(),
            manifest.models.len(),
            manifest.classes.len(),
            manifest.customers.len(),
        )),
        Err(Error::Invalid { problems, .. }) if json => {
            cmd::write_stdout(&cmd::to_pretty_json(&json!({"problems": problems})))?;
            Err(Error::Invalid { origin: cmd.file.display().to_string(), problems })
        }
        Err(err) => Err(err),
    }
}

/// Reads and checks the manifest at `path`. Returns its text and the parsed manifest.
pub fn read(path: &Path) -> Result<(String, Manifest), Error> {
    let origin = path.display();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("could not read manifest {origin}"))?;
    match check::parse(&text) {
        Ok(manifest) => Ok((text, manifest)),
        Err(invalid) => Err(Error::Invalid { origin: origin.to_string(), problems: invalid.problems }),
    }
}
