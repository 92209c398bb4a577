//! Errors of the commands and their exit codes.

use std::fmt;

use eelgrasswell_manifest::check::Problem;

/// Exit code of a failure without a more specific code.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a change that conflicts with an earlier one.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code of an invalid manifest.
pub const EXIT_INVALID: u8 = 4;
/// Exit code of a change that was accepted but was not in force on all hosts before the timeout.
pub const EXIT_NOT_IN_FORCE: u8 = 5;

/// Error of a command.
#[derive(Debug)]
pub enum Error {
    /// A failure without a more specific variant.
    Failure(eyre::Report),
    /// The arguments or settings are invalid.
    Usage(String),
    /// The change was based on an outdated revision of the manifest.
    Conflict {
        /// Current revision of the manifest.
        manifest_revision: u64,
    },
    /// The manifest has problems.
    Invalid {
        /// File of the manifest, or the router that rejected it.
        origin: String,
        /// At least one problem.
        problems: Vec<Problem>,
    },
    /// The change was accepted but was not in force on all hosts before the timeout.
    NotInForce(String),
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failure(_) => EXIT_FAILURE,
            Self::Usage(_) => EXIT_USAGE,
            Self::Conflict { .. } => EXIT_CONFLICT,
            Self::Invalid { .. } => EXIT_INVALID,
            Self::NotInForce(_) => EXIT_NOT_IN_FORCE,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failure(report) => write!(f, "{report:#}"),
            Self::Usage(message) | Self::NotInForce(message) => f.write_str(message),
            Self::Conflict { manifest_revision } => {
                write!(f, "could not change the configuration: the manifest is at revision {manifest_revision} now")
            }
            Self::Invalid { origin, problems } => {
                write!(f, "could not accept manifest {origin}: problems: {}", problems.len())?;
                problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
            }
        }
    }
}

impl From<eyre::Report> for Error {
    fn from(report: eyre::Report) -> Self {
        Self::Failure(report)
    }
}
