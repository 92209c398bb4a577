//! Keys that authenticate session ids, kept at the platform.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eelgrasswell_core::{
    id::{CustomerId, ModelName, VersionName},
    refusal::{Reason, Refusal},
    retry,
    session::{Key, Keys, Session},
    unit::Millis,
};
use eyre::{Result, WrapErr, bail};
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock::Clock,
    event,
    platform::{Platform, Put},
};

/// Object with the keys.
const OBJECT: &str = "keys/session";
/// Shortest time between two reads. With 350 routers this makes fewer than 12 reads a second.
const REFRESH: Duration = Duration::from_secs(30);
/// Largest random addition to `REFRESH`, so that routers do not read in step.
const REFRESH_SPREAD: Duration = Duration::from_secs(10);
/// When a caller should ask again while no key is known.
const NO_KEYS_RETRY: Millis = Millis(1_000);

/// Shared handle on the session keys.
#[derive(Clone)]
pub struct Sessions {
    platform: Platform,
    keys: Arc<watch::Sender<Option<Arc<Keys>>>>,
}

impl Sessions {
    /// Starts without keys.
    pub fn open(platform: Platform, _clock: Clock) -> Self {
        Self { platform, keys: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts reading and refreshing the keys.
    pub fn spawn(&self) {
        let sessions = self.clone();
        tokio::spawn(async move {
            let mut failures = 0;
            loop {
                match sessions.refresh().await {
                    Ok(()) => failures = 0,
                    Err(err) => {
                        // The keys at hand stay in use through an outage of the platform.
                        event!(Warn, "session_keys_not_read", error = format!("{err:#}"));
                        failures += 1;
                    }
                }
                sleep(sessions.pause(failures)).await;
            }
        });
    }

    /// Whether session ids can be issued and verified.
    pub fn is_ready(&self) -> bool {
        self.keys.borrow().is_some()
    }

    /// Waits until session ids can be issued and verified.
    pub async fn ready(&self) {
        let _ = self.keys.subscribe().wait_for(Option::is_some).await;
    }

    /// Issues a session id that pins `version` of `model`; none while no key is known.
    pub fn issue(&self, customer: &CustomerId, model: &ModelName, version: &VersionName) -> Option<String> {
        let keys = self.keys.borrow().clone()?;
        let issued_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Some(keys.issue(&Session {
            customer: customer.clone(),
            model: model.clone(),
            version: version.clone(),
            issued_at: issued_at.into(),
            nonce: rand::random(),
        }))
    }

    /// The model and version that the session id of `customer` pins.
    pub fn verify(&self, customer: &CustomerId, session: &str) -> Result<(ModelName, VersionName), Refusal> {
        let keys = self.keys.borrow().clone().ok_or_else(keys_unavailable)?;
        match keys.verify(customer, session) {
            Ok(session) => Ok((session.model, session.version)),
            Err(err) => {
                event!(Info, "session_refused", customer = customer, error = err);
                Err(Refusal::not_run(Reason::SessionInvalid))
            }
        }
    }

    /// Reads the keys once, and creates them when the platform has none.
    async fn refresh(&self) -> Result<()> {
        if let Some(object) = self.platform.get(OBJECT).await? {
            let keys = serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse {OBJECT}"))?;
            self.adopt(keys);
            return Ok(());
        }
        // Keys at hand are written again: sessions that were issued with them must stay valid.
        let held = self.keys.borrow().clone();
        let keys = held.map_or_else(draw, |keys| Keys::clone(&keys));
        let value = serde_json::to_vec(&keys).wrap_err_with(|| format!("could not write {OBJECT}"))?;
        match self.platform.put(OBJECT, 0, value.into()).await? {
            Put::Done(_) => {
                self.adopt(keys);
                event!(Info, "session_keys_created");
                Ok(())
            }
            Put::Conflict => bail!("could not create {OBJECT}: another router was first"),
        }
    }

    fn adopt(&self, keys: Keys) {
        self.keys.send_if_modified(|held| {
            let changed = held.as_deref() != Some(&keys);
            if changed {
                event!(Info, "session_keys_adopted", current = keys.current.id);
                *held = Some(Arc::new(keys));
            }
            changed
        });
    }

    /// Time to the next read: short after a failure while there are no keys.
    fn pause(&self, failures: u32) -> Duration {
        let mut rng = rand::rng();
        if failures > 0 && !self.is_ready() {
            return retry::backoff(failures, &mut rng).into();
        }
        REFRESH + REFRESH_SPREAD.mul_f64(rng.random_range(0.0..1.0))
    }
}

/// Refusal while no key is known. The id may well be valid, so it is not called invalid.
pub fn keys_unavailable() -> Refusal {
    Refusal::not_run(Reason::StaleConfig).retry_after(NO_KEYS_RETRY)
}

fn draw() -> Keys {
    Keys { current: Key { id: rand::random(), secret: rand::random() }, previous: None }
}
