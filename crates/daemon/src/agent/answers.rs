//! Running and held answers, in bounded memory.
//!
//! Bytes that a reader still needs hold up the engine when a bound is reached; without a reader all
//! bytes count as needed, since the next one may begin anywhere. Bytes that were read, and finished
//! answers, are held only as long as there is room. An answer without unread
//! bytes may always take one more piece, so that slow readers never hold up a reader that keeps
//! up. A quarter of the total is reserved for such pieces and for new answers; it covers one piece
//! for each of 256 running requests at the default limits.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::{HashMap, HashSet},
    id::{CustomerId, RequestId},
    refusal::{Reason, Refusal},
    unit::Millis,
};
use eelgrasswell_manifest::settings::AnswerLimits;
use eelgrasswell_proto::v1::{
    Accepted, Data, ExecuteEvent, Failed, Finished, Head, Progress, Refused, execute_event::Event,
};
use futures::{Stream, stream};
use tokio::{
    sync::Notify,
    time::{interval, timeout},
};
use tonic::Status;

use crate::{
    clock::Clock,
    invariant::{self, Promise},
};

/// Largest piece that is stored or sent at a time.
pub const PIECE: usize = 16 << 10;
/// Part of the total that is reserved for answers without unread bytes.
const RESERVE: u64 = 4;
/// Memory of an answer besides its body.
const OVERHEAD: u64 = 512;
/// Time between two events while the answer makes no bytes; readers count three misses as silence.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for another reader to join a request that waits for its turn, and for which a reader that
/// reads nothing counts as active; routers open a new connection after 3 s of silence.
const RESUME_GRACE: Millis = Millis(5_000);
/// Time for which a request may wait for its reader while other requests wait for a place. With `stalled_after`
/// 192 stalled requests held all places of three backend servers, and another customer waited 29 s.
const CROWDED_STALL: Millis = Millis(1_000);
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Shared table of answers.
#[derive(Clone)]
pub struct Answers {
    limits: Arc<AnswerLimits>,
    clock: Clock,
    table: Arc<Mutex<Table>>,
    /// Told when an answer ends or a reader leaves.
    quiet: Arc<Notify>,
    /// Whether requests wait for a place at the backend server.
    crowded: Arc<AtomicBool>,
}

#[derive(Default)]
struct Table {
    entries: HashMap<RequestId, Entry>,
    /// Finished answers by the time of their end.
    ended: BTreeMap<(Millis, u64), RequestId>,
    usage: Usage,
    /// Bounds under which nothing is left to drop, until the next sweep or end of an answer or
    /// reader: a search takes time in proportion to the answers, and stalled readers fill the
    /// bounds for long.
    exhausted: HashSet<Option<CustomerId>>,
    unfinished: usize,
    readers: usize,
    next_number: u64,
}

#[derive(Default)]
struct Usage {
    total: u64,
    per_customer: HashMap<CustomerId, u64>,
}

struct Entry {
    serial: u64,
    customer: CustomerId,
    accepted: Accepted,
    head: Option<Head>,
    /// Bytes of the body from `base` on.
    buf: Vec<u8>,
    base: u64,
    /// Offset up to which any reader has read.
    read_to: u64,
    readers: Vec<Attached>,
    last_read: Millis,
    last_reader_left: Millis,
    blocked_since: Option<Millis>,
    stage: Stage,
    end: Option<Event>,
    cancel: Option<Reason>,
    changed: Arc<Notify>,
    cancelled: Arc<Notify>,
    /// Told when the writer may find room. Each entry has its own, since a wake of all writers for
    /// each chunk that any reader takes costs time in proportion to the stalled ones.
    room: Arc<Notify>,
}

/// A reader as the table knows it.
struct Attached {
    number: u64,
    offset: u64,
    active_at: Millis,
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for its turn.
    Waiting,
    /// It runs and may be cancelled when nobody reads.
    Running,
    /// It runs and must not be cancelled for want of a reader, because it runs only once.
    RunningOnce,
    /// It has ended at this time.
    Ended(Millis),
}

/// Writer's side of an answer. An answer that is dropped without an end fails.
pub struct AnswerWriter {
    answers: Answers,
    id: RequestId,
    customer: CustomerId,
    changed: Arc<Notify>,
    cancelled: Arc<Notify>,
    room: Arc<Notify>,
    ended: bool,
}

/// Reader's side of an answer.
pub struct AnswerReader {
    answers: Answers,
    id: RequestId,
    serial: u64,
    number: u64,
    changed: Arc<Notify>,
    offset: u64,
    next: Next,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Accepted,
    Head,
    Body,
    Nothing,
}

impl Answers {
    /// Starts without answers.
    pub fn open(limits: AnswerLimits, clock: Clock) -> Self {
        let (table, quiet, crowded) = (Arc::default(), Arc::default(), Arc::default());
        Self { limits: Arc::new(limits), clock, table, quiet, crowded }
    }

    /// Opens an answer with its first reader. Refused when the customer's unread answers fill its bound.
    pub fn begin(
        &self,
        id: &RequestId,
        customer: &CustomerId,
        accepted: Accepted,
    ) -> Result<(AnswerWriter, AnswerReader), Refusal> {
        let now = self.clock.now();
        let mut table = self.lock();
        if !table.make_room(&self.limits, customer, OVERHEAD, now)
            && !table.usage.fits_reserve(&self.limits, customer, OVERHEAD)
        {
            return Err(Refusal::not_run(Reason::SlowReader));
        }
        table.remove(id);
        let (serial, number) = (table.draw_number(), table.draw_number());
        let changed = Arc::new(Notify::new());
        let (cancelled, room) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let entry = Entry {
            serial,
            customer: customer.clone(),
            accepted,
            head: None,
            buf: Vec::new(),
            base: 0,
            read_to: 0,
            readers: vec![Attached { number, offset: 0, active_at: now }],
            last_read: now,
            last_reader_left: now,
            blocked_since: None,
            stage: Stage::Waiting,
            end: None,
            cancel: None,
            changed: Arc::clone(&changed),
            cancelled: Arc::clone(&cancelled),
            room: Arc::clone(&room),
        };
        table.entries.insert(id.clone(), entry);
        table.usage.add(customer, OVERHEAD);
        table.unfinished += 1;
        table.readers += 1;
        drop(table);
        let answer = AnswerWriter {
            answers: self.clone(),
            id: id.clone(),
            customer: customer.clone(),
            changed: Arc::clone(&changed),
            cancelled,
            room,
            ended: false,
        };
        let reader = AnswerReader {
            answers: self.clone(),
            id: id.clone(),
            serial,
            number,
            changed,
            offset: 0,
            next: Next::Accepted,
        };
        Ok((answer, reader))
    }

    /// Joins an answer of `customer` at a byte offset; none when it is not held.
    pub fn join(&self, id: &RequestId, customer: &CustomerId, offset: u64) -> Option<AnswerReader> {
        let now = self.clock.now();
        let mut table = self.lock();
        let number = table.draw_number();
        let entry = table.entries.get_mut(id).filter(|entry| entry.customer == *customer)?;
        entry.readers.push(Attached { number, offset, active_at: now });
        let (serial, changed) = (entry.serial, Arc::clone(&entry.changed));
        table.readers += 1;
        drop(table);
        Some(AnswerReader {
            answers: self.clone(),
            id: id.clone(),
            serial,
            number,
            changed,
            offset,
            next: Next::Accepted,
        })
    }

    /// Status and whole body of a finished answer of `customer`, if all of it is held.
    pub fn whole(&self, id: &RequestId, customer: &CustomerId) -> Option<(u32, Bytes)> {
        let table = self.lock();
        let entry = table.entries.get(id).filter(|entry| entry.customer == *customer && entry.base == 0)?;
        let Some(Event::Finished(_)) = entry.end else { return None };
        Some((entry.head.as_ref()?.status, Bytes::copy_from_slice(&entry.buf)))
    }

    /// Number of requests that have not ended.
    pub fn unfinished(&self) -> usize {
        self.lock().unfinished
    }

    /// Bytes held, with the overhead of each answer.
    pub fn held(&self) -> u64 {
        self.lock().usage.total
    }

    /// Waits until all requests have ended and all readers have left.
    pub async fn idle(&self) {
        loop {
            let quiet = self.quiet.notified();
            {
                let table = self.lock();
                if table.unfinished == 0 && table.readers == 0 {
                    return;
                }
            }
            quiet.await;
        }
    }

    /// Notes whether requests wait for a place at the backend server.
    pub fn set_crowded(&self, crowded: bool) {
        self.crowded.store(crowded, Ordering::Relaxed);
    }

    /// Drops answers that were held long enough and cancels those that nobody reads, until the
    /// task is aborted.
    pub async fn sweep(self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.sweep_once();
        }
    }

    fn sweep_once(&self) {
        let now = self.clock.now();
        let mut table = self.lock();
        let old = table.ended.iter().take_while(|((at, _), _)| now - *at >= self.limits.hold);
        let old: Vec<_> = old.map(|(_, id)| id.clone()).collect();
        for id in old {
            if table.entries.get(&id).is_some_and(|entry| entry.is_idle(&self.limits, now)) {
                table.remove(&id);
            }
        }
        let crowded = self.crowded.load(Ordering::Relaxed);
        let patience = if crowded { CROWDED_STALL.min(self.limits.stalled_after) } else { self.limits.stalled_after };
        for entry in table.entries.values_mut() {
            if let Some(reason) = entry.nobody_reads(&self.limits, patience, now) {
                entry.cancel.get_or_insert(reason);
                entry.cancelled.notify_waiters();
            }
        }
        table.exhausted.clear();
        let Table { entries, usage, .. } = &*table;
        let blocked = entries.values().filter(|entry| entry.blocked_since.is_some());
        for entry in blocked.filter(|entry| usage.shortage(&self.limits, &entry.customer, 1).is_none()) {
            entry.room.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }
}

impl AnswerWriter {
    /// Notes that the request runs from now on.
    pub fn start(&self, once: bool) {
        let stage = if once { Stage::RunningOnce } else { Stage::Running };
        self.update(|entry| entry.stage = stage);
    }

    /// Sets status and headers.
    pub fn head(&self, head: Head) {
        self.update(|entry| entry.head = Some(head));
    }

    /// Appends bytes of the body; waits while a bound is reached. The error is the reason for
    /// which the answer was cancelled meanwhile.
    pub async fn push(&self, bytes: &[u8]) -> Result<(), Reason> {
        for piece in bytes.chunks(PIECE) {
            loop {
                let room = self.room.notified();
                if self.try_push(piece) {
                    break;
                }
                tokio::select! {
                    () = room => {}
                    reason = self.cancelled() => return Err(reason),
                }
            }
            self.changed.notify_waiters();
        }
        Ok(())
    }

    /// Waits until the answer is cancelled.
    pub async fn cancelled(&self) -> Reason {
        loop {
            let cancelled = self.cancelled.notified();
            let cancel = self.answers.lock().entries.get(&self.id).and_then(|entry| entry.cancel);
            if let Some(reason) = cancel {
                return reason;
            }
            cancelled.await;
        }
    }

    /// Length of the body so far.
    pub fn length(&self) -> u64 {
        self.answers.lock().entries.get(&self.id).map_or(0, Entry::length)
    }

    /// Ends the answer.
    pub fn end(mut self, end: Event) {
        self.ended = true;
        self.finish(end);
    }

    fn finish(&self, end: Event) {
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let Table { entries, ended, unfinished, .. } = &mut *table;
        let Some(entry) = entries.get_mut(&self.id) else { return };
        // A refused request has no answer to hold, and its id may come again.
        let held_until = if matches!(end, Event::Refused(_)) { Millis::ZERO } else { now };
        entry.end = Some(end);
        entry.stage = Stage::Ended(held_until);
        ended.insert((held_until, entry.serial), self.id.clone());
        *unfinished -= 1;
        table.exhausted.clear();
        drop(table);
        self.changed.notify_waiters();
        self.answers.quiet.notify_waiters();
    }

    fn try_push(&self, piece: &[u8]) -> bool {
        let limits = &self.answers.limits;
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let size = piece.len() as u64;
        let Table { entries, usage, .. } = &mut *table;
        let Some(entry) = entries.get_mut(&self.id) else { return true };
        let short = usage.shortage(limits, &self.customer, size).is_some();
        if short || entry.buf.len() as u64 + size > limits.per_answer.0 {
            let dropped = entry.drop_read(size.max(limits.per_answer.0 / 4), now);
            usage.sub(&self.customer, dropped);
        }
        let unread = entry.unread(now);
        let fits = entry.buf.len() as u64 + size <= limits.per_answer.0;
        // Drops what can be dropped in any case, but only unread bytes make it wait: see the
        // module's first paragraph.
        let may_push = (table.make_room(limits, &self.customer, size, now) && fits) || unread == 0;
        let Table { entries, usage, .. } = &mut *table;
        let Some(entry) = entries.get_mut(&self.id) else { return true };
        if !may_push {
            entry.blocked_since.get_or_insert(now);
            return false;
        }
        entry.blocked_since = None;
        entry.append(piece);
        usage.add(&self.customer, size);
        true
    }

    fn update(&self, f: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.answers.lock().entries.get_mut(&self.id) {
            f(entry);
        }
        self.changed.notify_waiters();
    }
}

impl Drop for AnswerWriter {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(failed(Reason::Internal));
        }
    }
}

impl AnswerReader {
    /// The next event; none after the end.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            let changed = Arc::clone(&self.changed);
            let changed = changed.notified();
            if self.next == Next::Nothing {
                return None;
            }
            if let Some(event) = self.step() {
                return Some(event);
            }
            if timeout(PROGRESS_INTERVAL, changed).await.is_err() {
                return Some(Event::Progress(Progress {}));
            }
        }
    }

    /// The events as a stream for tonic.
    pub fn into_stream(self) -> impl Stream<Item = Result<ExecuteEvent, Status>> + Send {
        stream::unfold(self, |mut reader| async move {
            let event = reader.next().await?;
            Some((Ok(ExecuteEvent { event: Some(event) }), reader))
        })
    }

    fn step(&mut self) -> Option<Event> {
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let entry = table.entries.get_mut(&self.id).filter(|entry| entry.serial == self.serial);
        let Some(entry) = entry.filter(|entry| self.offset >= entry.base) else {
            self.next = Next::Nothing;
            return Some(failed(Reason::AnswerGone));
        };
        if self.next == Next::Accepted {
            self.next = Next::Head;
            return Some(Event::Accepted(entry.accepted));
        }
        if self.next == Next::Head {
            if let Some(head) = &entry.head {
                self.next = Next::Body;
                return Some(Event::Head(head.clone()));
            }
        } else if self.offset < entry.length() {
            let from = (self.offset - entry.base) as usize;
            let to = entry.buf.len().min(from + PIECE);
            let chunk = Bytes::copy_from_slice(&entry.buf[from..to]);
            let offset = self.offset;
            self.offset += chunk.len() as u64;
            entry.read_to = entry.read_to.max(self.offset);
            entry.last_read = now;
            for reader in entry.readers.iter_mut().filter(|reader| reader.number == self.number) {
                (reader.offset, reader.active_at) = (self.offset, now);
            }
            entry.room.notify_waiters();
            return Some(Event::Data(Data { offset, chunk }));
        }
        let end = entry.end.clone()?;
        self.next = Next::Nothing;
        if let Event::Finished(Finished { length, .. }) = &end {
            if self.offset > *length {
                return Some(failed(Reason::BadRequest));
            }
            invariant::check(Promise::Answer, *length == self.offset, || {
                format!("answer {} ends at {} of {length} bytes", self.id, self.offset)
            });
        }
        Some(end)
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        table.readers -= 1;
        table.exhausted.clear();
        if let Some(entry) = table.entries.get_mut(&self.id).filter(|entry| entry.serial == self.serial) {
            entry.readers.retain(|reader| reader.number != self.number);
            entry.last_reader_left = now;
        }
        drop(table);
        self.answers.quiet.notify_waiters();
    }
}

impl Table {
    /// Whether `size` more bytes fit the bounds without the reserve, after dropping what may be dropped.
    fn make_room(&mut self, limits: &AnswerLimits, customer: &CustomerId, size: u64, now: Millis) -> bool {
        while let Some(only) = self.usage.shortage(limits, customer, size) {
            if self.exhausted.contains(&only) {
                return false;
            }
            if !self.evict(limits, only.as_ref(), now) && !self.drop_read(only.as_ref(), size, now) {
                self.exhausted.insert(only);
                return false;
            }
        }
        true
    }

    /// Drops the finished answer that is missed least: one that was read, else the oldest.
    fn evict(&mut self, limits: &AnswerLimits, only: Option<&CustomerId>, now: Millis) -> bool {
        let entries = &self.entries;
        let mut candidates = self
            .ended
            .values()
            .filter(|id| entries.get(*id).is_some_and(|e| only.is_none_or(|c| e.customer == *c)))
            .filter(|id| entries[*id].is_idle(limits, now));
        let first = candidates.clone().find(|id| entries[*id].is_read());
        let Some(id) = first.or_else(|| candidates.next()).cloned() else { return false };
        self.remove(&id);
        true
    }

    /// Drops bytes of running answers that were read.
    fn drop_read(&mut self, only: Option<&CustomerId>, size: u64, now: Millis) -> bool {
        let mut left = size;
        for entry in self.entries.values_mut().filter(|e| only.is_none_or(|c| e.customer == *c)) {
            let dropped = entry.drop_read(u64::MAX, now);
            self.usage.sub(&entry.customer, dropped);
            left = left.saturating_sub(dropped);
            if left == 0 {
                break;
            }
        }
        left < size
    }

    fn draw_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn remove(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.remove(id) else { return };
        self.usage.sub(&entry.customer, OVERHEAD + entry.buf.len() as u64);
        if let Stage::Ended(at) = entry.stage {
            self.ended.remove(&(at, entry.serial));
        }
        entry.changed.notify_waiters();
    }
}

impl Usage {
    /// The bound that `size` more bytes would exceed without the reserve: the customer's, or that of
    /// the process as `Some(None)`.
    fn shortage(&self, limits: &AnswerLimits, customer: &CustomerId, size: u64) -> Option<Option<CustomerId>> {
        if self.of(customer) + size > limits.per_customer.0 {
            return Some(Some(customer.clone()));
        }
        let total = limits.total.0 - limits.total.0 / RESERVE;
        (self.total + size > total).then_some(None)
    }

    /// Whether `size` more bytes fit when the reserve is used.
    fn fits_reserve(&self, limits: &AnswerLimits, customer: &CustomerId, size: u64) -> bool {
        self.total + size <= limits.total.0 && self.of(customer) + size <= limits.per_customer.0
    }

    fn of(&self, customer: &CustomerId) -> u64 {
        self.per_customer.get(customer).copied().unwrap_or_default()
    }

    fn add(&mut self, customer: &CustomerId, size: u64) {
        self.total += size;
        *self.per_customer.entry(customer.clone()).or_default() += size;
    }

    fn sub(&mut self, customer: &CustomerId, size: u64) {
        self.total -= size;
        if let Some(usage) = self.per_customer.get_mut(customer) {
            *usage -= size;
            if *usage == 0 {
                self.per_customer.remove(customer);
            }
        }
    }
}

impl Entry {
    fn length(&self) -> u64 {
        self.base + self.buf.len() as u64
    }

    /// Bytes that a reader still needs.
    fn unread(&self, now: Millis) -> u64 {
        self.length() - self.needed_from(now)
    }

    fn is_read(&self) -> bool {
        self.read_to == self.length()
    }

    /// Offset from which bytes are still needed: that of the active reader that is furthest behind.
    /// A reader that has stalled counts only when there is no active one, as its connection may be
    /// dead.
    fn needed_from(&self, now: Millis) -> u64 {
        let active = self.readers.iter().filter(|reader| now - reader.active_at < RESUME_GRACE);
        let active = active.map(|reader| reader.offset).min();
        let stalled = || self.readers.iter().map(|reader| reader.offset).max();
        active.or_else(stalled).unwrap_or(self.base).clamp(self.base, self.length())
    }

    fn append(&mut self, piece: &[u8]) {
        // Grows by a page at a time: doubling would hold up to twice the bytes that are counted.
        const PAGE: usize = 4 << 10;
        let needed = self.buf.len() + piece.len();
        if needed > self.buf.capacity() {
            self.buf.reserve_exact(needed.next_multiple_of(PAGE) - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
    }

    /// Drops up to `size` bytes that were read; gives the number dropped.
    fn drop_read(&mut self, size: u64, now: Millis) -> u64 {
        let dropped = size.min(self.needed_from(now) - self.base);
        self.buf.drain(..dropped as usize);
        self.buf.shrink_to(self.buf.len());
        self.base += dropped;
        dropped
    }

    /// Whether no reader would miss the finished answer.
    fn is_idle(&self, limits: &AnswerLimits, now: Millis) -> bool {
        self.readers.is_empty() || now - self.last_read >= limits.stalled_after
    }

    /// Reason to cancel the request for want of a reader.
    fn nobody_reads(&self, limits: &AnswerLimits, patience: Millis, now: Millis) -> Option<Reason> {
        let left = self.readers.is_empty().then(|| now - self.last_reader_left);
        let blocked = self.blocked_since.map(|since| now - since.max(self.last_read));
        match self.stage {
            Stage::Ended(_) => None,
            Stage::Waiting => left.filter(|&time| time >= RESUME_GRACE).map(|_| Reason::Cancelled),
            _ if blocked.is_some_and(|time| time >= patience) => Some(Reason::SlowReader),
            Stage::Running => left.filter(|&time| time >= limits.stalled_after).map(|_| Reason::Cancelled),
            Stage::RunningOnce => None,
        }
    }
}

/// The event for a request that failed without anything to bill.
pub fn failed(reason: Reason) -> Event {
    Event::Failed(Failed { reason: reason.as_str().to_owned(), bill: None })
}

/// The event for a refused request.
pub fn refused(refusal: &Refusal, revision: u64) -> Event {
    Event::Refused(Refused {
        reason: refusal.reason.as_str().to_owned(),
        not_run: refusal.outcome == eelgrasswell_core::refusal::Outcome::NotRun,
        revision,
        retry_after_ms: refusal.retry_after.unwrap_or_default().0,
    })
}
