//! Settings that bound what clients may hold of a gateway's memory and file descriptors.

use eelgrasswell_core::unit::Millis;
use eyre::{Result, ensure};
use serde::Deserialize;

/// Bounds on the clients of all listeners. No client within the limits of the configuration reaches the defaults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBounds {
    /// Maximum number of header fields of a request, in addition to the limit on their bytes.
    pub max_header_fields: usize,
    /// Maximum number of requests that are begun on a connection while it does not take earlier responses.
    pub max_pipelined: u32,
    /// Share of `max_fds` for connections of callers.
    pub callers_share: f64,
    /// Share of `max_fds` for connections to the readiness endpoint, and the same share for the metrics endpoint.
    pub readiness_share: f64,
    /// Share of `max_fds` for connections to the exchange port.
    pub exchange_share: f64,
    /// Time after which a connection is closed that sends nothing although a body is expected from it, in milliseconds.
    pub body_idle_ms: u64,
    /// Time after which a connection is closed that takes nothing of a response, in milliseconds.
    pub response_idle_ms: u64,
}

impl Default for ClientBounds {
    fn default() -> Self {
        Self {
            max_header_fields: 256,
            max_pipelined: 32,
            callers_share: 0.35,
            readiness_share: 0.04,
            exchange_share: 0.1,
            body_idle_ms: 10_000,
            response_idle_ms: 10_000,
        }
    }
}

impl ClientBounds {
    /// Checks the ranges that the types don't enforce.
    pub fn check(&self) -> Result<()> {
        let fields = self.max_header_fields;
        ensure!(
            (16..=4_096).contains(&fields),
            "could not use clients.max_header_fields {fields}: it must be 16 to 4096"
        );
        ensure!(self.max_pipelined > 0, "could not use clients.max_pipelined 0: it must be positive");
        let shares = [
            ("callers_share", self.callers_share),
            ("readiness_share", self.readiness_share),
            ("exchange_share", self.exchange_share),
        ];
        for (name, share) in shares {
            ensure!(share > 0.0 && share <= 1.0, "could not use clients.{name} {share}: it must be above 0, at most 1");
        }
        for (name, ms) in [("body_idle_ms", self.body_idle_ms), ("response_idle_ms", self.response_idle_ms)] {
            ensure!(ms >= 100, "could not use clients.{name} {ms}: it must be at least 100");
        }
        Ok(())
    }

    /// Time after which a connection is closed that sends nothing although a body is expected from it.
    pub fn body_idle(&self) -> Millis {
        Millis(self.body_idle_ms)
    }

    /// Time after which a connection is closed that takes nothing of a response.
    pub fn response_idle(&self) -> Millis {
        Millis(self.response_idle_ms)
    }
}
