//! Reports the counts of requests to the holder of the lease and to one other candidate, which passes on what does not reach
//! the holder.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    duty_lease::Heard,
    hash::HashMap,
    id::{CustomerId, Incarnation},
    unit::Millis,
    usage::{ReporterUsage, WindowId},
};
use eelgrasswell_proto::v1::{
    self, CustomerUsage, ReporterSequence, UsageReport, WindowUsage, fleet_client::FleetClient,
};
use futures::future::join_all;
use tokio::time::sleep;
use tonic::transport::Channel;

use super::{Active, wall_now};
use crate::{
    event,
    gateway::{Gateway, exchange},
    sync::lock,
    telemetry,
};

/// Longest interval between two reports.
const MAX_INTERVAL: Millis = Millis(1_000);
/// Shortest interval between two reports.
const MIN_INTERVAL: Millis = Millis(250);
/// Largest share of the gateways that are expected to be killed at once. Their requests since their last report are lost.
const KILLED_SHARE: f64 = 0.5;
/// Time after which a report of another gateway is passed on to one that lacks it, in intervals.
const RELAY_AFTER_INTERVALS: u64 = 2;

/// Reports counts until the process ends.
pub async fn run(gateway: Gateway) {
    let Some(active) = &gateway.duties.0 else { return };
    let interval = Duration::from(active.report_interval());
    let mut peers = Peers::default();
    loop {
        sleep(interval).await;
        let (now, own) = (active.clock.now(), active.own.incarnation);
        let ended = WindowId::at(wall_now(), active.settings.window()).previous();
        {
            let mut usage = lock(&active.usage);
            usage.expire(own, active.oldest_window(), now.saturating_sub(active.settings.window()));
            usage.advance(now, own, ended);
        }
        peers.report(&gateway, active).await;
    }
}

/// The gateways to which counts are reported.
#[derive(Default)]
pub struct Peers {
    channels: HashMap<SocketAddr, Peer>,
}

struct Peer {
    channel: Channel,
    /// Numbers of the reports that the peer knows.
    heard: HashMap<Incarnation, u64>,
}

impl Peers {
    /// Reports the counts to the holder and one other candidate.
    pub async fn report(&mut self, gateway: &Gateway, active: &Active) {
        let known = lock(&active.lease).known();
        let targets = targets(gateway, active, known.as_ref());
        self.channels.retain(|address, _| targets.contains(address));
        let settled = known.map_or(WindowId::default(), |known| known.settled_through);
        for address in targets {
            let new = || Peer { channel: exchange::connect(address), heard: HashMap::default() };
            self.channels.entry(address).or_insert_with(new);
        }
        let calls = self.channels.iter_mut().map(|(address, peer)| async move {
            let report = active.report_for(&peer.heard, settled);
            let result = FleetClient::new(peer.channel.clone()).report_usage(report).await;
            let label = if result.is_ok() { "answered" } else { "failed" };
            metrics::counter!(telemetry::USAGE_MESSAGES, "result" => label).increment(1);
            match result {
                Ok(reply) => {
                    event!(Debug, "usage_delivered", peer = address);
                    let reply = reply.into_inner();
                    gateway.duties.record_lease(reply.lease.as_ref());
                    peer.heard =
                        reply.heard.iter().map(|heard| (Incarnation(heard.reporter), heard.sequence)).collect();
                }
                Err(err) => event!(Debug, "usage_not_delivered", peer = address, error = err.message()),
            }
        });
        join_all(calls).await;
    }
}

/// Addresses of the holder and the best other candidate, or of two candidates if no live holder is known.
fn targets(gateway: &Gateway, active: &Active, known: Option<&Heard>) -> Vec<SocketAddr> {
    const TARGETS: usize = 2;
    let lease = active.settings.lease();
    let is_live = |known: &&Heard| active.clock.now().saturating_sub(known.renewed) < lease + lease;
    let holder = known.filter(is_live).map(|known| known.holder.address);
    let candidates = gateway.duty_candidates().into_iter().map(|member| member.address);
    let mut targets: Vec<SocketAddr> = holder.into_iter().collect();
    targets.extend(candidates.filter(|address| Some(*address) != holder));
    targets.truncate(TARGETS + 1);
    // The holder itself reports only to the other candidate.
    let count = if holder == Some(active.own.address) { TARGETS - 1 } else { TARGETS };
    targets.retain(|address| *address != active.own.address);
    targets.truncate(count);
    targets
}

impl Active {
    /// Interval between two reports. If `KILLED_SHARE` of the gateways are killed, the requests that they have not reported
    /// are within the tolerance.
    pub fn report_interval(&self) -> Millis {
        let lost = self.settings.window().0 as f64 * self.settings.tolerance / KILLED_SHARE;
        Millis(lost as u64).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    fn report_for(&self, heard: &HashMap<Incarnation, u64>, settled: WindowId) -> UsageReport {
        let delay = Millis(self.report_interval().0 * RELAY_AFTER_INTERVALS);
        let usage = lock(&self.usage);
        let reports = usage.reports_for(self.clock.now(), self.own.incarnation, heard, delay, settled);
        UsageReport { reporters: reports.iter().map(|(reporter, usage)| encode(*reporter, usage)).collect() }
    }

    /// Merges a report, and returns the numbers of the reports that this gateway knows.
    pub fn merge(&self, report: &UsageReport) -> Vec<ReporterSequence> {
        let now = self.clock.now();
        let mut usage = lock(&self.usage);
        for message in report.reporters.iter().filter(|message| message.reporter != self.own.incarnation.0) {
            if !usage.merge(now, Incarnation(message.reporter), &decode(message)) {
                event!(Warn, "usage_ignored", reporter = message.reporter, known = usage.reporters());
            }
        }
        let sequences = usage.sequences();
        sequences.map(|(reporter, sequence)| ReporterSequence { reporter: reporter.0, sequence }).collect()
    }
}

fn encode(reporter: Incarnation, usage: &ReporterUsage) -> v1::ReporterUsage {
    let windows = usage.windows.iter().map(|(window, counts)| {
        let customer = |(customer, requests): (&CustomerId, &u64)| CustomerUsage {
            customer: customer.to_string(),
            requests: *requests,
        };
        WindowUsage { window: window.0, customers: counts.iter().map(customer).collect() }
    });
    v1::ReporterUsage {
        reporter: reporter.0,
        sequence: usage.sequence,
        complete_through: usage.complete_through.0,
        windows: windows.collect(),
    }
}

fn decode(message: &v1::ReporterUsage) -> ReporterUsage {
    let windows = message.windows.iter().map(|window| {
        let counts = window.customers.iter().map(|usage| (usage.customer.as_str().into(), usage.requests));
        (WindowId(window.window), counts.collect())
    });
    ReporterUsage {
        sequence: message.sequence,
        complete_through: WindowId(message.complete_through),
        windows: windows.collect(),
    }
}
