//! Settings of a gateway: a router that sends requests to backend servers directly.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use eelgrasswell_core::{
    id::{DomainId, HostId},
    repeat,
    unit::{Bytes, Millis},
};
use eyre::{Result, ensure};
use serde::Deserialize;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Id of the host.
    pub id: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address of the host.
    pub address: IpAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which readiness is asked for.
    pub readiness: SocketAddr,
    /// Address for other gateways.
    pub exchange: SocketAddr,
    /// Port for metrics.
    pub metrics_port: u16,
    /// Addresses of gateways to ask at the start.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddr>>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Cores of the host.
    pub cores: usize,
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// Bounds that operators set.
    pub bounds: Bounds,
    /// `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
}

/// Bounds that operators set. A missing one takes the strictest value that is in use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time after its withdrawal at which a key must not work any more.
    pub revoke_ms: u64,
    /// Time between the signal to stop and the kill.
    pub grace_s: f64,
    /// Sends beyond the first for each request, within the window.
    pub repeat_ratio: f64,
    /// Sends beyond the first at any request rate, within the window.
    pub repeat_slack: f64,
    /// Window of the bound on repeats.
    pub repeat_window_s: f64,
    /// Requests to a cold server, relative to what it bears.
    pub cold_over: f64,
    /// Requests to a cold server beyond that, in each second.
    pub cold_slack: f64,
    /// Time after which the next request of a session counts as the first of another.
    pub session_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            grace_s: 8.0,
            repeat_ratio: 0.5,
            repeat_slack: 20.0,
            repeat_window_s: 10.0,
            cold_over: 1.0,
            cold_slack: 0.0,
            session_s: 5.0,
        }
    }
}

fn default_log_level() -> CompactString {
    "info".into()
}

impl GatewaySettings {
    /// Checks what the types leave open.
    pub fn check(&self) -> Result<()> {
        ensure!(self.cores > 0, "could not use cores 0: at least one is needed");
        ensure!(self.memory_mb > 0, "could not use memory_mb 0: it must be positive");
        let bounds = &self.bounds;
        let fractions = [
            ("grace_s", bounds.grace_s),
            ("repeat_ratio", bounds.repeat_ratio),
            ("repeat_slack", bounds.repeat_slack),
            ("repeat_window_s", bounds.repeat_window_s),
            ("cold_over", bounds.cold_over),
            ("cold_slack", bounds.cold_slack),
            ("session_s", bounds.session_s),
        ];
        for (name, value) in fractions {
            ensure!(value.is_finite() && value >= 0.0, "could not use bounds.{name} {value}: it must not be negative");
        }
        Ok(())
    }

    /// Memory that the process may use.
    pub fn memory(&self) -> Bytes {
        Bytes(self.memory_mb << 20)
    }
}

impl Bounds {
    /// Bound on repeats.
    pub fn repeat_limit(&self) -> repeat::RepeatLimit {
        repeat::RepeatLimit {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: seconds(self.repeat_window_s),
        }
    }

    /// Time between the signal to stop and the kill.
    pub fn grace_period(&self) -> Millis {
        seconds(self.grace_s)
    }

    /// Time after which the next request of a session counts as the first of another.
    pub fn session_timeout(&self) -> Millis {
        seconds(self.session_s)
    }

    /// Requests per second to a cold server, when it bears `per_second`.
    pub fn cold_limit(&self, per_second: f64) -> f64 {
        if per_second <= 0.0 { 0.0 } else { per_second * self.cold_over + self.cold_slack }
    }
}

fn seconds(value: f64) -> Millis {
    Millis((value * 1_000.0) as u64)
}
