//! Records what backend servers give at the moment, so that one that is slow for some seconds gets fewer new requests.

use eelgrasswell_core::{
    backend::Backend,
    id::ModelName,
    server_pace::StreamSampler,
    unit::{Bytes, Millis},
};

use super::{State, attempt::Answer};
use crate::{event, sync::lock, telemetry};

impl State {
    /// Records that the start of an answer took `backend` `slowness` times the expected time, or had not come by then.
    pub fn record_start_pace(&self, backend: &Backend, slowness: f64) {
        if self.settings().server_pace {
            self.record_server_pace(backend, slowness, "start");
        }
    }

    /// Records that data of the stream `answer` arrived, and compares its pace with the usual one of `model`.
    pub fn record_stream_pace(
        &self,
        sampler: &mut StreamSampler,
        now: Millis,
        answer: &Answer,
        model: impl FnOnce() -> ModelName,
        bytes: Bytes,
    ) {
        let Some(pace) = sampler.record(now, bytes).filter(|_| self.settings().server_pace) else { return };
        let backend = &answer.guard.backend;
        if let Some(usual) = self.response_stats.usual_pace(&backend.service, &model()) {
            self.record_server_pace(backend, pace / usual, "stream");
        }
    }

    fn record_server_pace(&self, backend: &Backend, ratio: f64, source: &'static str) {
        let factor = lock(&self.pool).record_pace(self.clock.now(), backend, ratio);
        if let Some(factor) = factor {
            let (factor, ratio) = (format!("{factor:.2}"), format!("{ratio:.2}"));
            event!(Info, "backend_slow", backend = backend.id, factor = factor, sample = ratio, source = source);
            metrics::counter!(telemetry::SLOW_MOMENTS, "source" => source).increment(1);
        }
    }
}
