//! Gossip between gateways: which gateways are alive, their load at each backend server, counters by version, and the
//! progress of rollout orders.

use std::{io, net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    answer_counters::Counters,
    canary::{Canary, KeptSession, OrderState, Pin, Rises},
    fleet::Member,
    hash::HashMap,
    id::{BackendId, HostId, Incarnation, ServiceName, VersionName},
    request_kind::RequestKind,
    unit::Millis,
};
use eelgrasswell_proto::v1::{
    BackendLoad, FleetCounters, FleetMember, FleetState, FollowReply, FollowRequest, OrderProgress, RecallReply,
    RecallRequest, ReporterCounters, UsageReply, UsageReport,
    fleet_client::FleetClient,
    fleet_server::{Fleet, FleetServer},
};
use futures::stream;
use rand::seq::IndexedRandom;
use tokio::{net::TcpListener, time::sleep};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use super::{
    Gateway, State,
    drill::{self, Knowledge},
    follow, memory,
    request::SessionDigest,
    response_stats::Report,
};
use crate::{event, sync::lock, telemetry};

/// Interval between two rounds of exchanges with peers.
const INTERVAL: Duration = Duration::from_millis(400);
/// Time after which peers are contacted when a version on trial has failed a request. Failures within it are reported
/// together.
const FAILURE_NOTICE: Duration = Duration::from_millis(60);
/// Maximum number of members reported in one exchange.
const MAX_MEMBERS_SENT: usize = 4;
/// Maximum size of a message that a peer sends, in bytes. The state of a large fleet needs less than a tenth of it.
const MAX_MESSAGE: usize = 1 << 20;
/// Maximum number of calls at the same time on one connection. A peer makes an exchange and a follow call.
const MAX_CALLS: u32 = 16;
/// Maximum size of a frame, in bytes: the smallest that the protocol allows.
const MAX_FRAME: u32 = 16 << 10;
/// Timeout of one exchange.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Age at which a peer's report of its loads and orders is no longer used. Peers of other failure domains are heard of
/// less often than those of the own one.
const MAX_REPORT_AGE: Millis = Millis(2_500);
/// Factor by which loads are multiplied on the wire: they are sent in hundredths of a small request.
pub const LOAD_SCALE: f64 = 100.0;

/// The other gateways' last reports, each with the time at which it was received.
#[derive(Default)]
pub struct PeerReports {
    loads: HashMap<HostId, (Millis, Vec<BackendLoad>)>,
    orders: HashMap<HostId, (Millis, Vec<OrderProgress>)>,
}

struct FleetService(Gateway);

#[tonic::async_trait]
impl Fleet for FleetService {
    async fn exchange(&self, request: Request<FleetState>) -> Result<Response<FleetState>, Status> {
        let sender = request.into_inner();
        self.0.record_state(&sender);
        Ok(Response::new(self.0.fleet_state()))
    }

    async fn follow(&self, request: Request<FollowRequest>) -> Result<Response<FollowReply>, Status> {
        Ok(Response::new(follow::handle_request(&self.0, &request.into_inner()).await))
    }

    async fn report_usage(&self, request: Request<UsageReport>) -> Result<Response<UsageReply>, Status> {
        Ok(Response::new(self.0.duties.handle_usage(request.get_ref())))
    }

    async fn recall(&self, _: Request<RecallRequest>) -> Result<Response<RecallReply>, Status> {
        drill::handle_request(&self.0).map(Response::new)
    }
}

/// Serves exchanges on `listener`, and starts to exchange with peers and to follow watchers.
pub fn spawn(gateway: Gateway, listener: TcpListener) {
    let service = FleetService(gateway.clone());
    let server = FleetServer::new(service).max_decoding_message_size(MAX_MESSAGE);
    let share = gateway.settings.clients.exchange_share;
    let table = memory::open_table(&gateway.settings, "exchange", &listener, share, usize::MAX);
    let incoming = stream::unfold((listener, table), |(listener, table)| async move {
        let stream = table.accept(&listener).await;
        Some((Ok::<_, io::Error>(stream), (listener, table)))
    });
    let mut builder = Server::builder().max_concurrent_streams(MAX_CALLS).max_frame_size(MAX_FRAME).tcp_nodelay(true);
    tokio::spawn(builder.add_service(server).serve_with_incoming(incoming));
    follow::spawn(gateway.clone());
    tokio::spawn(drill::inform(gateway.clone()));
    tokio::spawn(exchange_with_peers(gateway));
}

async fn exchange_with_peers(gateway: Gateway) {
    let mut channels: HashMap<SocketAddr, Channel> = HashMap::default();
    loop {
        let peers = gateway.peers_to_contact();
        channels.retain(|address, _| peers.contains(address));
        for address in peers {
            let channel = channels.entry(address).or_insert_with(|| connect(address)).clone();
            tokio::spawn(exchange_with(gateway.clone(), address, channel));
        }
        tokio::select! {
            () = sleep(INTERVAL) => {}
            () = gateway.trial_failures.notified() => sleep(FAILURE_NOTICE).await,
        }
    }
}

/// A channel to the gateway at `address`; connects when it is first used.
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

/// Exchanges states with the gateway at `address`, and reads what stays in force there. Returns what that one could tell.
pub async fn exchange_with(gateway: Gateway, address: SocketAddr, channel: Channel) -> Knowledge {
    let state = gateway.fleet_state();
    let result = FleetClient::new(channel.clone()).exchange(state).await;
    let label = if result.is_ok() { "answered" } else { "failed" };
    metrics::counter!(telemetry::EXCHANGES, "result" => label).increment(1);
    match result {
        Ok(answer) => {
            let state = answer.into_inner();
            gateway.record_state(&state);
            drill::recall_from(&gateway, channel, &state).await
        }
        Err(err) => {
            event!(Debug, "exchange_failed", peer = address, error = err.message());
            Knowledge::None
        }
    }
}

impl State {
    /// Addresses of the peers to contact in the next interval.
    pub fn peers_to_contact(&self) -> Vec<SocketAddr> {
        let own = self.settings.exchange;
        let now = self.clock.now();
        let mut fleet = lock(&self.fleet);
        fleet.expire(now);
        let mut partners = fleet.sample_partners(&self.settings.domain, &mut rand::rng());
        if fleet.alive(now).is_empty() {
            partners.extend(self.settings().seeds.iter().flatten());
        }
        partners.sort();
        partners.dedup();
        partners.retain(|address| *address != own);
        partners
    }

    /// The state that this gateway reports to its peers.
    fn fleet_state(&self) -> FleetState {
        let now = self.clock.now();
        let member = |member: &Member| FleetMember {
            id: member.id.to_string(),
            address: member.address.to_string(),
            incarnation: member.incarnation.0,
            heard_ago_ms: now.saturating_sub(member.last_seen).0,
            domain: member.domain.to_string(),
            reaches_store: member.reaches_store,
        };
        let load = |(id, load, outstanding): (&BackendId, f64, u32)| BackendLoad {
            backend: id.to_string(),
            load: (load * LOAD_SCALE) as u64,
            outstanding,
        };
        let members = {
            let fleet = lock(&self.fleet);
            let alive = fleet.alive(now);
            alive.sample(&mut rand::rng(), MAX_MEMBERS_SENT).map(|alive| member(alive)).collect()
        };
        let loads = lock(&self.pool).own_loads().map(load).collect();
        let mut state = FleetState {
            id: self.settings.id.to_string(),
            address: self.settings.exchange.to_string(),
            incarnation: self.incarnation.0,
            domain: self.settings.domain.to_string(),
            leaving: self.shutdown.requested(),
            reaches_store: self.mirror.reaches_store(),
            members,
            loads,
            counters: self.counters(),
            orders: self.order_progress(now),
            duty_lease: self.duties.lease_message(),
            history: Some(self.store_history()),
            ..FleetState::default()
        };
        self.add_crash_evidence(&mut state);
        self.add_departures(&mut state);
        self.add_withdrawals(&mut state);
        state
    }

    /// Counters of the services with a rollout in progress.
    fn counters(&self) -> Vec<FleetCounters> {
        let is_in_progress = |canary: &&Canary| matches!(canary.order().state, OrderState::New | OrderState::Running);
        let services: Vec<ServiceName> =
            lock(&self.canaries).values().filter(is_in_progress).map(|canary| canary.order().service.clone()).collect();
        let mut versions: HashMap<(ServiceName, VersionName, RequestKind), Vec<ReporterCounters>> = HashMap::default();
        for Report { service, kind, version, reporter, counters } in self.response_stats.all_counters(self.incarnation)
        {
            if services.contains(&service) {
                versions.entry((service, version, kind)).or_default().push(ReporterCounters {
                    reporter: reporter.0,
                    answers: counters.answers,
                    errors: counters.errors,
                    slow: counters.slow,
                    paced: counters.paced,
                    slow_paced: counters.slow_paced,
                });
            }
        }
        versions
            .into_iter()
            .map(|((service, version, kind), reporters)| FleetCounters {
                service: service.to_string(),
                version: version.to_string(),
                reporters,
                kind: kind.index() as u32,
            })
            .collect()
    }

    fn order_progress(&self, now: Millis) -> Vec<OrderProgress> {
        let session_time = self.session_timeout();
        let pool = lock(&self.pool);
        let canaries = lock(&self.canaries);
        let progress = canaries.values().map(|canary| {
            let order = canary.order();
            let kept = canary.sessions_kept_on_old(now, session_time);
            OrderProgress {
                service: order.service.to_string(),
                target: order.target.to_string(),
                elapsed_ms: canary.elapsed(now).0,
                bad: canary.is_bad(),
                kept_sessions: kept.iter().map(|kept| kept.session).collect(),
                kept_ages_ms: kept.iter().map(|kept| now.saturating_sub(kept.last_used).0 as u32).collect(),
                outstanding_elsewhere: pool.outstanding_on_other_versions(&order.service, &order.target),
                rise_to_shift_ms: canary.rises().to_shift.unwrap_or_default().0,
                rise_to_full_ms: canary.rises().to_full.unwrap_or_default().0,
            }
        });
        progress.collect()
    }

    /// Records the state that another gateway reports.
    fn record_state(&self, state: &FleetState) {
        let now = self.clock.now();
        self.record_members(state, now);
        self.record_history(state);
        state.counters.iter().for_each(|counters| self.record_counters(counters));
        self.record_orders(state, now);
        self.record_loads(state, now);
        self.record_crash_evidence(state);
        self.record_departures(state);
        self.record_withdrawals(state);
        self.duties.record_lease(state.duty_lease.as_ref());
    }

    fn record_counters(&self, received: &FleetCounters) {
        let Some(&kind) = RequestKind::ALL.get(received.kind as usize) else {
            event!(Debug, "counters_ignored", service = received.service, kind = received.kind);
            return;
        };
        for reporter in received.reporters.iter().filter(|entry| entry.reporter != self.incarnation.0) {
            let counters = Counters {
                answers: reporter.answers,
                errors: reporter.errors,
                slow: reporter.slow,
                paced: reporter.paced,
                slow_paced: reporter.slow_paced,
                ..Counters::default()
            };
            self.response_stats.record_peer(Report {
                service: received.service.as_str().into(),
                kind,
                version: received.version.as_str().into(),
                reporter: Incarnation(reporter.reporter),
                counters,
            });
        }
    }

    fn record_members(&self, state: &FleetState, now: Millis) {
        let mut fleet = lock(&self.fleet);
        let mut record = |member: &FleetMember, leaving: bool| {
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
                reaches_store: member.reaches_store,
            });
        };
        let sender = FleetMember {
            id: state.id.clone(),
            address: state.address.clone(),
            incarnation: state.incarnation,
            heard_ago_ms: 0,
            domain: state.domain.clone(),
            reaches_store: state.reaches_store,
        };
        record(&sender, state.leaving);
        state.members.iter().for_each(|member| record(member, false));
    }

    fn record_orders(&self, state: &FleetState, now: Millis) {
        let session_time = self.session_timeout();
        let mut canaries = lock(&self.canaries);
        for progress in &state.orders {
            let canary = canaries.get_mut(progress.service.as_str());
            if let Some(canary) = canary.filter(|canary| canary.order().target.as_str() == progress.target) {
                canary.merge_elapsed(now, Millis(progress.elapsed_ms));
                let rise = |ms: u64| (ms > 0).then_some(Millis(ms));
                canary.merge_rises(Rises {
                    to_shift: rise(progress.rise_to_shift_ms),
                    to_full: rise(progress.rise_to_full_ms),
                });
                if progress.bad {
                    canary.mark_bad();
                }
                // Senders of older releases leave out the ages.
                let ages = progress.kept_ages_ms.iter().copied().chain(std::iter::repeat(0));
                for (&session, age) in progress.kept_sessions.iter().zip(ages) {
                    let last_used = now.saturating_sub(Millis(age.into()));
                    let before = canary.pin_to_old(now, KeptSession { session, last_used }, session_time);
                    if before != Pin::Old {
                        event!(
                            Info,
                            "session_reported",
                            session = SessionDigest(session),
                            peer = state.id,
                            age = Millis(age.into()),
                            before = before,
                            after = canary.pin(now, session, session_time)
                        );
                    }
                }
            }
        }
        let mut reports = lock(&self.peer_reports);
        reports.orders.insert(state.id.as_str().into(), (now, state.orders.clone()));
        reports.orders.retain(|_, (at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
    }

    fn record_loads(&self, state: &FleetState, now: Millis) {
        if let Some(admission) = &self.admission {
            admission.record_peer(now, state);
        }
        let mut reports = lock(&self.peer_reports);
        reports.loads.insert(state.id.as_str().into(), (now, state.loads.clone()));
        reports.loads.retain(|_, (at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        let mut sums: HashMap<BackendId, f64> = HashMap::default();
        for load in reports.loads.values().flat_map(|(_, loads)| loads) {
            *sums.entry(load.backend.as_str().into()).or_default() += load.load as f64 / LOAD_SCALE;
        }
        drop(reports);
        lock(&self.pool).set_peer_loads(&sums);
    }

    /// Number of requests that the other gateways have outstanding at servers of `service` with versions other than
    /// `target`.
    pub fn outstanding_at_peers(&self, service: &ServiceName, target: &VersionName) -> u32 {
        let reports = lock(&self.peer_reports);
        let now = self.clock.now();
        let recent = reports.orders.values().filter(|(at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        recent
            .flat_map(|(_, orders)| orders)
            .filter(|order| order.service == service.as_str() && order.target == target.as_str())
            .map(|order| order.outstanding_elsewhere)
            .sum()
    }
}
