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

use crate::clients::ClientBounds;

/// Smallest usable number of file descriptors. A gateway needs some for itself, its peers and the backend servers.
const MIN_FDS: u64 = 64;

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
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the readiness check.
    pub readiness: SocketAddr,
    /// Listen address for other gateways.
    pub exchange: SocketAddr,
    /// Port on which metrics are served.
    pub metrics_port: u16,
    /// Addresses of gateways to contact at startup.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddr>>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Number of cores of the host.
    pub cores: usize,
    /// Memory limit of the process in MB (2^20 bytes).
    pub memory_mb: u64,
    /// Maximum number of open file descriptors of the process; none for the limit that the system sets.
    #[serde(default)]
    pub max_fds: Option<u64>,
    /// Bounds on clients.
    #[serde(default)]
    pub clients: ClientBounds,
    /// Limits on the gateway's behaviour.
    pub bounds: Bounds,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
}

/// Limits on the gateway's behaviour, set by operators. Each defaults to the strictest value in use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Deadline by which a revoked key must be rejected, in milliseconds after its revocation.
    pub revoke_ms: u64,
    /// Grace period between the stop signal and the kill, in seconds.
    pub grace_s: f64,
    /// Maximum number of repeats (sends beyond the first) per request within the window.
    pub repeat_ratio: f64,
    /// Repeats allowed within the window in addition to that ratio, at any request rate.
    pub repeat_slack: f64,
    /// Window of the limit on repeats, in seconds.
    pub repeat_window_s: f64,
    /// Limit on the request rate to a cold backend server, as a multiple of the rate that it can sustain.
    pub cold_over: f64,
    /// Requests per second to a cold backend server in addition to that rate.
    pub cold_slack: f64,
    /// Session timeout in seconds. A later request with the same session id counts as the first of
    /// a new session.
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
    /// Checks the ranges that the types don't enforce.
    pub fn check(&self) -> Result<()> {
        ensure!(self.cores > 0, "could not use cores 0: at least one is needed");
        ensure!(self.memory_mb > 0, "could not use memory_mb 0: it must be positive");
        ensure!(self.max_fds.is_none_or(|fds| fds >= MIN_FDS), "could not use max_fds: it must be at least {MIN_FDS}");
        self.clients.check()?;
        let bounds = &self.bounds;
        let values = [
            ("grace_s", bounds.grace_s),
            ("repeat_ratio", bounds.repeat_ratio),
            ("repeat_slack", bounds.repeat_slack),
            ("repeat_window_s", bounds.repeat_window_s),
            ("cold_over", bounds.cold_over),
            ("cold_slack", bounds.cold_slack),
            ("session_s", bounds.session_s),
        ];
        for (name, value) in values {
            ensure!(value.is_finite() && value >= 0.0, "could not use bounds.{name} {value}: it must not be negative");
        }
        Ok(())
    }

    /// Memory limit of the process.
    pub fn memory(&self) -> Bytes {
        Bytes(self.memory_mb << 20)
    }
}

impl Bounds {
    /// Limit on repeats.
    pub fn repeat_limit(&self) -> repeat::RepeatLimit {
        repeat::RepeatLimit {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: millis_from_seconds(self.repeat_window_s),
        }
    }

    /// Grace period between the stop signal and the kill.
    pub fn grace_period(&self) -> Millis {
        millis_from_seconds(self.grace_s)
    }

    /// Time after which the next request of a session counts as the first of a new one.
    pub fn session_timeout(&self) -> Millis {
        millis_from_seconds(self.session_s)
    }

    /// Limit on the requests per second to a cold backend server that can sustain `sustained` of
    /// them; 0 if `sustained` is not positive.
    pub fn cold_limit(&self, sustained: f64) -> f64 {
        if sustained <= 0.0 { 0.0 } else { sustained * self.cold_over + self.cold_slack }
    }
}

fn millis_from_seconds(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}
