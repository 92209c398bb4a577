//! Names of the metrics, and the recorder that renders them as Prometheus text.

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests refused, by `reason` and `outcome`.
pub const REFUSALS: &str = "eelgrasswell_refusals_total";
/// Attempts retried on another agent, by `reason`.
pub const RETRIES: &str = "eelgrasswell_retries_total";
/// Retries denied by the retry budget, by `reason`.
pub const RETRIES_DENIED: &str = "eelgrasswell_retries_denied_total";
/// Callers that stopped reading their answer, counted once per stall.
pub const STALLED_CALLERS: &str = "eelgrasswell_stalled_callers_total";
/// Broken invariants, by `promise`.
pub const BROKEN_INVARIANTS: &str = "eelgrasswell_broken_invariants_total";
/// Requests answered, by `kind`.
pub const ANSWERS: &str = "eelgrasswell_answers_total";
/// Time from the arrival of a request to the start of its answer in seconds, by `kind`.
pub const FIRST_BYTE: &str = "eelgrasswell_first_byte_seconds";
/// Requests that a gateway sent again, by `purpose`.
pub const REPEATS: &str = "eelgrasswell_repeats_total";
/// Second sends of requests whose answer was slow, by `outcome`: `sent`, then `won` or `lost`.
pub const SECOND_SENDS: &str = "eelgrasswell_second_sends_total";
/// Requests whose answer was slow and that got no second send, by `reason`.
pub const SECOND_SENDS_DENIED: &str = "eelgrasswell_second_sends_denied_total";
/// Backend servers found slow for a moment, by the `source` of the last sample: the start of an answer, or a running stream.
pub const SLOW_MOMENTS: &str = "eelgrasswell_slow_moments_total";
/// Calls to the platform, by `kind` and `result`.
pub const PLATFORM_CALLS: &str = "eelgrasswell_platform_calls_total";
/// Commits of configuration changes by this router, by `result`.
pub const COMMITS: &str = "eelgrasswell_commits_total";
/// Exchanges with other routers, by `result`.
pub const EXCHANGES: &str = "eelgrasswell_exchanges_total";
/// Watches of the store that could not be continued from the place of the copy, by `kind` of object.
pub const STORE_RESYNCS: &str = "eelgrasswell_store_resyncs_total";
/// Era of the store.
pub const STORE_ERA: &str = "eelgrasswell_store_era";
/// Times at which the store came back from an older copy.
pub const STORE_ERA_RISES: &str = "eelgrasswell_store_era_rises_total";
/// Responses of the store from before it came back, which count for nothing.
pub const STORE_LATE_RESPONSES: &str = "eelgrasswell_store_late_responses_total";
/// Objects that stayed in force although the store, back from an older copy, lacked them, by `kind`.
pub const OBJECTS_RETAINED: &str = "eelgrasswell_objects_retained_total";
/// Follow requests to other gateways, by `result`.
pub const FOLLOWS: &str = "eelgrasswell_follows_total";
/// Replies of followed gateways that left large objects to the store.
pub const COPIES_LEFT_TO_STORE: &str = "eelgrasswell_copies_left_to_store_total";
/// Objects of the store that could not be decoded, by `kind`.
pub const MALFORMED_OBJECTS: &str = "eelgrasswell_malformed_objects_total";
/// Backend servers that are shutting down, by the `source` of that knowledge: an answer of theirs, or a peer.
pub const DEPARTURES: &str = "eelgrasswell_departures_total";
/// Refusals of backend servers that asked for a pause.
pub const PAUSES: &str = "eelgrasswell_pauses_total";
/// Refusals of backend servers that may have belonged to another request.
pub const REFUSALS_DOUBTED: &str = "eelgrasswell_refusals_doubted_total";
/// Refusals of backend servers that named no request.
pub const REFUSALS_UNNAMED: &str = "eelgrasswell_refusals_unnamed_total";
/// Announcements of a shutdown or a pause in responses that may have belonged to another request.
pub const ANNOUNCEMENTS_DOUBTED: &str = "eelgrasswell_announcements_doubted_total";
/// Backend servers that were left out because another server responded at their address.
pub const BACKENDS_REPLACED: &str = "eelgrasswell_backends_replaced_total";
/// Versions that were taken out of use because they were found bad.
pub const VERSIONS_WITHDRAWN: &str = "eelgrasswell_versions_withdrawn_total";
/// Answers with a status that would have promised callers that their request was not run.
pub const PROMISES_NOT_PASSED_ON: &str = "eelgrasswell_promises_not_passed_on_total";
/// Parts of prompts that were blocked because they crash backend servers.
pub const PARTS_BLOCKED: &str = "eelgrasswell_parts_blocked_total";
/// Whether this gateway may perform the duties that one gateway performs for all: 1 or 0.
pub const DUTY_HOLDER: &str = "eelgrasswell_duty_holder";
/// Fence of this gateway's last lease on the duties.
pub const DUTY_FENCE: &str = "eelgrasswell_duty_fence";
/// Changes of the lease on the duties, by `change`.
pub const DUTY_LEASE_CHANGES: &str = "eelgrasswell_duty_lease_changes_total";
/// Reports of usage to the platform's API, by `result`.
pub const USAGE_REPORTS: &str = "eelgrasswell_usage_reports_total";
/// Last window of usage, by `stage`: settled or sent.
pub const USAGE_WINDOW: &str = "eelgrasswell_usage_window";
/// Messages with counts of requests to other gateways, by `result`.
pub const USAGE_MESSAGES: &str = "eelgrasswell_usage_messages_total";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "eelgrasswell_config_version";
/// Links that were lost because the connection broke or the agent became unresponsive.
pub const LINKS_LOST: &str = "eelgrasswell_links_lost_total";
/// Budget warnings, by `customer` and `percent` of the cap.
pub const BUDGET_WARNINGS: &str = "eelgrasswell_budget_warnings_total";

/// Waits of requests for a free slot and refusals for want of one, by `result` and `priority`.
pub const ADMISSIONS: &str = "eelgrasswell_admissions_total";
/// Time for which requests waited for a free slot in seconds, by `priority`.
pub const ADMISSION_WAIT: &str = "eelgrasswell_admission_wait_seconds";
/// Open connections of clients, by `listener`.
pub const CONNECTIONS: &str = "eelgrasswell_client_connections";
/// Connections of clients that the process closed, by `listener` and `reason`.
pub const CLIENTS_CLOSED: &str = "eelgrasswell_clients_closed_total";
/// Bytes that are held for clients, by `use`.
pub const MEMORY_HELD: &str = "eelgrasswell_memory_held_bytes";
/// Bytes for clients that were denied because the memory budget was used up, by `use`.
pub const MEMORY_DENIED: &str = "eelgrasswell_memory_denied_total";

/// Installs the metrics recorder of the process.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().wrap_err("could not install the metrics recorder")
}
