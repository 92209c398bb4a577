//! The agent's side of a link to a router: heartbeats, configuration and settlement of bills.

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

/// Longest time between heartbeats. Each heartbeat of a router is answered at once, and those come
/// every 2 s; a shorter interval sent twice as many heartbeats as needed.
const BEAT_INTERVAL: Duration = Duration::from_millis(2_500);
/// While the process leaves, bills are offered as soon as they arise.
const LEAVING_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which a link is dropped.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);
/// Heartbeats on their way to a router that does not read.
const BACKLOG: usize = 2;

/// Serves a link until the router goes away or goes silent, or the process stops.
pub fn open(agent: Agent, beats: Streaming<RouterBeat>) -> ReceiverStream<Result<AgentBeat, Status>> {
    let (tx, rx) = mpsc::channel(BACKLOG);
    tokio::spawn(async move { serve(&agent, beats, &tx).await });
    ReceiverStream::new(rx)
}

async fn serve(agent: &Agent, mut beats: Streaming<RouterBeat>, tx: &mpsc::Sender<Result<AgentBeat, Status>>) {
    let mut ticks = interval_at(Instant::now() + BEAT_INTERVAL, BEAT_INTERVAL);
    let mut bill_ticks = interval_at(Instant::now() + LEAVING_INTERVAL, LEAVING_INTERVAL);
    let (mut leaving, mut closing) = (agent.leaving.subscribe(), agent.closing.subscribe());
    let mut leaves = false;
    let mut heard = None;
    // Versions in the last heartbeat that was not brief.
    let mut told: Option<Vec<Loaded>> = None;
    let mut partial = None;
    loop {
        let silent_at = heard.unwrap_or_else(Instant::now) + LINK_TIMEOUT;
        let answer = tokio::select! {
            beat = beats.message() => {
                let Ok(Some(mut beat)) = beat else { return };
                heard = Some(Instant::now());
                let complete = join_snapshot_parts(&mut beat, &mut partial);
                take_in(agent, &beat);
                complete
            }
            _ = ticks.tick() => heard.is_some(),
            _ = bill_ticks.tick(), if leaves => heard.is_some() && agent.bills.has_overdue(),
            _ = leaving.wait_for(|leaving| *leaving), if !leaves => {
                leaves = true;
                heard.is_some()
            }
            _ = closing.wait_for(|closing| *closing) => return,
            () = sleep_until(silent_at) => return,
        };
        if !answer {
            continue;
        }
        let beat = agent.beat(&mut told);
        if !matches!(timeout(LINK_TIMEOUT, tx.send(Ok(beat))).await, Ok(Ok(()))) {
            return;
        }
        ticks.reset();
    }
}

/// Joins the parts of a snapshot; false, and the beat is without its part, until the last one is there.
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

fn take_in(agent: &Agent, beat: &RouterBeat) {
    if let Some(update) = &beat.update
        && let Err(err) = agent.config.apply(update)
    {
        event!(Warn, "config_not_applied", router = beat.router, error = format!("{err:#}"));
    }
    agent.config.record_confirmation(Revision(beat.revision), Millis(beat.confirmed_ms_ago));
    agent.bills.settle(&beat.settled);
    // The platform takes away a host that its list calls leaving, so this is not taken back.
    if beat.leaving && !agent.leaving.send_replace(true) {
        event!(Info, "host_leaving", router = beat.router);
    }
}

impl Agent {
    /// The next heartbeat, with the bills that are due for another router. It is brief unless it is
    /// the first of its stream or the loaded versions are not those in `told`.
    fn beat(&self, told: &mut Option<Vec<Loaded>>) -> AgentBeat {
        let loaded = self.loaded.list();
        let beat = self.brief_beat();
        if told.as_ref() == Some(&loaded) {
            return beat;
        }
        *told = Some(loaded.clone());
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
        let LoadReport { running, queued, limit, tokens_held, tokens_limit, cold } = self.admission.report();
        AgentBeat {
            brief: true,
            revision: self.config.revision().0,
            load: Some(Load { running, queued, limit, tokens_held: tokens_held.0, tokens_limit: tokens_limit.0, cold }),
            leaving: *self.leaving.borrow(),
            unsettled: self.bills.take_overdue(),
            ..AgentBeat::default()
        }
    }
}
