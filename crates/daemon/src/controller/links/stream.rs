//! One link: a stream of heartbeats in each direction, reopened when it breaks or the agent's
//! heartbeats time out.

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
    AgentLink, Inner, client_at,
    push::{PushContent, PushState},
};
use crate::{event, platform::HostEntry, telemetry};

/// Interval between two heartbeats that the router sends.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which the agent is no longer selected and the link is reopened.
pub const HEARTBEAT_TIMEOUT: Millis = Millis(5_000);
/// Bounds of the delay before a link is reopened. The delay doubles with every failure.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// Maximum size of the deltas in one message, in bytes; a snapshot is sent in place of larger deltas.
/// The first delta of a new system is the whole manifest.
const MAX_DELTA_BYTES: usize = 32 << 10;
/// Maximum bytes of a snapshot in one message. A stream keeps a buffer of the size of its largest
/// message, and a configuration of 100 KB in one message took 150 KB for each link.
const SNAPSHOT_PART_BYTES: usize = 1 << 10;
/// Capacity of a stream's queue of outgoing messages.
const QUEUE_CAPACITY: usize = 4;

/// Maintains the link to `entry` until the task is aborted.
pub async fn maintain_link(inner: Arc<Inner>, entry: HostEntry, rank: Arc<AtomicUsize>) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        let start = Instant::now();
        let err = match run_stream(&inner, &entry, &rank).await {
            Ok(()) => eyre::eyre!("the agent ended the stream"),
            Err(err) => err,
        };
        inner.table.remove(&entry.id);
        // The connection may be stalled, so the next stream uses a new one.
        inner.members.reconnect(entry.address);
        metrics::counter!(telemetry::LINKS_LOST).increment(1);
        event!(Info, "link_lost", agent = entry.id, address = entry.address, error = format!("{err:#}"));
        if start.elapsed() > Duration::from(HEARTBEAT_TIMEOUT) {
            delay = MIN_RECONNECT_DELAY;
        }
        sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Runs one stream until it ends, breaks or the agent's heartbeats time out.
async fn run_stream(inner: &Inner, entry: &HostEntry, rank: &AtomicUsize) -> Result<()> {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let mut out = Outgoing { inner, entry, tx, push: PushState::default() };
    out.send_heartbeat(None);
    let mut expires_at = Instant::now() + Duration::from(HEARTBEAT_TIMEOUT);
    let mut client = client_at(&inner.members, entry.address);
    let opened = timeout_at(expires_at, client.link(ReceiverStream::new(rx))).await;
    let mut beats: Streaming<AgentBeat> =
        opened.wrap_err("timed out opening the stream")?.wrap_err("could not open the stream")?.into_inner();
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.reset();
    let mut last_full: Option<AgentBeat> = None;
    loop {
        let now = Instant::now();
        let current = inner.config.revision();
        let next_push = out.push.next_push(current, rank.load(Ordering::Relaxed), now);
        let push_at = next_push.map_or(now, |(at, _)| at);
        tokio::select! {
            beat = beats.message() => {
                let Some(beat) = beat.wrap_err("could not read a heartbeat")? else { return Ok(()) };
                let beat = expand_heartbeat(beat, &mut last_full)?;
                record_heartbeat(inner, entry, &beat)?;
                out.push.record_reported(Revision(beat.revision));
                expires_at = Instant::now() + Duration::from(HEARTBEAT_TIMEOUT);
            }
            () = sleep_until(expires_at) => bail!("no heartbeat for {HEARTBEAT_TIMEOUT}"),
            () = sleep_until(push_at), if next_push.is_some() => {
                if let Some((_, content)) = next_push {
                    out.push_config(content).await?;
                }
            }
            () = inner.config.wait_for_revision(Revision(current.0 + 1)) => {}
            _ = ticks.tick() => out.send_heartbeat(None),
        }
    }
}

/// Sending side of one stream.
struct Outgoing<'a> {
    inner: &'a Inner,
    entry: &'a HostEntry,
    tx: mpsc::Sender<RouterBeat>,
    push: PushState,
}

impl Outgoing<'_> {
    /// Queues a heartbeat. Drops it if the queue is full: the connection is then stalled, and the link
    /// will soon time out.
    fn send_heartbeat(&self, update: Option<ConfigUpdate>) {
        let Ok(permit) = self.tx.try_reserve() else { return };
        permit.send(self.message(update));
    }

    /// Sends the current configuration to the agent. Sends a snapshot in place of the deltas if they
    /// are no longer known or are larger than `MAX_DELTA_BYTES`.
    async fn push_config(&mut self, content: PushContent) -> Result<()> {
        let config = &self.inner.config;
        let revision = config.revision();
        let deltas = match content {
            PushContent::Since(base) => config.deltas_since(base, MAX_DELTA_BYTES),
            PushContent::Whole => None,
        };
        match deltas {
            Some(deltas) => self.send(ConfigUpdate { deltas, snapshot: None }).await?,
            None => self.send_snapshot(&config.snapshot()).await?,
        }
        self.push.record_pushed(revision, Instant::now());
        Ok(())
    }

    /// Sends a snapshot in messages of at most `SNAPSHOT_PART_BYTES`.
    async fn send_snapshot(&self, snapshot: &ConfigSnapshot) -> Result<()> {
        let mut rest = snapshot.json.as_str();
        while !rest.is_empty() {
            let (json, tail) = rest.split_at(rest.floor_char_boundary(SNAPSHOT_PART_BYTES));
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
        let Ok(permit) = self.tx.reserve().await else { bail!("could not send an update: the stream is closed") };
        permit.send(self.message(Some(update)));
        Ok(())
    }

    fn message(&self, update: Option<ConfigUpdate>) -> RouterBeat {
        let inner = self.inner;
        RouterBeat {
            router: inner.settings.host.id.to_string(),
            incarnation: inner.incarnation.0,
            revision: inner.config.revision().0,
            confirmed_ms_ago: inner.config.confirmation_age().0,
            update,
            settled: inner.bills.take_settled(&self.entry.id),
            leaving: is_leaving(inner, self.entry),
        }
    }
}

/// Adds the fields that a brief heartbeat leaves out, taken from `last_full`, the stream's last full
/// heartbeat. A full heartbeat replaces `last_full`.
fn expand_heartbeat(beat: AgentBeat, last_full: &mut Option<AgentBeat>) -> Result<AgentBeat> {
    if !beat.brief {
        *last_full = Some(AgentBeat { unsettled: Vec::new(), ..beat.clone() });
        return Ok(beat);
    }
    let Some(full) = last_full else { bail!("could not read a heartbeat: the first one of the stream is brief") };
    Ok(AgentBeat {
        agent: full.agent.clone(),
        incarnation: full.incarnation,
        loaded: full.loaded.clone(),
        domain: full.domain.clone(),
        service: full.service.clone(),
        ..beat
    })
}

/// Records the bills, the revision and the state of the agent in a heartbeat.
fn record_heartbeat(inner: &Inner, entry: &HostEntry, beat: &AgentBeat) -> Result<()> {
    ensure!(beat.agent == entry.id.as_str(), "the agent at this address is {:?}", beat.agent);
    for bill in &beat.unsettled {
        inner.bills.push(&entry.id, bill.clone());
    }
    inner.config.reported_revisions.record(&entry.id, Revision(beat.revision));
    inner.table.record_heartbeat(beat, is_leaving(inner, entry), inner.clock.now(), || {
        event!(Info, "link_opened", agent = entry.id, incarnation = beat.incarnation);
        AgentLink {
            id: entry.id.clone(),
            domain: beat.domain.as_str().into(),
            service: beat.service.as_str().into(),
            incarnation: Incarnation(beat.incarnation),
            client: client_at(&inner.members, entry.address),
            outstanding: AtomicU32::new(0),
        }
    });
    Ok(())
}

/// Whether the host list marks the agent as leaving.
fn is_leaving(inner: &Inner, entry: &HostEntry) -> bool {
    inner.members.host(&entry.id).is_some_and(|entry| entry.leaving)
}
