//! Keys that authenticate session ids. The platform stores them.

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

/// Key of the platform object that contains the session keys.
const KEYS_OBJECT: &str = "keys/session";
/// Minimum interval between two reads. With 350 routers this makes fewer than 12 reads a second.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum random time added to `MIN_REFRESH_INTERVAL`, so that routers do not all read at the same time.
const REFRESH_JITTER: Duration = Duration::from_secs(10);
/// Time after which a caller should retry while no key is known.
const KEYS_UNAVAILABLE_RETRY_AFTER: Millis = Millis(1_000);

/// Shared handle on the session keys.
#[derive(Clone)]
pub struct Sessions {
    platform: Platform,
    keys: Arc<watch::Sender<Option<Arc<Keys>>>>,
}

impl Sessions {
    /// Creates the component without keys.
    pub fn open(platform: Platform, _clock: Clock) -> Self {
        Self { platform, keys: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts the task that reads and refreshes the keys.
    pub fn spawn(&self) {
        let sessions = self.clone();
        tokio::spawn(async move {
            let mut failures = 0;
            loop {
                match sessions.refresh().await {
                    Ok(()) => failures = 0,
                    Err(err) => {
                        // During an outage of the platform the keys that were read last stay in use.
                        event!(Warn, "session_keys_not_read", error = format!("{err:#}"));
                        failures += 1;
                    }
                }
                sleep(sessions.refresh_delay(failures)).await;
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

    /// Issues a session id that pins `version` of `model`. Returns none while no key is known.
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

    /// Verifies a session id of `customer` and returns the model and version that it pins.
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

    /// Reads the keys once, and creates them if the platform has none.
    async fn refresh(&self) -> Result<()> {
        if let Some(object) = self.platform.get(KEYS_OBJECT).await? {
            let keys =
                serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse {KEYS_OBJECT}"))?;
            self.adopt(keys);
            return Ok(());
        }
        // If this router already has keys, it writes them again: sessions issued with them must stay valid.
        let known = self.keys.borrow().clone();
        let keys = known.map_or_else(generate_keys, |keys| Keys::clone(&keys));
        let value = serde_json::to_vec(&keys).wrap_err_with(|| format!("could not serialise {KEYS_OBJECT}"))?;
        match self.platform.put(KEYS_OBJECT, 0, value.into()).await? {
            Put::Done(_) => {
                self.adopt(keys);
                event!(Info, "session_keys_created");
                Ok(())
            }
            Put::Conflict => bail!("could not create {KEYS_OBJECT}: another router has created it"),
        }
    }

    /// Puts `keys` in use if they differ from the known ones.
    fn adopt(&self, keys: Keys) {
        self.keys.send_if_modified(|known| {
            let changed = known.as_deref() != Some(&keys);
            if changed {
                event!(Info, "session_keys_adopted", current = keys.current.id);
                *known = Some(Arc::new(keys));
            }
            changed
        });
    }

    /// Delay until the next read: the refresh interval, or a retry backoff while reads fail and no key
    /// is known.
    fn refresh_delay(&self, failures: u32) -> Duration {
        let mut rng = rand::rng();
        if failures > 0 && !self.is_ready() {
            return retry::backoff(failures, &mut rng).into();
        }
        MIN_REFRESH_INTERVAL + REFRESH_JITTER.mul_f64(rng.random_range(0.0..1.0))
    }
}

/// Refusal of a request while no key is known. The reason is not `SessionInvalid`, since the session
/// id may be valid.
pub fn keys_unavailable() -> Refusal {
    Refusal::not_run(Reason::StaleConfig).retry_after(KEYS_UNAVAILABLE_RETRY_AFTER)
}

fn generate_keys() -> Keys {
    Keys { current: Key { id: rand::random(), secret: rand::random() }, previous: None }
}
