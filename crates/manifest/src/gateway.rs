//! Settings of a gateway: a router that sends requests to backend servers directly.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
};

use compact_str::CompactString;
use eelgrasswell_core::{
    id::{DomainId, HostId},
    repeat, second_send,
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
    /// Second sends of requests whose answer is slow; off if absent.
    #[serde(default)]
    pub second_send: Option<SecondSend>,
    /// Duties that one gateway performs for all; none on most deployments.
    #[serde(default)]
    pub duties: Option<Duties>,
    /// Whether servers that are slow at the moment get fewer new requests.
    #[serde(default)]
    pub server_pace: bool,
    /// Admission while capacity is scarce; off if left out.
    #[serde(default)]
    pub admission: Option<AdmissionSettings>,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
}

/// Calls to an API of the platform that only one gateway makes at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Address of the API; none if there are no duties.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Names of the duties. Unknown ones are ignored.
    #[serde(default)]
    pub names: Vec<CompactString>,
    /// Limit on the calls per second of all gateways together; 0 if there are no duties.
    #[serde(default)]
    pub calls_per_s: f64,
    /// Time in milliseconds without a renewal after which another gateway takes over.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Length of a window of usage in seconds.
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// Time in seconds after the end of a window by which its report is due.
    #[serde(default = "default_due_s")]
    pub due_s: f64,
    /// Share by which the reported counts may differ from the true ones.
    #[serde(default = "default_tolerance")]
    pub tolerance: f64,
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_window_s() -> f64 {
    5.0
}

fn default_due_s() -> f64 {
    10.0
}

fn default_tolerance() -> f64 {
    0.05
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

/// Second sends of requests whose answer is slow.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecondSend {
    /// Share of the requests that may get a second send, from 0 to `MAX_SECOND_SEND_SHARE`; 0 turns them off.
    pub max_share: f64,
    /// Quantile of the time to the start of an answer after which an answer counts as slow.
    #[serde(default = "default_quantile")]
    pub quantile: f64,
}

/// Largest share of requests that may get a second send.
const MAX_SECOND_SEND_SHARE: f64 = 0.2;
/// Range of the quantile. Below the median, more than half of the answers would count as slow; the estimate knows too few
/// answers for the highest quantiles.
const SECOND_SEND_QUANTILES: RangeInclusive<f64> = 0.5..=0.999;

fn default_quantile() -> f64 {
    0.95
}

impl SecondSend {
    fn check(&self) -> Result<()> {
        let Self { max_share, quantile } = self;
        ensure!(
            (0.0..=MAX_SECOND_SEND_SHARE).contains(max_share),
            "could not use second_send.max_share {max_share}: it must be from 0 to {MAX_SECOND_SEND_SHARE}"
        );
        ensure!(
            SECOND_SEND_QUANTILES.contains(quantile),
            "could not use second_send.quantile {quantile}: it must be from {} to {}",
            SECOND_SEND_QUANTILES.start(),
            SECOND_SEND_QUANTILES.end()
        );
        Ok(())
    }

    /// Limits on second sends; none if they are turned off.
    pub fn limits(&self) -> Option<second_send::Limits> {
        let limits = second_send::Limits { max_share: self.max_share, quantile: self.quantile };
        Some(limits).filter(|limits| limits.max_share > 0.0)
    }
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

/// Limits on requests for which no backend server has a free slot.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Longest time for which a request waits, in milliseconds.
    pub max_wait_ms: u64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Share of the slots of the servers at which a service counts as full.
    pub full_share: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_wait_ms: 1_000, max_waiting: 256, full_share: 1.0 }
    }
}

impl AdmissionSettings {
    fn check(&self) -> Result<()> {
        let Self { max_wait_ms, max_waiting, full_share } = self;
        ensure!(*max_wait_ms <= 60_000, "could not use admission.max_wait_ms {max_wait_ms}: at most 60000 is allowed");
        ensure!(
            (1..=65_536).contains(max_waiting),
            "could not use admission.max_waiting {max_waiting}: it must be from 1 to 65536"
        );
        ensure!(
            *full_share > 0.0 && *full_share <= 4.0,
            "could not use admission.full_share {full_share}: it must be above 0 and at most 4"
        );
        Ok(())
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
        self.second_send.map_or(Ok(()), |second_send| second_send.check())?;
        self.duties.as_ref().map_or(Ok(()), Duties::check)?;
        self.admission.as_ref().map_or(Ok(()), AdmissionSettings::check)
    }

    /// Memory limit of the process.
    pub fn memory(&self) -> Bytes {
        Bytes(self.memory_mb << 20)
    }
}

impl Duties {
    fn check(&self) -> Result<()> {
        let ranges = [
            ("calls_per_s", self.calls_per_s, 0.0, 1_000.0),
            ("lease_ms", self.lease_ms as f64, 500.0, 60_000.0),
            ("window_s", self.window_s, 1.0, 3_600.0),
            ("due_s", self.due_s, 1.0, 3_600.0),
            ("tolerance", self.tolerance, 0.0, 1.0),
        ];
        for (name, value, min, max) in ranges {
            ensure!(
                (min..=max).contains(&value),
                "could not use duties.{name} {value}: it must be between {min} and {max}"
            );
        }
        Ok(())
    }

    /// Time without a renewal after which another gateway takes over.
    pub fn lease(&self) -> Millis {
        Millis(self.lease_ms)
    }

    /// Length of a window of usage.
    pub fn window(&self) -> Millis {
        millis_from_seconds(self.window_s)
    }

    /// Time after the end of a window by which its report is due.
    pub fn due(&self) -> Millis {
        millis_from_seconds(self.due_s)
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
