//! One link: a stream of heartbeats each way, opened again when it breaks or goes silent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use eelgrasswell_core::{
    id::{Incarnation, Revision},
    unit::Millis,
};
use eelgrasswell_proto::v1::{AgentBeat, ConfigSnapshot, ConfigUpdate, RouterBeat};
use eyre::{Result, WrapErr, bail, ensure};
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout_at},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::{
    AgentLink, Inner, client,
    push::{Push, Send},
};
use crate::{event, platform::HostEntry, telemetry};

/// Time between two heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which the agent is not chosen and the link is opened again.
pub const SILENT_AFTER: Millis = Millis(5_000);
/// Bounds of the pause before a link is opened again; it doubles with every failure.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Most bytes of deltas in one message; beyond it a snapshot is sent. The first delta of a new system
/// is the whole manifest.
const MAX_DELTA_BYTES: usize = 32 << 10;
/// Bytes of a snapshot in one message. A stream keeps a buffer of the size of its largest message, and
/// a configuration of 100 KB in one message took 150 KB for each link.
const PART_BYTES: usize = 1 << 10;
/// Heartbeats that may wait to be sent.
const QUEUE: usize = 4;

/// Keeps the link to `entry` until the task is aborted.
pub async fn keep(inner: Arc<Inner>, entry: HostEntry, rank: Arc<AtomicUsize>) {
    let mut pause = MIN_PAUSE;
    loop {
        let start = Instant::now();
        let err = match run(&inner, &entry, &rank).await {
            Ok(()) => eyre::eyre!("the agent ended the stream"),
            Err(err) => err,
        };
        inner.table.remove(&entry.id);
        // The connection may be silent, so the next stream gets a new one.
        inner.members.reconnect(entry.address);
        metrics::counter!(telemetry::LINKS_LOST).increment(1);
        event!(Info, "link_lost", agent = entry.id, address = entry.address, error = format!("{err:#}"));
        if start.elapsed() > Duration::from(SILENT_AFTER) {
            pause = MIN_PAUSE;
        }
        sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Runs one stream until it ends, breaks or goes silent.
async fn run(inner: &Inner, entry: &HostEntry, rank: &AtomicUsize) -> Result<()> {
    let (tx, rx) = mpsc::channel(QUEUE);
    let mut out = Outgoing { inner, entry, tx, push: Push::default() };
    out.beat(None);
    let mut silent_at = Instant::now() + Duration::from(SILENT_AFTER);
    let mut client = client(&inner.members, entry.address);
    let opened = timeout_at(silent_at, client.link(ReceiverStream::new(rx))).await;
    let mut beats: Streaming<AgentBeat> =
        opened.wrap_err("timed out opening the stream")?.wrap_err("could not open the stream")?.into_inner();
    let mut ticks = interval(BEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.reset();
    let mut whole: Option<AgentBeat> = None;
    loop {
        let now = Instant::now();
        let current = inner.config.revision();
        let due = out.push.due(current, rank.load(Ordering::Relaxed), now);
        let at = due.map_or(now, |(at, _)| at);
        tokio::select! {
            beat = beats.message() => {
                let Some(beat) = beat.wrap_err("could not read a heartbeat")? else { return Ok(()) };
                let beat = complete(beat, &mut whole)?;
                take_in(inner, entry, &beat)?;
                out.push.note_reported(Revision(beat.revision));
                silent_at = Instant::now() + Duration::from(SILENT_AFTER);
            }
            () = sleep_until(silent_at) => bail!("no heartbeat for {SILENT_AFTER}"),
            () = sleep_until(at), if due.is_some() => {
                if let Some((_, what)) = due {
                    out.push_config(what).await?;
                }
            }
            () = inner.config.reached(Revision(current.0 + 1)) => {}
            _ = ticks.tick() => out.beat(None),
        }
    }
}

struct Outgoing<'a> {
    inner: &'a Inner,
    entry: &'a HostEntry,
    tx: mpsc::Sender<RouterBeat>,
    push: Push,
}

impl Outgoing<'_> {
    /// Sends a heartbeat unless the queue is full: then the connection is silent and the link will
    /// soon count as lost.
    fn beat(&self, update: Option<ConfigUpdate>) {
        let Ok(permit) = self.tx.try_reserve() else { return };
        permit.send(self.message(update));
    }

    async fn push_config(&mut self, what: Send) -> Result<()> {
        let config = &self.inner.config;
        let revision = config.revision();
        let deltas = match what {
            Send::Since(reported) => config.deltas_since(reported, MAX_DELTA_BYTES),
            Send::Whole => None,
        };
        match deltas {
            Some(deltas) => self.send(ConfigUpdate { deltas, snapshot: None }).await?,
            None => self.send_snapshot(&config.snapshot()).await?,
        }
        self.push.note_pushed(revision, Instant::now());
        Ok(())
    }

    /// Sends a snapshot in messages of `PART_BYTES`.
    async fn send_snapshot(&self, snapshot: &ConfigSnapshot) -> Result<()> {
        let mut rest = snapshot.json.as_str();
        while !rest.is_empty() {
            let (json, tail) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
            let part = ConfigSnapshot {
                revision: snapshot.revision,
                manifest_revision: snapshot.manifest_revision,
                json: json.to_owned(),
                more: !tail.is_empty(),
            };
            self.send(ConfigUpdate { deltas: Vec::new(), snapshot: Some(part) }).await?;
            rest = tail;
        }
        Ok(())
    }

    async fn send(&self, update: ConfigUpdate) -> Result<()> {
        let Ok(permit) = self.tx.reserve().await else { bail!("the stream is closed") };
        permit.send(self.message(Some(update)));
        Ok(())
    }

    fn message(&self, update: Option<ConfigUpdate>) -> RouterBeat {
        let inner = self.inner;
        RouterBeat {
            router: inner.settings.host.id.to_string(),
            incarnation: inner.incarnation.0,
            revision: inner.config.revision().0,
            confirmed_ms_ago: inner.config.confirmed_ago().0,
            update,
            settled: inner.bills.take_settled(&self.entry.id),
            leaving: is_leaving(inner, self.entry),
        }
    }
}

/// Fills in what a brief heartbeat leaves out from `whole`, the last one of the stream that has it.
fn complete(beat: AgentBeat, whole: &mut Option<AgentBeat>) -> Result<AgentBeat> {
    if !beat.brief {
        *whole = Some(AgentBeat { unsettled: Vec::new(), ..beat.clone() });
        return Ok(beat);
    }
    let Some(whole) = whole else { bail!("the first heartbeat is brief") };
    Ok(AgentBeat {
        agent: whole.agent.clone(),
        incarnation: whole.incarnation,
        loaded: whole.loaded.clone(),
        domain: whole.domain.clone(),
        service: whole.service.clone(),
        ..beat
    })
}

fn take_in(inner: &Inner, entry: &HostEntry, beat: &AgentBeat) -> Result<()> {
    ensure!(beat.agent == entry.id.as_str(), "the agent at this address is {:?}", beat.agent);
    for bill in &beat.unsettled {
        inner.bills.push(&entry.id, bill.clone());
    }
    inner.config.reported.record(&entry.id, Revision(beat.revision));
    inner.table.note(beat, is_leaving(inner, entry), inner.clock.now(), || {
        event!(Info, "link_opened", agent = entry.id, incarnation = beat.incarnation);
        AgentLink {
            id: entry.id.clone(),
            domain: beat.domain.as_str().into(),
            service: beat.service.as_str().into(),
            incarnation: Incarnation(beat.incarnation),
            client: client(&inner.members, entry.address),
            outstanding: AtomicU32::new(0),
        }
    });
    Ok(())
}

fn is_leaving(inner: &Inner, entry: &HostEntry) -> bool {
    inner.members.host(&entry.id).is_some_and(|entry| entry.leaving)
}
