//! Evidence against parts of prompts that crash backend servers: collected from answers, and exchanged with the other
//! gateways.

use eelgrasswell_core::{
    backend::{Backend, ServerId},
    crash_evidence::{Block, Clearance, Crash, CrashEvidence, Decision, PartId, Report},
    hash::stable_hash,
    id::RequestId,
    unit::Millis,
};
use eelgrasswell_proto::v1::{FleetState, PartBlock, PartClearance, PartCrash};

use super::State;
use crate::{event, sync::lock, telemetry};

impl State {
    /// Records that the answer to a request with the shared prompt parts `parts` broke off at `backend`, `answering` after
    /// its start.
    pub fn record_crash(&self, backend: &Backend, id: &RequestId, parts: &[PartId], answering: Millis) {
        if parts.is_empty() {
            return;
        }
        let server = backend.server();
        let request = stable_hash(&[id.as_str()]);
        lock(&self.crash_evidence).record_crash(self.clock.now(), server, request, parts, answering);
    }

    /// Records that a request with the shared prompt parts `parts` got its whole answer.
    pub fn record_completion(&self, parts: &[PartId]) {
        if !parts.is_empty() {
            lock(&self.crash_evidence).record_success(self.clock.now(), parts);
        }
    }

    /// Returns the block that forbids to send a request with the shared prompt parts `parts`; none if it may be sent.
    pub fn find_block(&self, id: &RequestId, parts: &[PartId]) -> Option<Block> {
        if parts.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let mut evidence = lock(&self.crash_evidence);
        let blocked_before = evidence.blocked();
        let decision = evidence.decide(now, parts, |part| self.is_prober(part));
        let blocked = evidence.blocked();
        drop(evidence);
        let block = match decision {
            Decision::Send => return None,
            Decision::Probe(block) | Decision::Refuse(block) => block,
        };
        if blocked > blocked_before {
            event!(
                Warn,
                "part_blocked",
                request = id,
                part = format!("{:016x}", block.part.0),
                servers = block.servers,
                blocked = blocked
            );
            metrics::counter!(telemetry::PARTS_BLOCKED).increment(1);
        }
        let (age, part) = (now.saturating_sub(block.since), format!("{:016x}", block.part.0));
        if matches!(decision, Decision::Refuse(_)) {
            event!(Info, "part_refused", request = id, part = part, servers = block.servers, age = age);
            return Some(block);
        }
        event!(Info, "part_probed", request = id, part = part, probes = block.probes, age = age);
        None
    }

    /// Whether this gateway is the one that probes `part`.
    fn is_prober(&self, part: PartId) -> bool {
        let fleet = lock(&self.fleet);
        let alive = fleet.alive(self.clock.now());
        CrashEvidence::is_prober(part, &self.settings.id, alive.iter().map(|member| &member.id))
    }

    /// Adds the evidence of all gateways, as known to this one, to `state`.
    pub fn add_crash_evidence(&self, state: &mut FleetState) {
        let now = self.clock.now();
        let ago = |at: Millis| now.saturating_sub(at).0;
        let report = lock(&self.crash_evidence).report(now);
        let crash = |crash: Crash| PartCrash {
            part: crash.part.0,
            server: crash.server.0,
            request: crash.request,
            ago_ms: ago(crash.at),
        };
        let block = |block: Block| PartBlock {
            part: block.part.0,
            since_ms: ago(block.since),
            seen_ago_ms: ago(block.last_seen),
            probes: block.probes,
            servers: block.servers,
        };
        let clearance = |clearance: Clearance| PartClearance { part: clearance.part.0, ago_ms: ago(clearance.at) };
        state.crashes = report.crashes.into_iter().map(crash).collect();
        state.blocks = report.blocks.into_iter().map(block).collect();
        state.clearances = report.clearances.into_iter().map(clearance).collect();
    }

    /// Merges the evidence that another gateway reports.
    pub fn record_crash_evidence(&self, state: &FleetState) {
        let now = self.clock.now();
        let at = |ago: u64| now.saturating_sub(Millis(ago));
        let crash = |crash: &PartCrash| Crash {
            part: PartId(crash.part),
            server: ServerId(crash.server),
            request: crash.request,
            at: at(crash.ago_ms),
        };
        let block = |block: &PartBlock| Block {
            part: PartId(block.part),
            since: at(block.since_ms),
            last_seen: at(block.seen_ago_ms),
            probes: block.probes,
            servers: block.servers,
        };
        let clearance =
            |clearance: &PartClearance| Clearance { part: PartId(clearance.part), at: at(clearance.ago_ms) };
        let report = Report {
            crashes: state.crashes.iter().map(crash).collect(),
            blocks: state.blocks.iter().map(block).collect(),
            clearances: state.clearances.iter().map(clearance).collect(),
        };
        let learned = lock(&self.crash_evidence).merge(now, &report);
        for block in learned {
            let (age, part) = (now.saturating_sub(block.since), format!("{:016x}", block.part.0));
            event!(Warn, "part_block_learned", peer = state.id, part = part, servers = block.servers, age = age);
        }
    }
}
