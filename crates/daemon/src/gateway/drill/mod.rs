//! What stays in force when the store comes back from an older copy, kind by kind.
//!
//! Each gateway decides by what it knew itself, and learns from the others what it did not know: `recall`.

mod recall;

use std::time::Duration;

use compact_str::CompactString;
use eelgrasswell_core::{
    drill::{self, Retained},
    place::Place,
    store_copy::StoreCopy,
    unit::Millis,
};
use eelgrasswell_platform::objects::{self, CONFIG_NAME, Kind, Object};
use tokio::time::sleep;

use super::{Gateway, State};
use crate::{event, sync::lock, telemetry};

pub use recall::{Knowledge, Recalls, handle_request, inform, recall_from};

/// Interval at which objects are dropped that were not written again in time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of names in a line of the log.
const MAX_NAMES_LOGGED: usize = 8;
/// Source of a change, in logs, that ends the time of what was retained.
const EXPIRY: &str = "expiry";

/// Starts to drop what is retained and not written again in time.
pub fn spawn(gateway: Gateway) {
    tokio::spawn(async move {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            Kind::ALL.into_iter().for_each(|kind| gateway.expire_retained(kind));
        }
    });
}

impl State {
    /// Decides which of the objects that were in force before the era rose stay so.
    pub fn retain_superseded(&self, kind: Kind, copy: &mut StoreCopy<Object>) {
        let Some(superseded) = copy.take_superseded() else { return };
        let known = superseded.objects.into_values().map(|object| (object.metadata.name.clone(), Some(object)));
        let gone = self.listed_but_gone(kind, copy).into_iter().map(|name| (name, None));
        let (first_seen, now) = (copy.era_start(), self.clock.now());
        let mut names: Vec<CompactString> = Vec::new();
        for (name, object) in known.chain(gone).collect::<Vec<_>>() {
            let retained = Retained {
                place: object.as_ref().map_or(superseded.place, |object| object.metadata.place),
                first_seen,
                was_listed: copy.get_listed(&name).is_some(),
                until: retain_time(kind, object.as_ref()).map(|time| now + time),
                object,
            };
            if outlives(kind, &retained, copy.get_listed(&name)) && copy.retain(name.clone(), retained) {
                names.push(name);
            }
        }
        event!(
            Warn,
            "copy_of_new_era",
            kind = kind,
            place = first_seen,
            before = superseded.place,
            listed = copy.listed().count(),
            retained = names.len(),
            names = listed_names(&names)
        );
        metrics::counter!(telemetry::OBJECTS_RETAINED, "kind" => kind.path()).increment(names.len() as u64);
    }

    /// Names of the backend servers in the copy that are known to have left.
    fn listed_but_gone(&self, kind: Kind, copy: &StoreCopy<Object>) -> Vec<CompactString> {
        if kind != Kind::Backends {
            return Vec::new();
        }
        let (pool, now) = (lock(&self.pool), self.clock.now());
        let has_left =
            |object: &&Object| objects::decode_backend(object).is_ok_and(|backend| pool.has_left(now, &backend));
        copy.listed().filter(has_left).map(|object| object.metadata.name.clone()).collect()
    }

    fn expire_retained(&self, kind: Kind) {
        let expired = lock(self.mirror.copy(kind)).data.retained_mut().expire(self.clock.now());
        if expired.is_empty() {
            return;
        }
        event!(Warn, "retained_expired", kind = kind, names = listed_names(&expired));
        self.apply(kind, EXPIRY);
    }

    /// Stops retaining a configuration if the one in force is that of the copy, which last changed at `changed`. Returns whether
    /// it is.
    pub fn release_config(&self, changed: Place) -> bool {
        let is_covered = self.confirmed_config().is_some_and(|config| config.is_covered_by(changed));
        if is_covered {
            lock(self.mirror.copy(Kind::Config)).data.retained_mut().remove(CONFIG_NAME);
        }
        is_covered
    }
}

/// The first of `names`, for the log.
fn listed_names(names: &[CompactString]) -> String {
    names[..names.len().min(MAX_NAMES_LOGGED)].join(",")
}

/// Time for which an object stays in force without being written again; none for any time.
fn retain_time(kind: Kind, object: Option<&Object>) -> Option<Millis> {
    match (kind, object) {
        (Kind::Config, _) => None,
        (_, Some(_)) => Some(drill::RETAIN_TIME),
        (_, None) => Some(drill::RETAIN_GONE_TIME),
    }
}

/// Whether what was known stays in force although the copy has `listed` or nothing under its name.
fn outlives(kind: Kind, known: &Retained<Object>, listed: Option<&Object>) -> bool {
    let Some(object) = &known.object else { return listed.is_some() };
    match kind {
        Kind::Config => {
            let version = |object: &Object| objects::decode_routing_config(object).ok().map(|config| config.version);
            version(object).is_some_and(|known| drill::config_outlives(known, listed.and_then(version)))
        }
        Kind::Backends => {
            let (known, listed) = (objects::decode_backend(object), listed.map(objects::decode_backend));
            matches!((known, listed), (Ok(known), Some(Ok(listed))) if drill::server_outlives(&known, &listed))
        }
        Kind::Orders => {
            let listed = listed.and_then(|listed| objects::decode_order(listed).ok());
            objects::decode_order(object).is_ok_and(|known| drill::order_outlives(&known, listed.as_ref()))
        }
        Kind::Evacuations => listed.is_none(),
    }
}
