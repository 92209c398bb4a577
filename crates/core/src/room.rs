//! View of the free capacity of each service: the slots of its servers, less what all gateways have outstanding there.
//!
//! The load: many gateways fill the same servers, and each knows only its own requests and what the others reported some
//! hundred milliseconds ago. A server takes more requests than it has slots into its own queue, where neither priority
//! nor fairness between customers counts. Each gateway may use what the others leave free, and never less than an equal
//! share, so that a gateway whose load rises late gets its share back from those that have borrowed it.
//!
//! A report counts as it is while it is fresh. As it ages, the estimate approaches the equal share of its sender. Gateways
//! without a report count with their share.

use crate::{
    hash::HashMap,
    id::{BackendId, HostId, ServiceName},
    unit::Millis,
};

/// Age up to which a report counts as it is. In a fleet of 26 gateways, four fifths of the reports are younger.
pub const FRESH_REPORT_AGE: Millis = Millis(1_500);
/// Age at which a report is dropped, and only its sender's share counts. In a fleet of 26 gateways, one report in a hundred
/// gets older than 4 s while its sender lives.
pub const MAX_REPORT_AGE: Millis = Millis(4_000);
/// Number of gateways that are assumed to share the capacity while no peer has reported.
pub const MIN_GATEWAYS: usize = 3;
/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 512;
/// Maximum number of servers in a report.
const MAX_SERVERS: usize = 4_096;

/// A server as the pool knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSlots {
    /// Id of the server.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Number of requests that it works on at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub in_service: bool,
    /// Whether it is neither avoided after failures nor pausing.
    pub usable: bool,
    /// Number of this gateway's requests outstanding there.
    pub own: u32,
}

/// Last report of each peer.
#[derive(Debug, Default)]
pub struct PeerReports {
    peers: HashMap<HostId, Report>,
}

#[derive(Debug)]
struct Report {
    at: Millis,
    outstanding: Vec<(BackendId, u32)>,
}

/// Capacity of one service for this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of requests of all gateways at which the service is full.
    pub limit: u32,
    /// Estimated number of the peers' requests outstanding.
    pub peers: u32,
    /// Number of requests that this gateway may have outstanding.
    pub allowed: u32,
    /// Number of this gateway's requests at servers that are not part of `limit`. They use no slot that counts.
    pub elsewhere: u32,
    /// Age of the oldest report that was used; none if no peer has reported.
    pub report_age: Option<Millis>,
}

impl PeerReports {
    /// Records that `peer` has `outstanding` requests at each server. A report that was received earlier is replaced.
    pub fn record(&mut self, now: Millis, peer: HostId, outstanding: impl Iterator<Item = (BackendId, u32)>) {
        self.expire(now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            return;
        }
        let outstanding = outstanding.take(MAX_SERVERS).collect();
        self.peers.insert(peer, Report { at: now, outstanding });
    }

    /// Number of peers with a report.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer has a report.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        self.peers.retain(|_, report| now.saturating_sub(report.at) < MAX_REPORT_AGE);
    }

    /// Capacity of each service. `gateways` is the number of gateways that serve callers, this one included, and
    /// `full_share` the share of its slots at which a server counts as full. Services without slots are left out.
    pub fn rooms(
        &mut self,
        now: Millis,
        servers: &[ServerSlots],
        gateways: usize,
        full_share: f64,
    ) -> HashMap<ServiceName, Room> {
        self.expire(now);
        let counted = counted_servers(servers);
        let mut slots: HashMap<&ServiceName, u32> = HashMap::default();
        for server in counted.values() {
            *slots.entry(&server.service).or_default() += server.slots;
        }
        slots.retain(|_, slots| *slots > 0);
        let min = if self.peers.is_empty() { MIN_GATEWAYS } else { 1 };
        let gateways = gateways.max(self.peers.len() + 1).max(min);
        let unknown = gateways - 1 - self.peers.len();
        let report_age = self.peers.values().map(|report| now.saturating_sub(report.at)).max();
        let sums = self.sum_by_service(now, &counted);
        let room = |(service, slots): (&ServiceName, u32)| {
            let limit = f64::from(slots) * full_share;
            let share = limit / gateways as f64;
            let (weighted, aged) = sums.get(service).copied().unwrap_or((0.0, self.aged(now)));
            let peers = weighted + (aged + unknown as f64) * share;
            let mut room = Room {
                limit: limit as u32,
                peers: peers.round() as u32,
                allowed: (limit - peers).max(share).max(1.0) as u32,
                elsewhere: 0,
                report_age,
            };
            let is_elsewhere =
                |server: &&ServerSlots| server.service == *service && !counted.contains_key(server.id.as_str());
            room.elsewhere = servers.iter().filter(is_elsewhere).map(|server| server.own).sum();
            (service.clone(), room)
        };
        slots.into_iter().map(room).collect()
    }

    /// Sum of the fractions by which the peers' shares replace their reports.
    fn aged(&self, now: Millis) -> f64 {
        self.peers.values().map(|report| report.staleness(now)).sum()
    }

    /// For each service, the peers' reported requests, weighted by the freshness of their reports, and the sum of the
    /// fractions by which their shares replace them.
    fn sum_by_service(&self, now: Millis, counted: &HashMap<&str, &ServerSlots>) -> HashMap<ServiceName, (f64, f64)> {
        let aged = self.aged(now);
        let mut sums: HashMap<ServiceName, (f64, f64)> = HashMap::default();
        for report in self.peers.values() {
            let weight = 1.0 - report.staleness(now);
            for (id, outstanding) in &report.outstanding {
                let Some(server) = counted.get(id.as_str()) else { continue };
                if !sums.contains_key(&server.service) {
                    sums.insert(server.service.clone(), (0.0, aged));
                }
                if let Some((sum, _)) = sums.get_mut(&server.service) {
                    *sum += f64::from(*outstanding) * weight;
                }
            }
        }
        sums
    }

    /// Number of the peers' requests at each server, according to the reports that are fresh.
    pub fn outstanding_by_server(&self, now: Millis) -> HashMap<BackendId, u32> {
        let mut sums: HashMap<BackendId, u32> = HashMap::default();
        for report in self.peers.values().filter(|report| now.saturating_sub(report.at) < FRESH_REPORT_AGE) {
            for (id, outstanding) in &report.outstanding {
                let sum = sums.entry(id.clone()).or_default();
                *sum = sum.saturating_add(*outstanding);
            }
        }
        sums
    }
}

impl Report {
    /// Fraction, from 0 to 1, by which the sender's share replaces the report.
    fn staleness(&self, now: Millis) -> f64 {
        let stale_for = now.saturating_sub(self.at).saturating_sub(FRESH_REPORT_AGE);
        (stale_for.0 as f64 / (MAX_REPORT_AGE - FRESH_REPORT_AGE).0 as f64).min(1.0)
    }
}

impl Room {
    /// Whether a gateway with `own` admitted requests may send another one.
    pub fn has_room(&self, own: u32) -> bool {
        own.saturating_sub(self.elsewhere) < self.allowed
    }
}

/// The servers whose slots count: those in service that are usable, or all in service if a service has no usable one, since
/// they are tried then.
fn counted_servers(servers: &[ServerSlots]) -> HashMap<&str, &ServerSlots> {
    let mut has_usable: HashMap<&ServiceName, bool> = HashMap::default();
    for server in servers.iter().filter(|server| server.in_service) {
        *has_usable.entry(&server.service).or_default() |= server.usable;
    }
    let is_counted = |server: &&ServerSlots| {
        server.in_service && (server.usable || !has_usable.get(&server.service).copied().unwrap_or_default())
    };
    servers.iter().filter(is_counted).map(|server| (server.id.as_str(), server)).collect()
}
