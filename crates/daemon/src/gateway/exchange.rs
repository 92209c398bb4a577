//! Exchange of knowledge between gateways: who is alive, load at each backend server, counters of versions, and progress
//! of orders.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    canary::{Canary, OrderState},
    evidence::Counters,
    fleet::Member,
    hash::HashMap,
    id::{BackendId, HostId, Incarnation, ServiceName, VersionName},
    unit::Millis,
};
use eelgrasswell_proto::v1::{
    BackendLoad, FleetCounters, FleetMember, FleetState, FollowReply, FollowRequest, OrderProgress, ReporterCounters,
    fleet_client::FleetClient,
    fleet_server::{Fleet, FleetServer},
};
use rand::seq::IndexedRandom;
use tokio::{net::TcpListener, time::sleep};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use super::{Gateway, State, follow};
use crate::{event, sync::lock, telemetry};

/// Interval of exchanges with each partner.
const INTERVAL: Duration = Duration::from_millis(400);
/// Routers asked in one interval. All of a small fleet; a sample of a large one, through which word spreads in a few
/// intervals.
const FANOUT: usize = 5;
/// Members told in one exchange.
const MEMBERS_TOLD: usize = 4;
/// Longest time for one exchange.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Age above which what a router told of its load no longer counts.
const LOAD_FOR: Millis = Millis(1_500);
/// Hundredths of a small request, as loads are sent.
const LOAD_UNIT: f64 = 100.0;

/// What other routers last told of their loads and orders.
#[derive(Default)]
pub struct PeerReports {
    loads: HashMap<HostId, (Millis, Vec<BackendLoad>)>,
    orders: HashMap<HostId, (Millis, Vec<OrderProgress>)>,
}

struct Service(Gateway);

#[tonic::async_trait]
impl Fleet for Service {
    async fn exchange(&self, request: Request<FleetState>) -> Result<Response<FleetState>, Status> {
        let asker = request.into_inner();
        self.0.hear(&asker);
        Ok(Response::new(self.0.fleet_state()))
    }

    async fn follow(&self, request: Request<FollowRequest>) -> Result<Response<FollowReply>, Status> {
        Ok(Response::new(follow::answer(&self.0, &request.into_inner()).await))
    }
}

/// Serves exchanges on `listener` and starts asking others.
pub fn spawn(gateway: Gateway, listener: TcpListener) {
    let server = FleetServer::new(Service(gateway.clone()));
    tokio::spawn(Server::builder().add_service(server).serve_with_incoming(TcpListenerStream::new(listener)));
    follow::spawn(gateway.clone());
    tokio::spawn(ask_others(gateway));
}

async fn ask_others(gateway: Gateway) {
    let mut channels: HashMap<SocketAddr, Channel> = HashMap::default();
    loop {
        let partners = gateway.partners();
        channels.retain(|address, _| partners.contains(address));
        for address in partners {
            let channel = channels.entry(address).or_insert_with(|| connect(address)).clone();
            tokio::spawn(ask(gateway.clone(), address, channel));
        }
        sleep(INTERVAL).await;
    }
}

/// A channel to the router at `address`; connects when it is first used.
pub fn connect(address: SocketAddr) -> Channel {
    let uri: hyper::Uri = format!("http://{address}").parse().expect("a socket address makes a URI");
    Endpoint::from(uri)
        .connect_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(Duration::from_secs(1))
        .keep_alive_timeout(Duration::from_secs(1))
        .connect_lazy()
}

async fn ask(gateway: Gateway, address: SocketAddr, channel: Channel) {
    let state = gateway.fleet_state();
    let result = FleetClient::new(channel).exchange(state).await;
    let label = if result.is_ok() { "answered" } else { "failed" };
    metrics::counter!(telemetry::EXCHANGES, "result" => label).increment(1);
    match result {
        Ok(answer) => gateway.hear(&answer.into_inner()),
        Err(err) => event!(Debug, "exchange_failed", peer = address, error = err.message()),
    }
}

impl State {
    /// Addresses to ask in the next interval.
    fn partners(&self) -> Vec<SocketAddr> {
        let own = self.settings.exchange;
        let now = self.clock.now();
        let mut fleet = lock(&self.fleet);
        fleet.expire(now);
        let mut known: Vec<SocketAddr> = fleet.members().map(|member| member.address).collect();
        if fleet.alive(now).is_empty() {
            known.extend(self.settings().seeds.iter().flatten());
        }
        known.sort();
        known.dedup();
        known.retain(|address| *address != own);
        if known.len() <= FANOUT {
            return known;
        }
        known.sample(&mut rand::rng(), FANOUT).copied().collect()
    }

    /// What this router tells.
    fn fleet_state(&self) -> FleetState {
        let now = self.clock.now();
        let member = |member: &Member| FleetMember {
            id: member.id.to_string(),
            address: member.address.to_string(),
            incarnation: member.incarnation.0,
            heard_ago_ms: now.saturating_sub(member.last_seen).0,
            domain: member.domain.to_string(),
        };
        let load =
            |(id, load): (&BackendId, f64)| BackendLoad { backend: id.to_string(), load: (load * LOAD_UNIT) as u64 };
        let members = {
            let fleet = lock(&self.fleet);
            let alive = fleet.alive(now);
            alive.sample(&mut rand::rng(), MEMBERS_TOLD).map(|alive| member(alive)).collect()
        };
        let loads = lock(&self.pool).own_loads().map(load).collect();
        FleetState {
            id: self.settings.id.to_string(),
            address: self.settings.exchange.to_string(),
            incarnation: self.incarnation.0,
            domain: self.settings.domain.to_string(),
            leaving: self.shutdown.requested(),
            members,
            loads,
            counters: self.counters(),
            orders: self.order_progress(now),
        }
    }

    /// Counters of the services with a rollout under way.
    fn counters(&self) -> Vec<FleetCounters> {
        let is_open = |canary: &&Canary| matches!(canary.order().state, OrderState::New | OrderState::Running);
        let services: Vec<ServiceName> =
            lock(&self.canaries).values().filter(is_open).map(|canary| canary.order().service.clone()).collect();
        let mut versions: HashMap<(ServiceName, VersionName), Vec<ReporterCounters>> = HashMap::default();
        for (service, version, reporter, counters) in self.evidence.reports(self.incarnation) {
            if services.contains(&service) {
                versions.entry((service, version)).or_default().push(ReporterCounters {
                    reporter: reporter.0,
                    answers: counters.answers,
                    errors: counters.errors,
                    slow: counters.slow,
                });
            }
        }
        versions
            .into_iter()
            .map(|((service, version), reporters)| FleetCounters {
                service: service.to_string(),
                version: version.to_string(),
                reporters,
            })
            .collect()
    }

    fn order_progress(&self, now: Millis) -> Vec<OrderProgress> {
        let session_time = self.settings().bounds.session();
        let pool = lock(&self.pool);
        let canaries = lock(&self.canaries);
        let progress = canaries.values().map(|canary| {
            let order = canary.order();
            OrderProgress {
                service: order.service.to_string(),
                target: order.target.to_string(),
                elapsed_ms: canary.elapsed(now).0,
                bad: canary.is_bad(),
                kept_sessions: canary.kept_sessions(now, session_time),
                outstanding_elsewhere: pool.outstanding_on_other_versions(&order.service, &order.target),
            }
        });
        progress.collect()
    }

    /// Takes in what another router tells.
    fn hear(&self, state: &FleetState) {
        let now = self.clock.now();
        self.hear_members(state, now);
        state.counters.iter().for_each(|version| self.hear_counters(version));
        self.hear_orders(state, now);
        self.hear_loads(state, now);
    }

    fn hear_counters(&self, told: &FleetCounters) {
        let service = ServiceName::from(told.service.as_str());
        let version = VersionName::from(told.version.as_str());
        for of in told.reporters.iter().filter(|of| of.reporter != self.incarnation.0) {
            let counters = Counters { answers: of.answers, errors: of.errors, slow: of.slow, ..Counters::default() };
            self.evidence.report(&service, &version, Incarnation(of.reporter), counters);
        }
    }

    fn hear_members(&self, state: &FleetState, now: Millis) {
        let mut fleet = lock(&self.fleet);
        let mut hear = |member: &FleetMember, leaving: bool| {
            let Ok(address) = member.address.parse() else {
                event!(Warn, "member_malformed", id = member.id, address = member.address);
                return;
            };
            if member.id == self.settings.id.as_str() {
                return;
            }
            fleet.update(Member {
                id: member.id.as_str().into(),
                address,
                domain: member.domain.as_str().into(),
                incarnation: Incarnation(member.incarnation),
                last_seen: now.saturating_sub(Millis(member.heard_ago_ms)),
                leaving,
            });
        };
        let sender = FleetMember {
            id: state.id.clone(),
            address: state.address.clone(),
            incarnation: state.incarnation,
            heard_ago_ms: 0,
            domain: state.domain.clone(),
        };
        hear(&sender, state.leaving);
        state.members.iter().for_each(|member| hear(member, false));
    }

    fn hear_orders(&self, state: &FleetState, now: Millis) {
        let mut canaries = lock(&self.canaries);
        for progress in &state.orders {
            let canary = canaries.get_mut(progress.service.as_str());
            if let Some(canary) = canary.filter(|canary| canary.order().target.as_str() == progress.target) {
                canary.set_elapsed(now, Millis(progress.elapsed_ms));
                if progress.bad {
                    canary.set_bad();
                }
                for session in &progress.kept_sessions {
                    canary.pin_to_old(*session, now);
                }
            }
        }
        lock(&self.peer_reports).orders.insert(state.id.as_str().into(), (now, state.orders.clone()));
    }

    fn hear_loads(&self, state: &FleetState, now: Millis) {
        let mut told = lock(&self.peer_reports);
        told.loads.insert(state.id.as_str().into(), (now, state.loads.clone()));
        told.loads.retain(|_, (at, _)| now.saturating_sub(*at) < LOAD_FOR);
        let mut sums: HashMap<BackendId, f64> = HashMap::default();
        for load in told.loads.values().flat_map(|(_, loads)| loads) {
            *sums.entry(load.backend.as_str().into()).or_default() += load.load as f64 / LOAD_UNIT;
        }
        drop(told);
        lock(&self.pool).set_peer_loads(&sums);
    }

    /// Requests of the other routers at servers of `service` with other versions than `target`.
    pub fn outstanding_at_others(&self, service: &ServiceName, target: &VersionName) -> u32 {
        let told = lock(&self.peer_reports);
        let now = self.clock.now();
        let recent = told.orders.values().filter(|(at, _)| now.saturating_sub(*at) < LOAD_FOR);
        recent
            .flat_map(|(_, orders)| orders)
            .filter(|order| order.service == service.as_str() && order.target == target.as_str())
            .map(|order| order.outstanding_elsewhere)
            .sum()
    }
}
