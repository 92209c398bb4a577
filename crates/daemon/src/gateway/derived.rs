//! Updates what a gateway derives from the copies of the store's objects: the configuration in force, the pool of backend
//! servers, rollouts and evacuations.

use std::sync::{Arc, PoisonError};

use compact_str::CompactString;
use eelgrasswell_core::{
    canary::{Canary, KeptSession, Order, OrderState},
    confirmation::{Confirmed, Offer},
    hash::{HashMap, HashSet},
    id::ServiceName,
    outage,
    place::Place,
    routing_config::RoutingConfig,
    unit::Millis,
};
use eelgrasswell_platform::objects::{self, CONFIG_NAME, Kind, Object};

use super::{State, mirror::ObjectCopy};
use crate::{event, sync::lock, telemetry};

impl State {
    /// Changes the copy of `kind` by data from `source`: the store, or another gateway. `change` returns whether objects
    /// changed; if so, the state that is derived from the copy is updated. Only then does a confirmation count that `change`
    /// recorded. Returns whether objects changed.
    pub fn update_copy(&self, kind: Kind, source: &str, change: impl FnOnce(&mut ObjectCopy) -> bool) -> bool {
        let copy = self.mirror.copy(kind);
        let has_changed = {
            let mut copy = lock(copy);
            let has_changed = change(&mut copy);
            self.retain_superseded(kind, &mut copy.data);
            has_changed
        };
        if has_changed {
            self.apply(kind, source);
            lock(copy).set_applied();
        }
        if kind == Kind::Config {
            let (changed, confirmation) = {
                let copy = lock(copy);
                (copy.data.changed(), copy.confirmation())
            };
            if let Some(config) = &mut *self.config.write().unwrap_or_else(PoisonError::into_inner)
                && self.may_confirm(config.value().version)
            {
                config.confirm(changed, confirmation);
            }
        }
        has_changed
    }

    /// Updates what is derived from the copy of `kind`, which holds data from `source`.
    pub fn apply(&self, kind: Kind, source: &str) {
        match kind {
            Kind::Config => self.apply_config(source),
            Kind::Backends => self.apply_backends(),
            Kind::Orders => self.apply_orders(),
            Kind::Evacuations => self.apply_evacuations(),
        }
    }

    fn apply_config(&self, source: &str) {
        let (object, changed, age, retained) = {
            let copy = lock(self.mirror.copy(Kind::Config));
            let age = copy.confirmation().age(self.clock.now());
            let retained = copy.data.retained().get(CONFIG_NAME).and_then(|retained| retained.object.clone());
            (copy.data.get_listed(CONFIG_NAME).cloned(), copy.data.changed(), age, retained)
        };
        self.apply_config_object(object, changed, source, age);
        if self.release_config(changed) {
            return;
        }
        // What is retained from an earlier era is not covered by confirmations of the copy.
        if let Some(retained) = retained {
            let place = retained.metadata.place;
            self.apply_config_object(Some(retained), place, "retained", age);
        }
    }

    fn apply_config_object(&self, object: Option<Object>, changed: Place, source: &str, age: Option<Millis>) {
        let decoded = object.as_ref().map(objects::decode_routing_config);
        if let Some(Err(err)) = &decoded {
            self.mirror.report_malformed(Kind::Config, err);
        }
        let config = decoded.and_then(Result::ok);
        let version = config.as_ref().map(|config| config.version);
        if self.offer_config(config, changed) {
            let (version, place) = (version.unwrap_or_default(), object.unwrap_or_default().metadata.place);
            let age = age.unwrap_or_default();
            event!(Info, "config_adopted", config = version, place = place, source = source, age = age);
            metrics::gauge!(telemetry::CONFIG_VERSION).set(version.0 as f64);
        }
    }

    /// Puts `config` in force if it is newer than the current one, and returns whether it is. It comes from a copy that last
    /// changed at `changed`; none if the copy has none that can be used.
    fn offer_config(&self, config: Option<RoutingConfig>, changed: Place) -> bool {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let Some(current) = &mut *current else {
            *current = config.map(|config| Confirmed::new(Arc::new(config), changed));
            return current.is_some();
        };
        let offer = current.offer_value(config.map(Arc::new), changed, |config| config.version);
        if offer == Offer::Worse && !current.is_covered_by(changed) {
            event!(Warn, "config_older", config = current.value().version, changed = changed);
        }
        offer == Offer::Newer(())
    }

    fn apply_backends(&self) {
        let now = self.clock.now();
        let grace = self.mirror.missing_grace(now).max(outage::grace_after_rise(now, self.store_era.risen_at()));
        let (list, gone): (Vec<_>, Vec<CompactString>) = {
            let copy = lock(self.mirror.copy(Kind::Backends));
            let gone = copy.data.retained().iter().filter(|(_, retained)| retained.object.is_none());
            (copy.data.objects().map(objects::decode_backend).collect(), gone.map(|(name, _)| name.clone()).collect())
        };
        let mut backends = Vec::with_capacity(list.len());
        for entry in list {
            match entry {
                Ok(backend) => backends.push(backend),
                Err(err) => self.mirror.report_malformed(Kind::Backends, &err),
            }
        }
        let changes = {
            let mut pool = lock(&self.pool);
            pool.set_gone(now, gone.iter().map(CompactString::as_str));
            pool.update(now, backends, grace)
        };
        self.refresh_admission();
        for id in changes.added {
            event!(Info, "backend_added", backend = id);
        }
        for id in changes.draining {
            event!(Info, "backend_draining", backend = id);
        }
        for id in changes.missing {
            event!(Info, "backend_missing", backend = id, grace = grace);
        }
        for id in changes.removed {
            event!(Info, "backend_gone", backend = id);
        }
    }

    fn apply_orders(&self) {
        let now = self.clock.now();
        let (entries, era_start): (Vec<_>, Place) = {
            let copy = lock(self.mirror.copy(Kind::Orders));
            (copy.data.objects().map(objects::decode_order).collect(), copy.data.era_start())
        };
        let mut orders: HashMap<ServiceName, Order> = HashMap::default();
        let mut malformed: HashSet<ServiceName> = HashSet::default();
        for entry in entries {
            match entry {
                Ok(order) => {
                    orders.insert(order.service.clone(), order);
                }
                Err(err) => {
                    self.mirror.report_malformed(Kind::Orders, &err);
                    malformed.insert(err.name.as_str().into());
                }
            }
        }
        self.withdraw_bad_versions();
        let session_time = self.session_timeout();
        let recent_sessions: Vec<(u64, Millis)> = lock(&self.sessions).last_used(now).collect();
        let mut received: Vec<Order> = Vec::new();
        let mut canaries = lock(&self.canaries);
        canaries.retain(|service, canary| {
            let order = orders.get(service);
            order.is_some_and(|order| order.target == canary.order().target) || malformed.contains(service)
        });
        for (service, order) in orders {
            let state = order.state;
            let canary = canaries.entry(service).or_insert_with(|| {
                event!(Info, "order_received", service = order.service, target = order.target);
                received.push(order.clone());
                let mut canary = Canary::new(order, now);
                for &(session, last_used) in &recent_sessions {
                    canary.pin_to_old(now, KeptSession { session, last_used }, session_time);
                }
                canary
            });
            canary.set_stored_state(state);
        }
        drop(canaries);
        let mut pool = lock(&self.pool);
        for Order { service, target, place, state, .. } in received {
            // An order that was taken up before the older copy was made is no new one.
            if place > era_start || state == OrderState::New {
                pool.record_order(&service, &target, place);
            }
        }
        drop(pool);
        self.withdraw_bad_versions();
    }

    fn apply_evacuations(&self) {
        let domains: Vec<_> =
            lock(self.mirror.copy(Kind::Evacuations)).data.objects().map(objects::evacuated_domain).collect();
        event!(Info, "evacuations_changed", count = domains.len());
        lock(&self.pool).set_evacuated(domains);
        self.refresh_admission();
    }
}
