//! Gets copies of the store's objects from other gateways, and serves copies to them.
//!
//! A few gateways, the watchers, watch the store. The others follow two of the watchers by long polls, so that the
//! number of calls to the store does not grow with the fleet. A gateway calls the store itself only while no watcher
//! that reaches the store keeps the gateway's copies current. A gateway whose calls to the store fail follows gateways
//! that reach it.

use std::time::Duration;

use eelgrasswell_core::{
    confirmation::{self, MAX_FOLLOW_WAIT},
    fleet::Member,
    id::{Era, HostId},
    place::Place,
    store_copy::{Lacking, PeerCopy},
    transfer,
    unit::{Bytes, Millis},
};
use eelgrasswell_platform::objects::{Kind, ParsedObjects};
use eelgrasswell_proto::v1::{FollowReply, FollowRequest, Replica, fleet_client::FleetClient};
use tokio::{
    task::AbortHandle,
    time::{Instant, sleep, timeout_at},
};
use tonic::transport::Channel;

use super::{Gateway, State, exchange, sync};
use crate::{event, sync::lock, telemetry};

/// Number of gateways that a gateway follows.
const FOLLOWED_GATEWAYS: usize = 2;
/// Time allowed for a response in addition to `MAX_FOLLOW_WAIT`.
const RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// The same for a response with large objects, which a gateway requests that can't read them from the store.
const LARGE_RESPONSE_MARGIN: Duration = Duration::from_secs(8);
/// Time after a response of a watcher that reaches the store for which a gateway makes no calls to the store itself.
const SYNC_VALID_FOR: Millis = Millis(950);
/// Pause after an error from a watcher, and after a reply that leaves large objects to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Age that stands for a response that never came.
const NEVER: Millis = Millis(u64::MAX);
/// Interval at which the watchers to follow are chosen again.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);

/// Handles a request of a gateway that follows this one: waits for a change until the time limit, then returns the
/// copies.
pub async fn handle_request(gateway: &Gateway, request: &FollowRequest) -> FollowReply {
    let received_at = Instant::now();
    let until = received_at + Duration::from(Millis(request.wait_ms).min(MAX_FOLLOW_WAIT));
    let mut changes = gateway.mirror.subscribe();
    let health = |replicas: &[Replica]| replicas.iter().map(|replica| replica.sound).collect::<Vec<_>>();
    let mut initial_health = None;
    loop {
        changes.borrow_and_update();
        let replicas = gateway.replicas_for(request);
        let has_objects = replicas.iter().any(|replica| !replica.objects.is_empty() || replica.left_to_store);
        let has_changed = has_objects || *initial_health.get_or_insert_with(|| health(&replicas)) != health(&replicas);
        if has_changed || Instant::now() >= until {
            return FollowReply { held_ms: Millis::from(received_at.elapsed()).0, replicas };
        }
        // The copies are checked again in either case, after a change and after the time limit.
        let _ = timeout_at(until, changes.changed()).await;
    }
}

/// Starts a task that follows the watchers chosen for this gateway.
pub fn spawn(gateway: Gateway) {
    tokio::spawn(async move {
        let mut followed: Vec<(Member, AbortHandle)> = Vec::new();
        loop {
            let wanted = gateway.gateways_to_follow();
            followed.retain(|(member, task)| {
                let is_wanted = wanted.contains(member);
                if !is_wanted {
                    task.abort();
                    gateway.mirror.clear_synced(&member.id);
                }
                is_wanted
            });
            for member in wanted {
                if followed.iter().all(|(other, _)| *other != member) {
                    let channel = exchange::connect(member.address);
                    let task = tokio::spawn(follow(gateway.clone(), member.id.clone(), channel));
                    followed.push((member, task.abort_handle()));
                }
            }
            sleep(CHOICE_INTERVAL).await;
        }
    });
}

/// Sends follow requests to `watcher`, one after the other, and applies the copies that it returns.
async fn follow(gateway: Gateway, watcher: HostId, channel: Channel) {
    let mut client = FleetClient::new(channel);
    let mut failures: u32 = 0;
    loop {
        let sent_at = gateway.clock.now();
        let needs_large = gateway.mirror.is_rejected();
        let request = FollowRequest { wait_ms: MAX_FOLLOW_WAIT.0, replicas: gateway.own_replicas(), needs_large };
        let margin = if needs_large { LARGE_RESPONSE_MARGIN } else { RESPONSE_MARGIN };
        let limit = Instant::now() + Duration::from(MAX_FOLLOW_WAIT) + margin;
        let result = timeout_at(limit, client.follow(request)).await;
        let label = if matches!(result, Ok(Ok(_))) { "answered" } else { "failed" };
        metrics::counter!(telemetry::FOLLOWS, "result" => label).increment(1);
        let (error, pause) = match result {
            Ok(Ok(reply)) => {
                if failures > 0 {
                    event!(Info, "follow_regained", peer = watcher, failures = failures);
                }
                failures = 0;
                if gateway.apply_replicas(&watcher, reply.into_inner(), sent_at) {
                    sleep(RETRY_PAUSE).await;
                }
                continue;
            }
            Ok(Err(err)) => (err.message().to_owned(), RETRY_PAUSE),
            Err(_) => ("timed out".to_owned(), Duration::ZERO),
        };
        gateway.mirror.clear_synced(&watcher);
        if failures == 0 {
            let after = gateway.clock.now().saturating_sub(sent_at);
            event!(Warn, "follow_lost", peer = watcher, after = after, error = error);
        }
        failures += 1;
        sleep(pause).await;
    }
}

impl State {
    /// Whether this gateway is one of those that watch the store for all.
    pub fn is_watcher(&self) -> bool {
        let own = self.own_member();
        let watchers = lock(&self.fleet).watchers(&own, self.clock.now());
        watchers.iter().any(|watcher| watcher.id == own.id)
    }

    /// Gateways to follow; none for a watcher that reaches the store.
    fn gateways_to_follow(&self) -> Vec<Member> {
        let is_watcher = self.is_watcher();
        if is_watcher && self.mirror.reaches_store() {
            return Vec::new();
        }
        let is_rejected = is_watcher || self.mirror.is_rejected();
        let sources = lock(&self.fleet).sources(&self.own_member(), self.clock.now(), is_rejected, FOLLOWED_GATEWAYS);
        // The caller compares members; a later report about a member must not make it look different.
        let comparable = |member| Member { last_seen: Millis::ZERO, reaches_store: false, ..member };
        sources.into_iter().map(comparable).collect()
    }

    fn own_member(&self) -> Member {
        Member {
            id: self.settings.id.clone(),
            address: self.settings.exchange,
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            last_seen: self.clock.now(),
            leaving: self.shutdown.requested(),
            reaches_store: self.mirror.reaches_store(),
        }
    }

    fn own_replicas(&self) -> Vec<Replica> {
        let replica = |kind: &Kind| {
            let copy = lock(self.mirror.copy(*kind));
            let place = copy.data.place().unwrap_or_default();
            Replica {
                kind: kind.index() as u32,
                era: Some(place.era().0),
                revision: place.revision(),
                changed: copy.data.changed().revision(),
                ..Replica::default()
            }
        };
        Kind::ALL.iter().map(replica).collect()
    }

    /// State of all copies, with the objects that the follower's copies lack.
    fn replicas_for(&self, request: &FollowRequest) -> Vec<Replica> {
        let now = self.clock.now();
        let known_by_follower = |kind: Kind| request.replicas.iter().find(|other| other.kind == kind.index() as u32);
        let replica = |&kind: &Kind| self.replica_for(kind, known_by_follower(kind), request.needs_large, now);
        Kind::ALL.iter().filter_map(replica).collect()
    }

    fn replica_for(&self, kind: Kind, known: Option<&Replica>, needs_large: bool, now: Millis) -> Option<Replica> {
        let reaches_store = self.mirror.reaches_store();
        let mut copy = lock(self.mirror.copy(kind));
        let source_age = copy.store_response_age(now).unwrap_or(NEVER);
        let is_current = source_age < confirmation::max_source_age(sync::watch_wait(kind));
        let place = copy.data.place()?;
        let mut replica = Replica {
            kind: kind.index() as u32,
            era: Some(place.era().0),
            revision: place.revision(),
            changed: copy.data.changed().revision(),
            proof_age_ms: copy.confirmation().age(now)?.0,
            sound: reaches_store && copy.is_synced_from_store() && is_current,
            source_age_ms: source_age.0,
            ..Replica::default()
        };
        // A follower that sends no era knows none, and compares revisions only.
        let changed_at = |known: &Replica| Place::new(known.era.map_or(place.era(), Era), known.changed);
        let known = known.map(changed_at).unwrap_or_default();
        if known >= copy.data.changed() {
            return Some(replica);
        }
        let encoded = match copy.lacking_since(known) {
            Ok(encoded) => encoded,
            Err(err) => {
                event!(Error, "copy_not_encoded", kind = kind, error = err);
                return Some(replica);
            }
        };
        let size = Bytes(encoded.json.len() as u64);
        if !needs_large && transfer::is_left_to_store(size, encoded.count, copy.data.listed().count()) {
            replica.left_to_store = true;
            return Some(replica);
        }
        replica.objects = encoded.json;
        replica.names = copy.data.listed().map(|object| object.metadata.name.to_string()).collect();
        Some(replica)
    }

    /// Applies a watcher's reply. Returns whether it left objects to the store that this gateway lacks.
    fn apply_replicas(&self, watcher: &HostId, reply: FollowReply, sent_at: Millis) -> bool {
        // The earliest time at which the watcher can have responded.
        let responded_at = sent_at + Millis(reply.held_ms);
        let mut lacks_objects = false;
        for replica in reply.replicas {
            let Some(&kind) = Kind::ALL.get(replica.kind as usize) else { continue };
            let source_at = responded_at.saturating_sub(Millis(replica.source_age_ms));
            let places = Places::of(&replica);
            self.store_era.record_peer(places.copy.era(), watcher.as_str());
            let lacks = replica.left_to_store && lock(self.mirror.copy(kind)).data.changed() < places.changed;
            let is_synced = replica.sound && !lacks && places.copy.era() == self.store_era.current();
            if lacks {
                event!(Info, "copy_left_to_store", kind = kind, peer = watcher, place = places.changed);
                metrics::counter!(telemetry::COPIES_LEFT_TO_STORE).increment(1);
                lacks_objects = true;
            }
            if let Err(err) = self.apply_replica(watcher, kind, replica, responded_at) {
                event!(Warn, "copy_malformed", kind = kind, peer = watcher, error = err);
                continue;
            }
            let by_source = source_at + confirmation::max_source_age(sync::watch_wait(kind));
            let until = if is_synced { by_source.min(self.clock.now() + SYNC_VALID_FOR) } else { Millis::ZERO };
            self.mirror.set_synced_until(watcher, kind, until);
        }
        lacks_objects
    }

    fn apply_replica(
        &self,
        watcher: &HostId,
        kind: Kind,
        replica: Replica,
        responded_at: Millis,
    ) -> Result<(), serde_json::Error> {
        let age = Millis(replica.proof_age_ms);
        let Places { copy: place, changed } = Places::of(&replica);
        let mut lacking = None;
        if !replica.objects.is_empty() {
            let parsed = ParsedObjects::from_json(&replica.objects, place)?;
            parsed.malformed.iter().for_each(|err| self.mirror.report_malformed(kind, err));
            lacking = Some(Lacking { objects: parsed.objects, names: replica.names });
        }
        let peer = PeerCopy { place, changed, lacking };
        self.update_copy(kind, watcher.as_str(), |copy| copy.merge(peer, responded_at, age));
        Ok(())
    }
}

/// Places of another gateway's copy.
struct Places {
    /// Place that the copy corresponds to.
    copy: Place,
    /// Place at which it last changed.
    changed: Place,
}

impl Places {
    /// The places in `replica`. Without an era they are earlier than those of any known era.
    fn of(replica: &Replica) -> Self {
        let era = Era(replica.era.unwrap_or_default());
        Self { copy: Place::new(era, replica.revision), changed: Place::new(era, replica.changed) }
    }
}
