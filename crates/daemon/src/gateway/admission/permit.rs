//! Admitted requests and waits that end when they are dropped.

use eelgrasswell_core::{id::ServiceName, unit::Millis, waiting::WaitId};
use tokio::time::Instant;

use super::Admission;

/// A request that counts as admitted until this is dropped.
pub struct Permit {
    admission: Admission,
    service: ServiceName,
    since: Instant,
    is_answered: bool,
}

impl Permit {
    pub(super) fn new(admission: Admission, service: ServiceName) -> Self {
        Self { admission, service, since: Instant::now(), is_answered: false }
    }

    /// Records that the request got an answer. The time that the others occupy a slot says nothing about how fast the
    /// servers are.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let hold = self.is_answered.then(|| Millis::from(self.since.elapsed()));
        self.admission.end(&self.service, hold);
    }
}

/// A waiting request, which is taken out of the queue when this is dropped.
pub struct WaitGuard {
    admission: Admission,
    service: ServiceName,
    id: WaitId,
}

impl WaitGuard {
    pub(super) fn new(admission: Admission, service: ServiceName, id: WaitId) -> Self {
        Self { admission, service, id }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.admission.cancel(&self.service, self.id);
    }
}
