//! Exchange of knowledge between gateways: who is alive, load at each backend server, counters of versions, progress of
//! orders, and copies of the store's objects for a gateway that cannot reach the store.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    evidence::Counters,
    fleet::Member,
    hash::HashMap,
    id::{BackendId, HostId, Incarnation, ServiceName, VersionName},
    unit::Millis,
};
use eelgrasswell_platform::objects::{Kind, Object};
use eelgrasswell_proto::v1::{
    AnswerCounters, BackendLoad, FleetMember, FleetState, OrderProgress, Replica,
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

use super::{Gateway, State};
use crate::{event, sync::lock, telemetry};

/// Interval of exchanges with each partner.
const INTERVAL: Duration = Duration::from_millis(400);
/// Routers asked in one interval. All of a small fleet; a sample of a large one, through which word spreads in a few
/// intervals.
const FANOUT: usize = 5;
/// Longest time for one exchange.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Age of a proof above which a copy from another router is taken. Below it the own watch is sound.
const RELAY_ABOVE: Millis = Millis(3_400);
/// Age above which what a router told of its load no longer counts.
const LOAD_FOR: Millis = Millis(1_500);
/// Hundredths of a small request, as loads are sent.
const LOAD_UNIT: f64 = 100.0;

/// What other routers last told of their loads and orders.
#[derive(Default)]
pub struct Told {
    loads: HashMap<HostId, (Millis, Vec<BackendLoad>)>,
    orders: HashMap<HostId, (Millis, Vec<OrderProgress>)>,
}

struct Service(Gateway);

#[tonic::async_trait]
impl Fleet for Service {
    async fn exchange(&self, request: Request<FleetState>) -> Result<Response<FleetState>, Status> {
        let asker = request.into_inner();
        self.0.hear(&asker, None);
        let mut state = self.0.fleet_state();
        self.0.add_copies(&mut state, &asker);
        Ok(Response::new(state))
    }
}

/// Serves exchanges on `listener` and starts asking others.
pub fn spawn(gateway: Gateway, listener: TcpListener) {
    let server = FleetServer::new(Service(gateway.clone()));
    tokio::spawn(Server::builder().add_service(server).serve_with_incoming(TcpListenerStream::new(listener)));
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

fn connect(address: SocketAddr) -> Channel {
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
    let asked = gateway.clock.now();
    let state = gateway.fleet_state();
    let result = FleetClient::new(channel).exchange(state).await;
    let label = if result.is_ok() { "answered" } else { "failed" };
    metrics::counter!(telemetry::EXCHANGES, "result" => label).increment(1);
    match result {
        Ok(answer) => gateway.hear(&answer.into_inner(), Some(asked)),
        Err(err) => event!(Debug, "exchange_failed", peer = address, error = err.message()),
    }
}

impl State {
    /// Addresses to ask in the next interval.
    fn partners(&self) -> Vec<SocketAddr> {
        let own = self.settings.exchange;
        let now = self.clock.now();
        let mut fleet = lock(&self.fleet);
        fleet.trim(now);
        let mut known: Vec<SocketAddr> = fleet.known().map(|member| member.address).collect();
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
            heard_ago_ms: now.saturating_sub(member.heard).0,
        };
        let load =
            |(id, load): (&BackendId, f64)| BackendLoad { backend: id.to_string(), load: (load * LOAD_UNIT) as u64 };
        let members = lock(&self.fleet).alive(now).into_iter().map(member).collect();
        let loads = lock(&self.pool).own_loads().map(load).collect();
        FleetState {
            id: self.settings.id.to_string(),
            address: self.settings.exchange.to_string(),
            incarnation: self.incarnation.0,
            leaving: self.shutdown.requested(),
            members,
            replicas: Kind::ALL.iter().filter_map(|&kind| self.replica(kind, now)).collect(),
            loads,
            counters: self.counters(),
            orders: self.order_progress(now),
        }
    }

    fn replica(&self, kind: Kind, now: Millis) -> Option<Replica> {
        let copy = lock(self.mirror.copy(kind));
        Some(Replica {
            kind: kind.index() as u32,
            revision: copy.revision()?,
            proof_age_ms: copy.age(now)?.0,
            objects: Default::default(),
        })
    }

    fn counters(&self) -> Vec<AnswerCounters> {
        let services: Vec<ServiceName> = lock(&self.canaries).keys().cloned().collect();
        let reports = self.evidence.reports(self.incarnation).into_iter();
        reports
            .filter(|(service, ..)| services.contains(service))
            .map(|(service, version, reporter, counters)| AnswerCounters {
                service: service.to_string(),
                version: version.to_string(),
                reporter: reporter.0,
                answers: counters.answers,
                errors: counters.errors,
                slow: counters.slow,
            })
            .collect()
    }

    fn order_progress(&self, now: Millis) -> Vec<OrderProgress> {
        let pool = lock(&self.pool);
        let canaries = lock(&self.canaries);
        let progress = canaries.values().map(|canary| {
            let order = canary.order();
            OrderProgress {
                service: order.service.to_string(),
                target: order.target.to_string(),
                elapsed_ms: canary.elapsed(now).0,
                bad: canary.is_bad(),
                outstanding_elsewhere: pool.outstanding_elsewhere(&order.service, &order.target),
            }
        });
        progress.collect()
    }

    /// Adds copies that the asker lacks.
    fn add_copies(&self, state: &mut FleetState, asker: &FleetState) {
        for replica in &mut state.replicas {
            let known = asker.replicas.iter().find(|other| other.kind == replica.kind);
            let behind =
                known.is_none_or(|known| known.revision < replica.revision && known.proof_age_ms > RELAY_ABOVE.0 / 2);
            let Some(kind) = Kind::ALL.get(replica.kind as usize).filter(|_| behind) else { continue };
            let copy = lock(self.mirror.copy(*kind));
            let objects: Vec<&Object> = copy.objects().collect();
            match (copy.revision(), serde_json::to_vec(&objects)) {
                (Some(revision), Ok(bytes)) => {
                    replica.revision = revision;
                    replica.objects = bytes.into();
                }
                (_, Err(err)) => event!(Error, "copy_not_encoded", kind = kind, error = err),
                (None, _) => {}
            }
        }
    }

    /// Takes in what another router tells; `asked` is when it was asked, if it was.
    fn hear(&self, state: &FleetState, asked: Option<Millis>) {
        let now = self.clock.now();
        self.hear_members(state, now);
        for counters in &state.counters {
            if counters.reporter != self.incarnation.0 {
                self.evidence.report(
                    &ServiceName::from(counters.service.as_str()),
                    &VersionName::from(counters.version.as_str()),
                    Incarnation(counters.reporter),
                    Counters {
                        answers: counters.answers,
                        errors: counters.errors,
                        slow: counters.slow,
                        ..Counters::default()
                    },
                );
            }
        }
        self.hear_orders(state, now);
        self.hear_loads(state, now);
        if let Some(asked) = asked {
            self.hear_copies(state, asked, now);
        }
    }

    fn hear_members(&self, state: &FleetState, now: Millis) {
        let mut fleet = lock(&self.fleet);
        let mut hear = |id: &str, address: &str, incarnation: u64, ago: u64, leaving: bool| {
            let Ok(address) = address.parse() else {
                event!(Warn, "member_malformed", id = id, address = address);
                return;
            };
            if id == self.settings.id.as_str() {
                return;
            }
            let heard = now.saturating_sub(Millis(ago));
            fleet.hear(Member { id: id.into(), address, incarnation: Incarnation(incarnation), heard, leaving });
        };
        hear(&state.id, &state.address, state.incarnation, 0, state.leaving);
        for member in &state.members {
            hear(&member.id, &member.address, member.incarnation, member.heard_ago_ms, false);
        }
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
            }
        }
        lock(&self.told).orders.insert(state.id.as_str().into(), (now, state.orders.clone()));
    }

    fn hear_loads(&self, state: &FleetState, now: Millis) {
        let mut told = lock(&self.told);
        told.loads.insert(state.id.as_str().into(), (now, state.loads.clone()));
        told.loads.retain(|_, (at, _)| now.saturating_sub(*at) < LOAD_FOR);
        let mut sums: HashMap<BackendId, f64> = HashMap::default();
        for load in told.loads.values().flat_map(|(_, loads)| loads) {
            *sums.entry(load.backend.as_str().into()).or_default() += load.load as f64 / LOAD_UNIT;
        }
        drop(told);
        lock(&self.pool).set_peer_loads(&sums);
    }

    /// Takes proofs and copies for the kinds whose own proof is old.
    fn hear_copies(&self, state: &FleetState, asked: Millis, now: Millis) {
        for replica in &state.replicas {
            let Some(&kind) = Kind::ALL.get(replica.kind as usize) else { continue };
            let age = Millis(replica.proof_age_ms);
            let (own_age, own_revision) = {
                let mut copy = lock(self.mirror.copy(kind));
                copy.note_others_proof(asked.saturating_sub(age));
                (copy.age(now), copy.revision())
            };
            if own_age.is_some_and(|own_age| own_age < RELAY_ABOVE.min(age)) {
                continue;
            }
            if own_revision >= Some(replica.revision) {
                if own_revision == Some(replica.revision) {
                    lock(self.mirror.copy(kind)).relayed(asked, age);
                }
                continue;
            }
            if replica.objects.is_empty() {
                continue;
            }
            match serde_json::from_slice::<Vec<Object>>(&replica.objects) {
                Ok(objects) => {
                    event!(Info, "copy_from_peer", kind = kind, peer = state.id, revision = replica.revision);
                    self.take_list(kind, objects, replica.revision, |confirmation| confirmation.relayed(asked, age));
                }
                Err(err) => event!(Warn, "copy_malformed", kind = kind, peer = state.id, error = err),
            }
        }
    }

    /// Requests of the other routers at servers of `service` with other versions than `target`.
    pub fn outstanding_at_others(&self, service: &ServiceName, target: &VersionName) -> u32 {
        let told = lock(&self.told);
        let now = self.clock.now();
        let recent = told.orders.values().filter(|(at, _)| now.saturating_sub(*at) < LOAD_FOR);
        recent
            .flat_map(|(_, orders)| orders)
            .filter(|order| order.service == service.as_str() && order.target == target.as_str())
            .map(|order| order.outstanding_elsewhere)
            .sum()
    }
}
