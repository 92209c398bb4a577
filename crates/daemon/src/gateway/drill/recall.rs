//! What other gateways retain: a gateway that started after the store came back, or that had missed a change before, reads it
//! from those that knew it.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use eelgrasswell_core::{
    drill::Retained,
    hash::{HashMap, stable_hash},
    id::{Era, HostId, Revision},
    place::Place,
    unit::Millis,
};
use eelgrasswell_platform::objects::{Kind, Object, ParsedObjects};
use eelgrasswell_proto::v1::{
    FleetState, RecallReply, RecallRequest, RetainedObject, StoreHistory, fleet_client::FleetClient,
};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::sleep;
use tonic::{Status, transport::Channel};

use super::{listed_names, outlives};
use crate::{
    event,
    gateway::{Gateway, State, exchange},
    sync::lock,
};

/// Interval at which a gateway checks whether it has read the store.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which it asks the others again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a gateway no longer waits for others that have not read the store since it came back.
const ASK_TIMEOUT: Millis = Millis(2_000);

/// What this gateway has learned from the others about the store's history.
#[derive(Default)]
pub struct Recalls {
    /// Whether it is known what other gateways retain.
    informed: AtomicBool,
    /// Highest version of the configuration that another gateway has in force.
    newest_config: AtomicU64,
    /// Hash of what each gateway retained when it was last asked.
    read: Mutex<HashMap<HostId, u64>>,
}

impl State {
    /// Whether confirmations count: this gateway has learned what the others know, and lacks no version of the configuration
    /// that another one has.
    pub fn may_confirm(&self, version: Revision) -> bool {
        let informed = self.recalls.informed.load(Ordering::Relaxed) || self.store_era.current() == Era::default();
        informed && version.0 >= self.recalls.newest_config.load(Ordering::Relaxed)
    }

    /// Records that it is known what other gateways retain, so that confirmations count from now on.
    pub fn set_informed(&self) {
        if !self.recalls.informed.swap(true, Ordering::Relaxed) {
            self.update_copy(Kind::Config, "informed", |_| false);
        }
    }

    /// Whether all copies have been read in the present era.
    pub fn has_read_era(&self) -> bool {
        let era = self.store_era.current();
        let is_current =
            |&kind: &Kind| lock(self.mirror.copy(kind)).data.place().is_some_and(|place| place.era() == era);
        Kind::ALL.iter().all(is_current)
    }

    /// What this gateway tells the others about the store's history.
    pub fn store_history(&self) -> StoreHistory {
        let age = |at| self.clock.now().saturating_sub(at).0;
        StoreHistory {
            era: self.store_era.current().0,
            risen_ago_ms: self.store_era.risen_at().map(age),
            config_version: self.config().map_or(0, |config| config.version.0),
            retained: self.retained_hash(),
            informed: self.recalls.informed.load(Ordering::Relaxed),
            read: self.has_read_era(),
        }
    }

    /// Records what another gateway knows of the store's history.
    pub fn record_history(&self, state: &FleetState) {
        let Some(history) = &state.history else { return };
        self.store_era.record_peer(Era(history.era), &state.id);
        if let Some(age) = history.risen_ago_ms {
            self.store_era.merge_rise(Era(history.era), self.clock.now().saturating_sub(Millis(age)));
        }
        self.recalls.newest_config.fetch_max(history.config_version, Ordering::Relaxed);
    }

    /// Hash of the names and places of all that is retained; 0 if nothing is.
    fn retained_hash(&self) -> u64 {
        let hash_of = |kind: Kind| {
            let copy = lock(self.mirror.copy(kind));
            let hashes = copy.data.retained().iter().map(|(name, retained)| {
                let is_gone = if retained.object.is_none() { "gone" } else { "" };
                stable_hash(&[kind.path(), name, &retained.place.to_string(), is_gone])
            });
            hashes.fold(0, |sum: u64, hash| sum.wrapping_add(hash))
        };
        Kind::ALL.into_iter().map(hash_of).fold(0, u64::wrapping_add)
    }

    /// Retains what another gateway retains and this one does not know better.
    fn merge_recalled(&self, peer: &HostId, reply: RecallReply) {
        if Era(reply.era) != self.store_era.current() {
            return;
        }
        for kind in Kind::ALL {
            let of_kind = reply.objects.iter().filter(|object| object.kind == kind.index() as u32);
            let recalled: Vec<_> = of_kind.filter_map(|object| self.decode(object, Era(reply.era))).collect();
            let names: Vec<CompactString> = {
                let mut copy = lock(self.mirror.copy(kind));
                let mut retain = |(name, retained): &(CompactString, Retained<_>)| {
                    outlives(kind, retained, copy.data.get_listed(name))
                        && copy.data.retain(name.clone(), retained.clone())
                };
                recalled.iter().filter(|recalled| retain(recalled)).map(|(name, _)| name.clone()).collect()
            };
            if !names.is_empty() {
                let (retained, names) = (names.len(), listed_names(&names));
                event!(Warn, "retained_recalled", kind = kind, peer = peer, retained = retained, names = names);
                self.apply(kind, peer.as_str());
            }
        }
    }

    /// Decodes what another gateway retains of an era before `present`; none if it can't be read.
    fn decode(&self, message: &RetainedObject, present: Era) -> Option<(CompactString, Retained<Object>)> {
        let place = Place::new(Era(message.era), message.revision);
        if place.era() >= present {
            return None;
        }
        let mut object = None;
        if !message.object.is_empty() {
            let json = [b"[", &message.object[..], b"]"].concat();
            object = Some(ParsedObjects::from_json(&json, place).ok()?.objects.pop()?);
        }
        let retained = Retained {
            object,
            place,
            first_seen: Place::new(present, message.first_seen),
            was_listed: message.was_listed,
            until: message.remaining_ms.map(|ms| self.clock.now() + Millis(ms)),
        };
        Some((message.name.as_str().into(), retained))
    }

    fn recall_reply(&self) -> Result<RecallReply, serde_json::Error> {
        let now = self.clock.now();
        let mut objects = Vec::new();
        for kind in Kind::ALL {
            let copy = lock(self.mirror.copy(kind));
            for (name, retained) in copy.data.retained().iter() {
                let object = retained.object.as_ref().map(serde_json::to_vec).transpose()?;
                objects.push(RetainedObject {
                    kind: kind.index() as u32,
                    name: name.to_string(),
                    object: object.unwrap_or_default().into(),
                    era: retained.place.era().0,
                    revision: retained.place.revision(),
                    first_seen: retained.first_seen.revision(),
                    was_listed: retained.was_listed,
                    remaining_ms: retained.until.map(|until| until.saturating_sub(now).0),
                });
            }
        }
        Ok(RecallReply { era: self.store_era.current().0, objects })
    }
}

/// Handles a request of another gateway for what this one retains.
pub fn handle_request(gateway: &Gateway) -> Result<RecallReply, Status> {
    gateway.recall_reply().map_err(|err| Status::internal(err.to_string()))
}

/// What another gateway can tell of what stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// All that it knows, and this gateway has read it.
    Read,
    /// More than it could tell yet: one of the two gateways has not read the store since it came back.
    Pending,
    /// Nothing: it has just started itself, knows no eras, or did not answer.
    None,
}

/// Reads what the gateway that sent `state` retains, if that is not known yet.
pub async fn recall_from(gateway: &Gateway, channel: Channel, state: &FleetState) -> Knowledge {
    let Some(history) = &state.history else { return Knowledge::None };
    if Era(history.era) != gateway.store_era.current() || !gateway.has_read_era() || !history.read {
        return if history.informed { Knowledge::Pending } else { Knowledge::None };
    }
    let peer = HostId::from(state.id.as_str());
    let is_known = history.retained == 0 || lock(&gateway.recalls.read).get(&peer) == Some(&history.retained);
    if !is_known {
        match FleetClient::new(channel).recall(RecallRequest {}).await {
            Ok(reply) => gateway.merge_recalled(&peer, reply.into_inner()),
            Err(err) => {
                event!(Info, "recall_failed", peer = peer, error = err.message());
                return Knowledge::None;
            }
        }
        lock(&gateway.recalls.read).insert(peer, history.retained);
    }
    if history.informed { Knowledge::Read } else { Knowledge::None }
}

/// Which gateways must tell what they know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// The first one that has been informed itself. At the start, any of those knows enough.
    First,
    /// All that answer. When the era rises, each one may know of a change that no other has seen.
    All,
}

/// Learns what the other gateways know, at the start and whenever the era rises.
pub async fn inform(gateway: Gateway) {
    let mut rises = gateway.store_era.subscribe();
    ask_peers(&gateway, Asked::First).await;
    gateway.set_informed();
    while rises.changed().await.is_ok() {
        ask_peers(&gateway, Asked::All).await;
    }
}

/// Asks the other gateways once this one has read the store, and again for a time while some can't tell yet.
async fn ask_peers(gateway: &Gateway, asked: Asked) {
    while !gateway.has_read_era() {
        sleep(READ_CHECK_INTERVAL).await;
    }
    // A store that names no era does not come back from an older copy.
    if gateway.store_era.current() == Era::default() {
        return;
    }
    let give_up_at = gateway.clock.now() + ASK_TIMEOUT;
    while gateway.clock.now() < give_up_at && ask_once(gateway, asked).await == Knowledge::Pending {
        sleep(ASK_INTERVAL).await;
    }
}

async fn ask_once(gateway: &Gateway, asked: Asked) -> Knowledge {
    let exchange = |address| Box::pin(exchange::exchange_with(gateway.clone(), address, exchange::connect(address)));
    let mut exchanges: FuturesUnordered<_> = gateway.peers_to_contact().into_iter().map(exchange).collect();
    let mut found = Knowledge::None;
    while let Some(knowledge) = exchanges.next().await {
        match knowledge {
            Knowledge::Read if asked == Asked::First => return Knowledge::Read,
            Knowledge::Pending => found = Knowledge::Pending,
            Knowledge::Read | Knowledge::None => {}
        }
    }
    found
}
