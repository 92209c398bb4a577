//! The era of the store, as this gateway knows it from all its calls and from other gateways.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use eelgrasswell_core::{
    id::Era,
    place::{EraClock, EraFinding},
    unit::Millis,
};
use eelgrasswell_platform::store::MalformedEra;
use tokio::sync::watch;

use crate::{clock::BootClock, event, sync::lock, telemetry};

/// The highest era that is known. Cheap to clone; all clones share it.
#[derive(Clone)]
pub struct StoreEra(Arc<Shared>);

struct Shared {
    clock: BootClock,
    eras: Mutex<EraClock>,
    /// Notified when the era rises. The first era that is learned is no rise.
    rises: watch::Sender<()>,
    /// Whether a response without a plausible era was reported.
    reported_odd: AtomicBool,
}

impl StoreEra {
    /// An era that is not known yet.
    pub fn open(clock: BootClock) -> Self {
        let rises = watch::Sender::new(());
        Self(Arc::new(Shared { clock, eras: Mutex::default(), rises, reported_odd: AtomicBool::default() }))
    }

    /// The highest era that is known; the lowest of all before the first one.
    pub fn current(&self) -> Era {
        lock(&self.0.eras).era()
    }

    /// Time at which the store was seen to come back from an older copy; none if no gateway is known to have seen it.
    pub fn risen_at(&self) -> Option<Millis> {
        lock(&self.0.eras).risen_at()
    }

    /// Returns a receiver that is notified when the era rises.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.0.rises.subscribe()
    }

    /// Records the era of a response to a call that was sent when the era was `sent_in`, and returns the era that counts for the
    /// response; none if it is from before the store came back. A response that names no plausible era counts as of `sent_in`:
    /// it can't be older, and if it is newer, the next response shows that.
    pub fn record_response(&self, header: Result<Option<Era>, MalformedEra>, sent_in: Era) -> Option<Era> {
        let odd = match header {
            Ok(Some(era)) => match self.observe(era, "store") {
                EraFinding::Current | EraFinding::First | EraFinding::Risen(_) => return Some(era),
                EraFinding::Late => {
                    metrics::counter!(telemetry::STORE_LATE_RESPONSES).increment(1);
                    return None;
                }
                EraFinding::Implausible => format!("{era} is too high"),
            },
            Ok(None) => "none".into(),
            Err(err) => err.to_string(),
        };
        if !self.0.reported_odd.swap(true, Ordering::Relaxed) {
            event!(Info, "store_era_missing", known = sent_in, found = odd);
        }
        Some(sent_in).filter(|sent_in| *sent_in == self.current())
    }

    /// Records the era that another gateway knows, if it knows one.
    pub fn record_peer(&self, era: Era, peer: &str) {
        if era > Era::default() {
            self.observe(era, peer);
        }
    }

    /// Records that another gateway saw `era` rise at `at`.
    pub fn merge_rise(&self, era: Era, at: Millis) {
        lock(&self.0.eras).merge_rise(era, at);
    }

    fn observe(&self, era: Era, source: &str) -> EraFinding {
        let finding = lock(&self.0.eras).observe(era, self.0.clock.now());
        match finding {
            EraFinding::First => event!(Info, "store_era_learned", era = era, source = source),
            EraFinding::Risen(known) => {
                event!(Warn, "store_era_risen", era = era, known = known, source = source);
                metrics::counter!(telemetry::STORE_ERA_RISES).increment(1);
                self.0.rises.send_replace(());
            }
            EraFinding::Current | EraFinding::Late | EraFinding::Implausible => return finding,
        }
        metrics::gauge!(telemetry::STORE_ERA).set(era.0 as f64);
        finding
    }
}
