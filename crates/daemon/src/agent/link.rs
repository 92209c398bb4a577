//! The agent's side of a link to a router: exchanges heartbeats, receives the configuration and hands over bills.

use std::time::Duration;

use eelgrasswell_core::{agent_selection::LoadReport, id::Revision, unit::Millis};
use eelgrasswell_proto::v1::{AgentBeat, ConfigSnapshot, Load, Loaded, RouterBeat};
use tokio::{
    sync::mpsc,
    time::{Instant, interval_at, sleep_until, timeout},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::Agent;
use crate::event;

/// Maximum time between two heartbeats. The agent also replies to each heartbeat of the router immediately, and those
/// arrive every 2 s; with a shorter interval it would send twice as many heartbeats as needed.
const BEAT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Interval of checks for new bills while the process is leaving, so that bills are offered soon after they arise.
const LEAVING_BILL_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat of the router after which a link is closed; also the timeout for sending a heartbeat.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of heartbeats that are queued for a router that does not read them.
const QUEUE_CAPACITY: usize = 2;

/// Serves a link until the router closes it or becomes unresponsive, or the process stops. Returns the stream of
/// heartbeats to the router.
pub fn open(agent: Agent, beats: Streaming<RouterBeat>) -> ReceiverStream<Result<AgentBeat, Status>> {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(async move { serve(&agent, beats, &tx).await });
    ReceiverStream::new(rx)
}

async fn serve(agent: &Agent, mut beats: Streaming<RouterBeat>, tx: &mpsc::Sender<Result<AgentBeat, Status>>) {
    let mut ticks = interval_at(Instant::now() + BEAT_INTERVAL, BEAT_INTERVAL);
    let mut bill_ticks = interval_at(Instant::now() + LEAVING_BILL_INTERVAL, LEAVING_BILL_INTERVAL);
    let (mut leaving, mut closing) = (agent.leaving.subscribe(), agent.closing.subscribe());
    let mut is_leaving = false;
    let mut last_received = None;
    // Loaded versions in the last full heartbeat, that is, one that was not brief.
    let mut last_reported: Option<Vec<Loaded>> = None;
    let mut partial = None;
    loop {
        let timeout_at = last_received.unwrap_or_else(Instant::now) + LINK_TIMEOUT;
        let send_beat = tokio::select! {
            beat = beats.message() => {
                let Ok(Some(mut beat)) = beat else { return };
                last_received = Some(Instant::now());
                let is_complete = join_snapshot_parts(&mut beat, &mut partial);
                apply_beat(agent, &beat);
                is_complete
            }
            _ = ticks.tick() => last_received.is_some(),
            _ = bill_ticks.tick(), if is_leaving => last_received.is_some() && agent.bills.has_due(),
            _ = leaving.wait_for(|leaving| *leaving), if !is_leaving => {
                is_leaving = true;
                last_received.is_some()
            }
            _ = closing.wait_for(|closing| *closing) => return,
            () = sleep_until(timeout_at) => return,
        };
        if !send_beat {
            continue;
        }
        let beat = agent.next_beat(&mut last_reported);
        if !matches!(timeout(LINK_TIMEOUT, tx.send(Ok(beat))).await, Ok(Ok(()))) {
            return;
        }
        ticks.reset();
    }
}

/// Joins the parts of a snapshot that was sent in several heartbeats. Returns true if `beat` has no snapshot or a
/// complete one. Until the last part has arrived, moves the parts from `beat` to `partial` and returns false.
pub fn join_snapshot_parts(beat: &mut RouterBeat, partial: &mut Option<ConfigSnapshot>) -> bool {
    let Some(snapshot) = beat.update.as_mut().and_then(|update| update.snapshot.as_mut()) else { return true };
    if let Some(mut start) = partial.take_if(|start| start.revision == snapshot.revision) {
        start.json.push_str(&snapshot.json);
        start.more = snapshot.more;
        *snapshot = start;
    }
    if !snapshot.more {
        return true;
    }
    *partial = beat.update.take().and_then(|update| update.snapshot);
    false
}

/// Applies what a heartbeat of a router reports: configuration, confirmation, durable bills and a leaving host.
fn apply_beat(agent: &Agent, beat: &RouterBeat) {
    if let Some(update) = &beat.update
        && let Err(err) = agent.config.apply(update)
    {
        event!(Warn, "config_not_applied", router = beat.router, error = format!("{err:#}"));
    }
    agent.config.record_confirmation(Revision(beat.revision), Millis(beat.confirmed_ms_ago));
    agent.bills.settle(&beat.settled);
    // Never reset to false, because the platform removes a host that its host list marks as leaving.
    if beat.leaving && !agent.leaving.send_replace(true) {
        event!(Info, "host_leaving", router = beat.router);
    }
}

impl Agent {
    /// Returns the next heartbeat, with the bills that are due to be offered. It is brief unless it is the first of its
    /// stream or the loaded versions differ from `last_reported`.
    fn next_beat(&self, last_reported: &mut Option<Vec<Loaded>>) -> AgentBeat {
        let loaded = self.loaded.to_proto();
        let beat = self.brief_beat();
        if last_reported.as_ref() == Some(&loaded) {
            return beat;
        }
        *last_reported = Some(loaded.clone());
        AgentBeat {
            agent: self.settings.host.id.to_string(),
            incarnation: self.incarnation.0,
            loaded,
            domain: self.settings.host.domain.to_string(),
            service: self.settings.service.to_string(),
            brief: false,
            ..beat
        }
    }

    fn brief_beat(&self) -> AgentBeat {
        let LoadReport { running, queued, limit, tokens_held, tokens_limit, cold } = self.admission.load_report();
        AgentBeat {
            brief: true,
            revision: self.config.revision().0,
            load: Some(Load { running, queued, limit, tokens_held: tokens_held.0, tokens_limit: tokens_limit.0, cold }),
            leaving: *self.leaving.borrow(),
            unsettled: self.bills.offer_due(),
            ..AgentBeat::default()
        }
    }
}
