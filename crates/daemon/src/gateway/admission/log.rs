//! Log lines and metrics of admission.

use eelgrasswell_core::{
    unit::Millis,
    waiting::{Inputs, Why},
};

use super::super::request::Call;
use crate::{event, telemetry};

/// Text of the cause of a refusal on arrival.
pub fn cause(why: Why) -> &'static str {
    match why {
        Why::Late => "late",
        Why::QueueFull => "queue_full",
    }
}

/// Logs that a request waits for at most `longest`.
pub fn waits(call: &Call, inputs: &Inputs, longest: Millis) {
    count(call, "waits");
    event!(
        Info,
        "request_waits",
        request = call.id,
        service = call.service,
        urgency = call.urgency(),
        longest = longest,
        allowed = inputs.room.allowed,
        own = inputs.own,
        limit = inputs.room.limit,
        peers = inputs.room.peers,
        waiting = inputs.waiting,
        rate = rate(inputs),
        report_age = report_age(inputs)
    );
}

/// Logs that a request was admitted after a wait.
pub fn admitted(call: &Call, inputs: &Inputs, waited: Millis) {
    count(call, "admitted");
    record_wait(call, waited);
    event!(
        Info,
        "request_admitted",
        request = call.id,
        service = call.service,
        urgency = call.urgency(),
        waited = waited,
        allowed = inputs.room.allowed,
        own = inputs.own,
        limit = inputs.room.limit,
        peers = inputs.room.peers,
        waiting = inputs.waiting,
        rate = rate(inputs),
        report_age = report_age(inputs)
    );
}

/// Logs that a request was refused after a wait, which is zero for a refusal on arrival.
pub fn refused(call: &Call, inputs: &Inputs, cause: &'static str, waited: Millis, retry_after: Option<Millis>) {
    count(call, cause);
    if waited > Millis::ZERO {
        record_wait(call, waited);
    }
    event!(
        Info,
        "admission_refused",
        request = call.id,
        service = call.service,
        cause = cause,
        urgency = call.urgency(),
        waited = waited,
        time_left = Millis::from(call.remaining()),
        retry_after = retry_after.map_or_else(|| "none".into(), |wait| wait.to_string()),
        allowed = inputs.room.allowed,
        own = inputs.own,
        limit = inputs.room.limit,
        peers = inputs.room.peers,
        waiting = inputs.waiting,
        rate = rate(inputs),
        report_age = report_age(inputs)
    );
}

fn count(call: &Call, result: &'static str) {
    let priority = call.urgency().to_string();
    metrics::counter!(telemetry::ADMISSIONS, "result" => result, "priority" => priority).increment(1);
}

fn record_wait(call: &Call, waited: Millis) {
    let priority = call.urgency().to_string();
    metrics::histogram!(telemetry::ADMISSION_WAIT, "priority" => priority).record(waited.0 as f64 / 1_000.0);
}

fn rate(inputs: &Inputs) -> String {
    inputs.rate.map_or_else(|| "unknown".into(), |rate| format!("{rate:.1}"))
}

fn report_age(inputs: &Inputs) -> String {
    inputs.room.report_age.map_or_else(|| "none".into(), |age| age.to_string())
}
