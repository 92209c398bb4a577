//! Settings of routers and agents, read from a YAML file when the process starts.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use compact_str::CompactString;
use eelgrasswell_core::{
    id::{DomainId, HostId, ModelName, ServiceName, VersionName},
    unit::{Bytes, Millis},
};
use eyre::{Context, Result, eyre};
use serde::{Deserialize, de::DeserializeOwned};

use crate::tree;

/// Settings of a router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Settings that routers and agents share.
    pub host: HostSettings,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Path of the file with the operators' bearer credential.
    pub operator_credential: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the rating service, if there is one.
    #[serde(default)]
    pub ratings: Option<SocketAddr>,
    /// Inner addresses of the routers to contact at startup, before the host list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Settings that routers and agents share.
    pub host: HostSettings,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Listen address for metrics and health checks.
    pub operators: SocketAddr,
    /// Versions that the backend server has loaded when the agent starts.
    #[serde(default)]
    pub loaded: Vec<LoadedVersion>,
    /// Limits on the answers held in memory.
    #[serde(default)]
    pub answers: AnswerLimits,
}

/// Settings that routers and agents share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Id of the host.
    pub id: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Listen address for the other processes of the system.
    pub inner: SocketAddr,
    /// Path of the file with the credential that the processes of the system share.
    pub inner_credential: PathBuf,
    /// Timeout of a graceful shutdown, which waits for running requests.
    #[serde(default = "default_drain")]
    pub drain: Millis,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
    /// Whether a broken invariant ends the process. Set in tests.
    #[serde(default)]
    pub fatal_invariants: bool,
}

fn default_drain() -> Millis {
    Millis(30_000)
}

fn default_log_level() -> CompactString {
    "info".into()
}

/// A version that a backend server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// Limits on callers: sizes, connections and the default deadline of their requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Size limit of a request body.
    pub max_body: Bytes,
    /// Size limit of all headers of a request together.
    pub max_headers: Bytes,
    /// Limit on open connections.
    pub max_connections: u32,
    /// Deadline of a request that does not set one.
    pub default_deadline: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: Bytes(4 << 20),
            max_headers: Bytes(32 << 10),
            max_connections: 10_000,
            default_deadline: Millis(120_000),
        }
    }
}

/// Limits on the answers that an agent holds in memory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerLimits {
    /// Limit on the bytes held for one answer.
    pub per_answer: Bytes,
    /// Limit on the bytes held for all answers of one customer.
    pub per_customer: Bytes,
    /// Limit on the bytes held for all answers.
    pub total: Bytes,
    /// Retention time of a finished answer, during which it can be fetched again.
    pub hold: Millis,
    /// Time for which an answer may be stalled by its reader before the engine's stream is cancelled.
    pub stalled_after: Millis,
}

impl Default for AnswerLimits {
    fn default() -> Self {
        Self {
            per_answer: Bytes(256 << 10),
            per_customer: Bytes(8 << 20),
            total: Bytes(16 << 20),
            hold: Millis(60_000),
            stalled_after: Millis(30_000),
        }
    }
}

/// Reads settings from the YAML file at `path`. Errors contain the path, the key and the line.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read settings {}", path.display()))?;
    serde_saphyr::from_str(&text).map_err(|err| {
        let key = key_of_error(&text, &err).map(|key| format!("{key}: ")).unwrap_or_default();
        eyre!("could not parse settings {}: {key}{}", path.display(), err.without_snippet())
    })
}

/// Returns the key that `err` refers to, found by the error's position, or none if the text is not
/// YAML.
fn key_of_error(text: &str, err: &serde_saphyr::Error) -> Option<String> {
    let location = err.location()?;
    let root = tree::parse(text).ok()?;
    let mut key = tree::path_at(&root, location.line(), location.column())?;
    // For a missing key, the parser gives the position of a sibling key.
    if matches!(err.without_snippet(), serde_saphyr::Error::SerdeMissingField { .. }) {
        key.pop();
    }
    (!key.segments().is_empty()).then(|| key.to_string())
}

/// Reads a secret from the file at `path` and trims surrounding white space.
pub fn read_secret(path: &Path) -> Result<Secret> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read secret {}", path.display()))?;
    let text = text.trim();
    eyre::ensure!(!text.is_empty(), "could not read secret {}: the file is empty", path.display());
    Ok(Secret(text.into()))
}

/// A secret whose text does not appear in logs or debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(CompactString);

impl Secret {
    /// The secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
