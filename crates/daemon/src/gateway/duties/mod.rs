//! Duties that only one gateway performs at a time, for all: it holds a lease in the store and calls an API of the platform.
//!
//! Every gateway counts its own requests and reports them to the holder and one other candidate. The holder settles the
//! report of a window in the lease object and then sends it.

mod api;
mod lease;
mod usage;

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, SystemTime},
};

use eelgrasswell_core::{
    duty_lease::{DutyLease, Heard, Holder},
    fleet::Member,
    id::{CustomerId, Fence, Incarnation},
    unit::Millis,
    usage::{UsageTable, WindowId},
};
use eelgrasswell_manifest::gateway::{self, GatewaySettings};
use eelgrasswell_proto::v1;
use tokio::time::timeout;

use super::{Gateway, State};
use crate::{clock::BootClock, event, sync::lock, telemetry};

/// Name of the duty that reports usage.
const USAGE_REPORT: &str = "usage_report";
/// Names of duties that this release knows but does not perform.
const NOT_PERFORMED: [&str; 1] = ["autoscale"];
/// Time after a report is due at which it is abandoned.
const MAX_LATENESS: Millis = Millis(20_000);
/// Time for the last report of a gateway that stops. The platform kills the process soon afterwards.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The duties of a gateway; does nothing without settings for them.
pub struct Duties(Option<Active>);

/// State of a gateway that takes part in duties.
struct Active {
    settings: gateway::Duties,
    api: SocketAddr,
    own: Holder,
    clock: BootClock,
    usage: Mutex<UsageTable>,
    lease: Mutex<DutyLease>,
}

impl Duties {
    /// The duties of the process with `incarnation`.
    pub fn open(settings: &GatewaySettings, incarnation: Incarnation, clock: BootClock) -> Self {
        let Some(duties) = &settings.duties else { return Self(None) };
        for name in duties.names.iter().filter(|name| *name != USAGE_REPORT) {
            let reason =
                if NOT_PERFORMED.contains(&name.as_str()) { "not performed by this release" } else { "unknown" };
            event!(Warn, "duty_ignored", name = name, reason = reason);
        }
        let off = |reason: &str| {
            event!(Warn, "duties_off", reason = reason);
            Self(None)
        };
        let Some(api) = duties.address else { return off("no address") };
        if !duties.names.iter().any(|name| name == USAGE_REPORT) {
            return off("no duty to perform");
        }
        if duties.calls_per_s <= 0.0 {
            return off("calls_per_s is 0");
        }
        let own = Holder { id: settings.id.clone(), incarnation, address: settings.exchange };
        // The first holder of all reports from the window in which it started.
        let first_settled = WindowId::at(wall_now(), duties.window()).previous();
        let lease = DutyLease::new(own.clone(), duties.lease(), clock.now(), first_settled);
        Self(Some(Active {
            settings: duties.clone(),
            api,
            own,
            clock,
            usage: Mutex::default(),
            lease: Mutex::new(lease),
        }))
    }

    /// Counts a request of `customer` that began to run just now.
    pub fn record_request(&self, customer: &CustomerId) {
        if let Some(active) = &self.0 {
            let window = WindowId::at(wall_now(), active.settings.window());
            lock(&active.usage).record(active.own.incarnation, window, customer);
        }
    }

    /// What this gateway tells others about the lease; none if it knows nothing.
    pub fn lease_message(&self) -> Option<v1::DutyLease> {
        let active = self.0.as_ref()?;
        let known = lock(&active.lease).known()?;
        Some(v1::DutyLease {
            holder: known.holder.id.to_string(),
            address: known.holder.address.to_string(),
            incarnation: known.holder.incarnation.0,
            fence: known.fence.0,
            renewed_ago_ms: active.clock.now().saturating_sub(known.renewed).0,
            settled_through: known.settled_through.0,
            renewals: known.renewals,
        })
    }

    /// Records what another gateway says about the lease.
    pub fn record_lease(&self, message: Option<&v1::DutyLease>) {
        let (Some(active), Some(message)) = (&self.0, message) else { return };
        let Ok(address) = message.address.parse() else {
            event!(Warn, "duty_lease_malformed", holder = message.holder, address = message.address);
            return;
        };
        let holder =
            Holder { id: message.holder.as_str().into(), incarnation: Incarnation(message.incarnation), address };
        let heard = Heard {
            holder,
            fence: Fence(message.fence),
            renewals: message.renewals,
            renewed: active.clock.now().saturating_sub(Millis(message.renewed_ago_ms)),
            settled_through: WindowId(message.settled_through),
        };
        lock(&active.lease).record_heard(heard);
    }

    /// Merges the counts of another gateway and returns what this gateway knows.
    pub fn handle_usage(&self, report: &v1::UsageReport) -> v1::UsageReply {
        let heard = self.0.as_ref().map(|active| active.merge(report)).unwrap_or_default();
        v1::UsageReply { lease: self.lease_message(), heard }
    }

    /// Reports the counts of `gateway` once more, before it stops.
    pub async fn flush(&self, gateway: &Gateway) {
        let Some(active) = &self.0 else { return };
        lock(&active.usage).advance(active.clock.now(), active.own.incarnation, WindowId::MAX);
        let mut peers = usage::Peers::default();
        let is_sent = timeout(FLUSH_TIMEOUT, peers.report(gateway, active)).await.is_ok();
        event!(Info, "usage_flushed", in_time = is_sent);
    }
}

/// Starts to take part in the lease, to report counts, and to perform duties while this gateway holds the lease.
pub fn spawn(gateway: &Gateway) {
    let Some(active) = &gateway.duties.0 else { return };
    event!(
        Info,
        "duties_on",
        api = active.api,
        lease = active.settings.lease(),
        window = active.settings.window(),
        calls_per_s = active.settings.calls_per_s
    );
    metrics::gauge!(telemetry::DUTY_HOLDER).set(0.0);
    tokio::spawn(lease::run(gateway.clone()));
    tokio::spawn(usage::run(gateway.clone()));
    tokio::spawn(api::run(gateway.clone()));
}

impl Active {
    /// Last window that has ended.
    fn last_ended_window(&self) -> WindowId {
        WindowId::at(wall_now(), self.settings.window()).previous()
    }

    /// Oldest window whose report may still be sent.
    fn oldest_window(&self) -> WindowId {
        let window = self.settings.window();
        WindowId::at(wall_now().saturating_sub(self.settings.due() + MAX_LATENESS + window), window)
    }
}

impl State {
    /// The other live gateways that may take the lease over, the best candidate first. Those that reach the store come
    /// first, then the lowest ids.
    fn duty_candidates(&self) -> Vec<Member> {
        let fleet = lock(&self.fleet);
        let alive = fleet.alive(self.clock.now()).into_iter().filter(|member| !member.leaving);
        let mut candidates: Vec<Member> = alive.cloned().collect();
        candidates.sort_by_key(|member| !member.reaches_store);
        candidates
    }

    /// Position of this gateway among the candidates; none if it is about to stop.
    fn duty_rank(&self) -> Option<usize> {
        let own = (!self.mirror.reaches_store(), &self.settings.id);
        let is_better = |member: &&Member| (!member.reaches_store, &member.id) < own;
        let rank = self.duty_candidates().iter().filter(is_better).count();
        (!self.shutdown.requested()).then_some(rank)
    }
}

/// Time since the start of 1970, according to the host's wall clock.
fn wall_now() -> Millis {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().into()
}
