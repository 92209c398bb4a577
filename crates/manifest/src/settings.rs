//! Settings of a process, read once from a YAML file.

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
    /// What every process needs.
    pub host: HostSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators, metrics and health.
    pub operators: SocketAddr,
    /// File with the operators' bearer credential.
    pub operator_credential: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the rating service, if there is one.
    #[serde(default)]
    pub ratings: Option<SocketAddr>,
    /// Inner addresses of routers to ask at the start, before the host list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// What every process needs.
    pub host: HostSettings,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address for metrics and health.
    pub operators: SocketAddr,
    /// Versions that the backend server has loaded at the start.
    #[serde(default)]
    pub loaded: Vec<LoadedVersion>,
    /// Limits on answers held in memory.
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
    /// Address for other processes of the system.
    pub inner: SocketAddr,
    /// File with the credential that the processes of the system share.
    pub inner_credential: PathBuf,
    /// Longest time that a graceful shutdown waits for requests.
    #[serde(default = "default_drain")]
    pub drain: Millis,
    /// `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
    /// Whether a broken invariant ends the process; for tests.
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

/// Limits on what callers may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest request body.
    pub max_body: Bytes,
    /// Largest sum of request headers.
    pub max_headers: Bytes,
    /// Most open connections.
    pub max_connections: u32,
    /// Deadline of a request that names none.
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

/// Limits on answers that an agent holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerLimits {
    /// Most bytes held for one answer.
    pub per_answer: Bytes,
    /// Most bytes held for one customer.
    pub per_customer: Bytes,
    /// Most bytes held in all.
    pub total: Bytes,
    /// How long a finished answer is held for another fetch.
    pub hold: Millis,
    /// How long an unread answer may wait for its reader before the engine's stream is cancelled.
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

/// Reads settings from the YAML file at `path`. Errors name the file, key and line.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read settings {}", path.display()))?;
    serde_saphyr::from_str(&text).map_err(|err| {
        let key = key_of(&text, &err).map(|key| format!("{key}: ")).unwrap_or_default();
        eyre!("could not parse settings {}: {key}{}", path.display(), err.without_snippet())
    })
}

/// The key that `err` is about, from its position; none when the text is not YAML at all.
fn key_of(text: &str, err: &serde_saphyr::Error) -> Option<String> {
    let location = err.location()?;
    let root = tree::parse(text).ok()?;
    let mut key = tree::path_at(&root, location.line(), location.column())?;
    // The position of a missing key is that of another one beside it.
    if matches!(err.without_snippet(), serde_saphyr::Error::SerdeMissingField { .. }) {
        key.pop();
    }
    (!key.segments().is_empty()).then(|| key.to_string())
}

/// Reads a secret from the file at `path`, without white space around it.
pub fn read_secret(path: &Path) -> Result<Secret> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("could not read secret {}", path.display()))?;
    let text = text.trim();
    eyre::ensure!(!text.is_empty(), "could not read secret {}: the file is empty", path.display());
    Ok(Secret(text.into()))
}

/// A secret; its text never appears in logs or debug output.
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
