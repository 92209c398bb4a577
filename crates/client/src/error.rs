//! Errors with their exit codes.

use std::fmt;

use eelgrasswell_manifest::check::Problem;

/// Exit code of a failure of any other kind.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a lost race.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code of an invalid manifest.
pub const EXIT_INVALID: u8 = 4;
/// Exit code of a change that was accepted but is not in force on all hosts in time.
pub const EXIT_LATE: u8 = 5;

/// Why a command did not succeed.
#[derive(Debug)]
pub enum Error {
    /// Any other failure.
    Failure(eyre::Report),
    /// Arguments or settings are wrong.
    Usage(String),
    /// Another change came first.
    Conflict {
        /// Revision of the manifest now.
        manifest_revision: u64,
    },
    /// The manifest has problems.
    Invalid {
        /// File or other origin of the manifest.
        origin: String,
        /// At least one problem.
        problems: Vec<Problem>,
    },
    /// The change was accepted but is not in force on all hosts in time.
    Late(String),
}

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failure(_) => EXIT_FAILURE,
            Self::Usage(_) => EXIT_USAGE,
            Self::Conflict { .. } => EXIT_CONFLICT,
            Self::Invalid { .. } => EXIT_INVALID,
            Self::Late(_) => EXIT_LATE,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failure(report) => write!(f, "{report:#}"),
            Self::Usage(message) | Self::Late(message) => f.write_str(message),
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
