//! Metrics: names, and the recorder that renders them as Prometheus text.

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests refused, by `reason` and `outcome`.
pub const REFUSALS: &str = "eelgrasswell_refusals_total";
/// Attempts repeated at another agent, by `reason`.
pub const RETRIES: &str = "eelgrasswell_retries_total";
/// Attempts that the retry budget has denied, by `reason`.
pub const RETRIES_DENIED: &str = "eelgrasswell_retries_denied_total";
/// Callers that stopped reading, counted once for each stall.
pub const STALLED_CALLERS: &str = "eelgrasswell_stalled_callers_total";
/// Broken invariants, by `promise`.
pub const BROKEN_INVARIANTS: &str = "eelgrasswell_broken_invariants_total";
/// Requests answered, by `kind`.
pub const ANSWERS: &str = "eelgrasswell_answers_total";
/// Seconds from a request's arrival to the beginning of its answer, by `kind`.
pub const FIRST_BYTE: &str = "eelgrasswell_first_byte_seconds";
/// Requests sent once more by a gateway, by `purpose`.
pub const REPEATS: &str = "eelgrasswell_repeats_total";
/// Calls to the platform, by `kind` and `result`.
pub const PLATFORM_CALLS: &str = "eelgrasswell_platform_calls_total";
/// Changes to the configuration that this router committed, by `result`.
pub const COMMITS: &str = "eelgrasswell_commits_total";
/// Exchanges with other routers, by `result`.
pub const EXCHANGES: &str = "eelgrasswell_exchanges_total";
/// Links that broke or went silent.
pub const LINKS_LOST: &str = "eelgrasswell_links_lost_total";
/// Spend warnings given, by `customer` and `percent` of the cap.
pub const BUDGET_WARNINGS: &str = "eelgrasswell_budget_warnings_total";

/// Installs the recorder for the process.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().wrap_err("could not install the metrics recorder")
}
