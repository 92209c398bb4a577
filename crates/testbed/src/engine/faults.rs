//! Faults that tests switch on and off.

use eelgrasswell_core::hash::stable_hash;
use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Factor on all service times.
    pub slow: f64,
    /// Whether the engine is cold: service times are multiplied by `cold_factor`.
    pub cold: bool,
    /// Factor on service times while cold.
    pub cold_factor: f64,
    /// Whether `GET /load` tells that the engine is cold.
    pub cold_announced: bool,
    /// Share of answers with useless text, in thousandths.
    pub bad_permille: u64,
    /// Share of requests answered with status 500, in thousandths.
    pub error_permille: u64,
    /// Seed of the choice of bad answers and errors.
    pub seed: u64,
    /// Version that bad answers and errors are limited to; empty for all.
    pub version: String,
    /// Whether nothing more is written to any connection but answers to `/fault`, `/load` and `/runs`.
    pub silent: bool,
    /// Whether orders with an old fence are obeyed.
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

/// Body of `POST /fault`: fields that are absent keep their value.
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
    /// Draws a new start id, as a restarted engine would.
    pub restarted: bool,
}

impl Faults {
    /// Takes over the fields that `update` names.
    pub fn merge(&mut self, update: &FaultsUpdate) {
        macro_rules! take {
            ($($field:ident)*) => {$(
                if let Some(value) = update.$field.clone() {
                    self.$field = value;
                }
            )*};
        }
        take!(slow cold cold_factor cold_announced bad_permille error_permille seed version silent ignore_fences);
    }

    /// Factor on service times.
    pub fn time_factor(&self) -> f64 {
        self.slow * if self.cold { self.cold_factor } else { 1.0 }
    }

    /// Whether the answer to this request has useless text.
    pub fn is_bad(&self, version: &str, request_id: &str) -> bool {
        self.hits("bad", self.bad_permille, version, request_id)
    }

    /// Whether this request is answered with an error.
    pub fn is_error(&self, version: &str, request_id: &str) -> bool {
        self.hits("error", self.error_permille, version, request_id)
    }

    fn hits(&self, kind: &str, permille: u64, version: &str, request_id: &str) -> bool {
        let applies = self.version.is_empty() || self.version == version;
        applies && stable_hash(&[kind, &self.seed.to_string(), request_id]) % 1000 < permille
    }
}
