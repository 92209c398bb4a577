//! Faults of the engine stand-in, which tests switch on and off.

use eelgrasswell_core::hash::stable_hash;
use serde::{Deserialize, Serialize};

/// Faults that are switched on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Factor by which all service times are multiplied.
    pub slow: f64,
    /// Whether the engine is cold, so that service times are multiplied by `cold_factor`.
    pub cold: bool,
    /// Factor by which service times are multiplied while the engine is cold.
    pub cold_factor: f64,
    /// Whether `GET /load` reports that the engine is cold.
    pub cold_announced: bool,
    /// Share of answers with bad text, in thousandths.
    pub bad_permille: u64,
    /// Share of requests answered with status 500, in thousandths.
    pub error_permille: u64,
    /// Seed for the choice of bad answers and errors.
    pub seed: u64,
    /// Version to which bad answers and errors are limited; empty for all versions.
    pub version: String,
    /// Whether the stand-in stops writing answers, except those to `/load`, `/runs`, `/fault`, `/orders` and `/cancel/`.
    pub silent: bool,
    /// Whether orders with an outdated fence are executed.
    pub ignore_fences: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            cold: false,
            cold_factor: 8.0,
            cold_announced: false,
            bad_permille: 0,
            error_permille: 0,
            seed: 0,
            version: String::new(),
            silent: false,
            ignore_fences: false,
        }
    }
}

/// Body of `POST /fault`. Absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultsUpdate {
    /// See [`Faults::slow`].
    pub slow: Option<f64>,
    /// See [`Faults::cold`].
    pub cold: Option<bool>,
    /// See [`Faults::cold_factor`].
    pub cold_factor: Option<f64>,
    /// See [`Faults::cold_announced`].
    pub cold_announced: Option<bool>,
    /// See [`Faults::bad_permille`].
    pub bad_permille: Option<u64>,
    /// See [`Faults::error_permille`].
    pub error_permille: Option<u64>,
    /// See [`Faults::seed`].
    pub seed: Option<u64>,
    /// See [`Faults::version`].
    pub version: Option<String>,
    /// See [`Faults::silent`].
    pub silent: Option<bool>,
    /// See [`Faults::ignore_fences`].
    pub ignore_fences: Option<bool>,
    /// Closes the listener and all connections for this many milliseconds.
    pub down_ms: Option<u64>,
    /// Increments the start id, as if the engine had restarted.
    pub restarted: bool,
}

impl Faults {
    /// Sets the fields that are present in `update`.
    pub fn apply(&mut self, update: &FaultsUpdate) {
        macro_rules! apply_fields {
            ($($field:ident)*) => {$(
                if let Some(value) = update.$field.clone() {
                    self.$field = value;
                }
            )*};
        }
        apply_fields!(slow cold cold_factor cold_announced bad_permille error_permille seed version silent ignore_fences);
    }

    /// Factor by which service times are multiplied.
    pub fn time_factor(&self) -> f64 {
        self.slow * if self.cold { self.cold_factor } else { 1.0 }
    }

    /// Whether the answer to this request has bad text.
    pub fn is_bad(&self, version: &str, request_id: &str) -> bool {
        self.affects("bad", self.bad_permille, version, request_id)
    }

    /// Whether this request gets status 500.
    pub fn is_error(&self, version: &str, request_id: &str) -> bool {
        self.affects("error", self.error_permille, version, request_id)
    }

    /// Whether a fault of share `permille` affects this request. The same seed always affects the same requests.
    fn affects(&self, kind: &str, permille: u64, version: &str, request_id: &str) -> bool {
        let matches = self.version.is_empty() || self.version == version;
        matches && stable_hash(&[kind, &self.seed.to_string(), request_id]) % 1000 < permille
    }
}
