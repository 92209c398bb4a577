//! Performs the duty to report usage while this gateway holds the lease: settles the reports of windows, and sends settled
//! ones to the platform's API.

use std::time::Duration;

use eelgrasswell_core::{
    id::Fence,
    unit::Millis,
    usage::{Report, WindowId},
};
use eelgrasswell_platform::duties::{self, CallOutcome};
use tokio::time::{sleep, timeout};

use super::{Active, MAX_LATENESS, wall_now};
use crate::{
    event,
    gateway::{Gateway, State, net::Conn},
    sync::lock,
    telemetry,
};

/// Interval at which windows and reports are checked.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time after the end of a window at which its report is settled without the gateways that have not reported.
const MAX_SETTLE_WAIT: Millis = Millis(6_000);
/// The same, as a share of the time until the report is due.
const MAX_SETTLE_SHARE: f64 = 0.6;
/// Timeout for connecting to the API.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which the API must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a call that waits for its answer checks that the lease still holds.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the API's rate limit that is used. The API may count a call when it arrives.
const RATE_SHARE: f64 = 0.9;
/// Pause after a failed call; doubles with each further one.
const BACKOFF_BASE: Millis = Millis(250);
/// Longest pause after a failed call.
const BACKOFF_MAX: Millis = Millis(4_000);

/// Calls to the API: when the next one may be made.
#[derive(Default)]
struct Pace {
    fence: Option<Fence>,
    next_call: Millis,
    failures: u32,
}

/// Performs duties until the process ends, whenever this gateway holds the lease.
pub async fn run(gateway: Gateway) {
    let Some(active) = &gateway.duties.0 else { return };
    let mut pace = Pace::default();
    loop {
        sleep(INTERVAL).await;
        gateway.settle_windows(active);
        active.abandon_late_report();
        if let Some(report) = active.due_report(&mut pace) {
            active.send_report(&report, &mut pace).await;
        }
    }
}

impl State {
    /// Settles the windows that have ended and that every live gateway has reported, and those that have waited for the
    /// longest time.
    fn settle_windows(&self, active: &Active) {
        let (wall, length) = (wall_now(), active.settings.window());
        let mut lease = lock(&active.lease);
        let Some(mut settled) = lease.settled_through() else { return };
        let oldest = active.oldest_window();
        if settled.next() < oldest {
            event!(
                Warn,
                "usage_abandoned",
                from = settled.next(),
                to = oldest.previous(),
                reason = "not settled in time"
            );
            metrics::counter!(telemetry::USAGE_REPORTS, "result" => "abandoned").increment(1);
            settled = oldest.previous();
            lease.skip_through(settled);
        }
        let max_wait = MAX_SETTLE_WAIT.min(Millis((active.settings.due().0 as f64 * MAX_SETTLE_SHARE) as u64));
        loop {
            let window = settled.next();
            let end = window.end(length);
            if wall < end {
                return;
            }
            let is_last_call = wall >= end + max_wait;
            let (missing, gateways) = self.missing_reporters(active, window);
            // A gateway that knows no others may have lost its connection to them.
            if !is_last_call && (!missing.is_empty() || gateways == 1) {
                return;
            }
            let counts = lock(&active.usage).total(window);
            event!(
                Info,
                "usage_settled",
                window = window,
                after = wall.saturating_sub(end),
                gateways = gateways,
                missing = missing.join(","),
                customers = counts.len(),
                requests = counts.values().sum::<u64>()
            );
            metrics::gauge!(telemetry::USAGE_WINDOW, "stage" => "settled").set(window.0 as f64);
            lease.settle(Report { window, counts, done: false });
            settled = window;
        }
    }

    /// Live gateways that have not reported after the end of `window`, and the number of all live gateways.
    fn missing_reporters(&self, active: &Active, window: WindowId) -> (Vec<String>, usize) {
        let fleet = lock(&self.fleet);
        let alive = fleet.alive(self.clock.now());
        let live = alive.iter().map(|member| (&member.id, member.incarnation));
        let live = live.chain([(&active.own.id, active.own.incarnation)]);
        let usage = lock(&active.usage);
        let missing = live.filter(|(_, incarnation)| !usage.is_complete(*incarnation, window));
        (missing.map(|(id, _)| id.to_string()).collect(), alive.len() + 1)
    }
}

impl Active {
    /// Abandons the oldest unsent report if it is too late.
    fn abandon_late_report(&self) {
        let mut lease = lock(&self.lease);
        let Some(window) = lease.unsent_report().map(|report| report.window) else { return };
        let late = wall_now().saturating_sub(window.end(self.settings.window()) + self.settings.due());
        if late > MAX_LATENESS {
            event!(Warn, "usage_abandoned", from = window, to = window, reason = "not accepted in time");
            metrics::counter!(telemetry::USAGE_REPORTS, "result" => "abandoned").increment(1);
            lease.finish(window);
        }
    }

    /// The settled report to send now; none if none is left, or if no call may be made.
    fn due_report(&self, pace: &mut Pace) -> Option<Report> {
        let now = self.clock.now();
        let lease = lock(&self.lease);
        let fence = lease.may_act(now)?;
        if pace.fence != Some(fence) {
            // The last holder may just have made a call.
            *pace = Pace { fence: Some(fence), next_call: now + self.call_interval(), failures: 0 };
        }
        (now >= pace.next_call).then(|| lease.unsent_report().cloned()).flatten()
    }

    fn call_interval(&self) -> Millis {
        Millis((1_000.0 / (self.settings.calls_per_s * RATE_SHARE)).ceil() as u64)
    }

    async fn send_report(&self, report: &Report, pace: &mut Pace) {
        let window = report.window;
        pace.next_call = self.clock.now() + self.call_interval();
        let result = self.call(report).await;
        let late = wall_now().saturating_sub(window.end(self.settings.window()) + self.settings.due());
        let error = match result {
            Ok((fence, CallOutcome::Accepted)) => {
                lock(&self.lease).finish(window);
                pace.failures = 0;
                metrics::counter!(telemetry::USAGE_REPORTS, "result" => "accepted").increment(1);
                metrics::gauge!(telemetry::USAGE_WINDOW, "stage" => "sent").set(window.0 as f64);
                event!(
                    Info,
                    "usage_sent",
                    window = window,
                    fence = fence,
                    customers = report.counts.len(),
                    late = late
                );
                return;
            }
            Ok((_, CallOutcome::Throttled)) => "above the rate limit".to_owned(),
            Ok((_, CallOutcome::Failed(status))) => format!("status {status}"),
            Err(err) => err,
        };
        let backoff = Millis(BACKOFF_BASE.0 << pace.failures.min(8)).min(BACKOFF_MAX);
        pace.failures += 1;
        pace.next_call = pace.next_call.max(self.clock.now() + backoff);
        metrics::counter!(telemetry::USAGE_REPORTS, "result" => "failed").increment(1);
        event!(Warn, "usage_not_sent", window = window, failures = pace.failures, pause = backoff, error = error);
    }

    /// Sends a report. The call is cut off when the lease ends, so that the API does not get it later.
    async fn call(&self, report: &Report) -> Result<(Fence, CallOutcome), String> {
        let opened = Conn::open(self.api, CONNECT_TIMEOUT).await;
        let mut conn = opened.map_err(|err| format!("could not connect: {err}"))?;
        if !conn.ready().await {
            return Err("the API closed the connection".into());
        }
        // The lease may have ended while the connection was opened.
        let fence = lock(&self.lease).may_act(self.clock.now()).ok_or("the lease is about to end")?;
        let req = duties::usage_request(&self.api.to_string(), &self.own.id, fence, report);
        let lease_end = async {
            while lock(&self.lease).may_go_on(self.clock.now(), fence) {
                sleep(LEASE_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            answer = timeout(ANSWER_TIMEOUT, conn.send(req)) => {
                let answer = answer.map_err(|_| "no answer in time")?.map_err(|err| err.to_string())?;
                Ok((fence, CallOutcome::from_status(answer.status())))
            }
            () = lease_end => Err("the lease ended before the answer".into()),
        }
    }
}
