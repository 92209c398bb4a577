//! Copies of the store's objects from other gateways.
//!
//! A few gateways watch the store; the others wait at two of these for changes, so that the calls to the store do not
//! grow with the fleet. A gateway that no sound watcher serves calls the store itself. A watcher that is cut off from the
//! store waits at others in turn.

use std::time::Duration;

use eelgrasswell_core::{fleet::Member, hash::stable_hash, id::HostId, unit::Millis};
use eelgrasswell_platform::objects::{Kind, Object};
use eelgrasswell_proto::v1::{FollowReply, FollowRequest, Replica, fleet_client::FleetClient};
use tokio::{
    task::AbortHandle,
    time::{Instant, sleep, timeout_at},
};
use tonic::transport::Channel;

use super::{Gateway, State, exchange};
use crate::{event, sync::lock};

/// Gateways that one waits at.
const FOLLOWED: usize = 2;
/// Time that a watcher holds an answer back without a change.
const HOLD: Millis = Millis(500);
/// Longest time for an answer beyond `HOLD`.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after a sound watcher's answer for which a gateway leaves the store alone.
const SERVED_FOR: Millis = Millis(950);
/// Pause after a failed call to a watcher.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which the watchers are chosen anew.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);

/// Answers a gateway that follows this one.
pub async fn answer(gateway: &Gateway, request: &FollowRequest) -> FollowReply {
    let began = Instant::now();
    let until = began + Duration::from(Millis(request.wait_ms).min(HOLD));
    let mut changes = gateway.mirror.subscribe();
    let sound = |replicas: &[Replica]| replicas.iter().map(|replica| replica.sound).collect::<Vec<_>>();
    let mut at_first = None;
    loop {
        changes.borrow_and_update();
        let replicas = gateway.replicas_for(request);
        let has_objects = replicas.iter().any(|replica| !replica.objects.is_empty());
        let has_news = has_objects || *at_first.get_or_insert_with(|| sound(&replicas)) != sound(&replicas);
        if has_news || Instant::now() >= until {
            return FollowReply { held_ms: Millis::from(began.elapsed()).0, replicas };
        }
        // Whether it ends by a change or by the time limit, the copies are looked at again.
        let _ = timeout_at(until, changes.changed()).await;
    }
}

/// Starts to follow watchers.
pub fn spawn(gateway: Gateway) {
    tokio::spawn(async move {
        let mut followed: Vec<(Member, AbortHandle)> = Vec::new();
        loop {
            let wanted = gateway.followed();
            followed.retain(|(member, task)| {
                let stays = wanted.contains(member);
                if !stays {
                    task.abort();
                    gateway.mirror.set_unserved(&member.id);
                }
                stays
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

async fn follow(gateway: Gateway, watcher: HostId, channel: Channel) {
    let mut client = FleetClient::new(channel);
    loop {
        let asked = gateway.clock.now();
        let request = FollowRequest { wait_ms: HOLD.0, replicas: gateway.own_replicas() };
        let limit = Instant::now() + Duration::from(HOLD) + ANSWER_TIMEOUT;
        match timeout_at(limit, client.follow(request)).await {
            Ok(Ok(reply)) => gateway.take_replicas(&watcher, reply.into_inner(), asked),
            Ok(Err(err)) => {
                gateway.mirror.set_unserved(&watcher);
                event!(Debug, "follow_failed", peer = watcher, error = err.message());
                sleep(RETRY_PAUSE).await;
            }
            Err(_) => {
                gateway.mirror.set_unserved(&watcher);
                event!(Debug, "follow_failed", peer = watcher, error = "timed out");
            }
        }
    }
}

impl State {
    /// Whether this gateway watches the store for others.
    pub fn is_watcher(&self) -> bool {
        let own = self.own_member();
        let watchers = lock(&self.fleet).watchers(&own, self.clock.now());
        watchers.iter().any(|watcher| watcher.id == own.id)
    }

    /// Gateways to follow: watchers, or for a watcher that does not reach the store, others that may.
    fn followed(&self) -> Vec<Member> {
        let own = self.own_member();
        let now = self.clock.now();
        let fleet = lock(&self.fleet);
        let mut followed = fleet.watchers(&own, now);
        if followed.iter().any(|watcher| watcher.id == own.id) {
            if self.mirror.reaches_store() {
                return Vec::new();
            }
            followed = fleet.alive(now).into_iter().cloned().collect();
        }
        followed.sort_by_key(|member| stable_hash(&[own.id.as_str(), member.id.as_str()]));
        followed.truncate(FOLLOWED);
        // The time of the last word does not make another member of it.
        followed.into_iter().map(|member| Member { last_seen: Millis::ZERO, ..member }).collect()
    }

    fn own_member(&self) -> Member {
        Member {
            id: self.settings.id.clone(),
            address: self.settings.exchange,
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            last_seen: self.clock.now(),
            leaving: self.shutdown.requested(),
        }
    }

    fn own_replicas(&self) -> Vec<Replica> {
        let replica = |kind: &Kind| {
            let copy = lock(self.mirror.copy(*kind));
            Replica {
                kind: kind.index() as u32,
                revision: copy.revision().unwrap_or_default(),
                changed: copy.changed(),
                ..Replica::default()
            }
        };
        Kind::ALL.iter().map(replica).collect()
    }

    /// The copies, with what those of the asker lack.
    fn replicas_for(&self, request: &FollowRequest) -> Vec<Replica> {
        let now = self.clock.now();
        let known = |kind: Kind| request.replicas.iter().find(|other| other.kind == kind.index() as u32);
        Kind::ALL.iter().filter_map(|&kind| self.replica_for(kind, known(kind), now)).collect()
    }

    fn replica_for(&self, kind: Kind, known: Option<&Replica>, now: Millis) -> Option<Replica> {
        let reaches_store = self.mirror.reaches_store();
        let copy = lock(self.mirror.copy(kind));
        let mut replica = Replica {
            kind: kind.index() as u32,
            revision: copy.revision()?,
            changed: copy.changed(),
            proof_age_ms: copy.age(now)?.0,
            sound: reaches_store && copy.is_sound(),
            ..Replica::default()
        };
        let since = known.map_or(0, |known| known.changed);
        if since >= copy.changed() {
            return Some(replica);
        }
        let changed: Vec<&Object> = copy.objects().filter(|object| object.metadata.revision > since).collect();
        match serde_json::to_vec(&changed) {
            Ok(bytes) => {
                replica.objects = bytes.into();
                replica.names = copy.objects().map(|object| object.metadata.name.to_string()).collect();
            }
            Err(err) => event!(Error, "copy_not_encoded", kind = kind, error = err),
        }
        Some(replica)
    }

    fn take_replicas(&self, watcher: &HostId, reply: FollowReply, asked: Millis) {
        let answered = asked + Millis(reply.held_ms);
        for replica in reply.replicas {
            let Some(&kind) = Kind::ALL.get(replica.kind as usize) else { continue };
            let sound = replica.sound;
            if let Err(err) = self.take_replica(kind, replica, answered) {
                event!(Warn, "copy_malformed", kind = kind, peer = watcher, error = err);
                continue;
            }
            let until = if sound { self.clock.now() + SERVED_FOR } else { Millis::ZERO };
            self.mirror.set_served_until(watcher, kind, until);
        }
    }

    fn take_replica(&self, kind: Kind, replica: Replica, answered: Millis) -> Result<(), serde_json::Error> {
        let age = Millis(replica.proof_age_ms);
        {
            let mut copy = lock(self.mirror.copy(kind));
            copy.note_others_proof(answered.saturating_sub(age));
            if copy.revision().is_some_and(|known| known > replica.revision) {
                // The own copy is newer; an older proof says nothing about it.
                return Ok(());
            }
            if replica.objects.is_empty() {
                if copy.changed() >= replica.changed && copy.revision().is_some() {
                    copy.relayed(replica.revision, answered, age);
                }
                return Ok(());
            }
            let objects: Vec<Object> = serde_json::from_slice(&replica.objects)?;
            copy.merge(objects, &replica.names, replica.revision, replica.changed);
            copy.relayed(replica.revision, answered, age);
        }
        self.apply(kind);
        Ok(())
    }
}
