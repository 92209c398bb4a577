//! Buffers running and finished answers for their readers, in bounded memory.
//!
//! There are memory limits per answer, per customer and for the whole process. If a limit is reached, bytes that a
//! reader still needs block the engine (backpressure). Without a reader all bytes count as needed, because the next
//! reader may start at any offset. Bytes that were read and finished answers are only kept while there is room.
//!
//! An answer without unread bytes may always append one more piece, so that slow readers never block a reader that
//! keeps up. A quarter of the total is reserved for such pieces and for new answers; at the default limits it covers
//! one piece for each of 256 running requests.

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

/// Maximum number of bytes that are stored or sent at a time.
pub const MAX_PIECE_BYTES: usize = 16 << 10;
/// The total divided by this is the reserve for new answers and answers without unread bytes.
const RESERVE_DIVISOR: u64 = 4;
/// Memory that an answer is accounted for besides its body.
const ENTRY_OVERHEAD_BYTES: u64 = 512;
/// Interval of progress events while the answer has no new bytes; readers time out after three missing events.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a request without a reader may wait for admission until another reader attaches, and for which a reader
/// that reads nothing counts as active. Routers open a new connection after 3 s without an event.
const RESUME_GRACE: Millis = Millis(5_000);
/// Time that a running request may wait for its reader while other requests wait for admission. With `stalled_after`
/// instead, 192 stalled requests held all places of three backend servers, and another customer waited 29 s.
const STALL_LIMIT_WHEN_QUEUED: Millis = Millis(1_000);
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Shared table of answers. Cheap to clone.
#[derive(Clone)]
pub struct Answers {
    limits: Arc<AnswerLimits>,
    clock: Clock,
    table: Arc<Mutex<Table>>,
    /// Notified when an answer ends or a reader detaches.
    idle_changed: Arc<Notify>,
    /// Whether requests wait for admission to the backend server.
    requests_queued: Arc<AtomicBool>,
}

#[derive(Default)]
struct Table {
    entries: HashMap<RequestId, Entry>,
    /// Ids of ended answers by the time of their end and their serial number.
    ended: BTreeMap<(Millis, u64), RequestId>,
    usage: Usage,
    /// Limits (of a customer, or of the process as `None`) under which nothing can be dropped until the next sweep or
    /// the end of an answer or reader. This saves repeated searches: a search takes time in proportion to the number
    /// of answers, and stalled readers keep the limits exceeded for long.
    exhausted_limits: HashSet<Option<CustomerId>>,
    /// Number of requests that have not ended.
    unfinished: usize,
    /// Number of attached readers of all answers.
    readers: usize,
    next_number: u64,
}

/// Memory in use, in bytes.
#[derive(Default)]
struct Usage {
    total: u64,
    per_customer: HashMap<CustomerId, u64>,
}

struct Entry {
    /// Distinguishes this answer from earlier ones with the same request id.
    serial: u64,
    customer: CustomerId,
    accepted: Accepted,
    head: Option<Head>,
    /// Bytes of the body from offset `base` on.
    buf: Vec<u8>,
    base: u64,
    /// Highest offset that any reader has reached.
    read_up_to: u64,
    readers: Vec<ReaderPosition>,
    last_read: Millis,
    last_reader_left: Millis,
    /// Time since which the writer is blocked by a limit.
    blocked_since: Option<Millis>,
    stage: Stage,
    /// Last event of an ended answer.
    end: Option<Event>,
    /// Reason for cancelling the request, once it is cancelled.
    cancel: Option<Reason>,
    /// Notified when readers may have something to read.
    changed: Arc<Notify>,
    /// Notified when the request is cancelled.
    cancelled: Arc<Notify>,
    /// Notified when there may be room for the writer. Each entry has its own, because waking all writers for each
    /// chunk that any reader reads would cost time in proportion to the number of stalled ones.
    room: Arc<Notify>,
}

/// Progress of an attached reader.
struct ReaderPosition {
    number: u64,
    offset: u64,
    active_at: Millis,
}

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request waits for admission.
    Waiting,
    /// The request is running and may be cancelled if it has no reader.
    Running,
    /// The request is running and must not be cancelled for lack of a reader, because it runs at most once.
    RunningOnce,
    /// The request ended at this time; zero if it was refused.
    Ended(Millis),
}

/// Appends to an answer. If it is dropped without a call of `end`, the answer fails.
pub struct AnswerWriter {
    answers: Answers,
    id: RequestId,
    customer: CustomerId,
    changed: Arc<Notify>,
    cancelled: Arc<Notify>,
    room: Arc<Notify>,
    ended: bool,
}

/// Reads the events of an answer from an offset of the body on.
pub struct AnswerReader {
    answers: Answers,
    id: RequestId,
    serial: u64,
    number: u64,
    changed: Arc<Notify>,
    offset: u64,
    next_event: NextEvent,
}

/// Kind of event that a reader gets next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextEvent {
    Accepted,
    Head,
    Body,
    Done,
}

impl Answers {
    /// Creates an empty table.
    pub fn open(limits: AnswerLimits, clock: Clock) -> Self {
        let (table, idle_changed, requests_queued) = (Arc::default(), Arc::default(), Arc::default());
        Self { limits: Arc::new(limits), clock, table, idle_changed, requests_queued }
    }

    /// Creates an answer with its first reader. Refuses it with `Reason::SlowReader` if its entry does not fit the
    /// limits of the customer and the process, reserve included, and nothing can be dropped.
    pub fn create(
        &self,
        id: &RequestId,
        customer: &CustomerId,
        accepted: Accepted,
    ) -> Result<(AnswerWriter, AnswerReader), Refusal> {
        let now = self.clock.now();
        let mut table = self.lock();
        if !table.make_room(&self.limits, customer, ENTRY_OVERHEAD_BYTES, now)
            && !table.usage.fits_reserve(&self.limits, customer, ENTRY_OVERHEAD_BYTES)
        {
            return Err(Refusal::not_run(Reason::SlowReader));
        }
        table.remove(id);
        let (serial, number) = (table.allocate_number(), table.allocate_number());
        let changed = Arc::new(Notify::new());
        let (cancelled, room) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let entry = Entry {
            serial,
            customer: customer.clone(),
            accepted,
            head: None,
            buf: Vec::new(),
            base: 0,
            read_up_to: 0,
            readers: vec![ReaderPosition { number, offset: 0, active_at: now }],
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
        table.usage.add(customer, ENTRY_OVERHEAD_BYTES);
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
            next_event: NextEvent::Accepted,
        };
        Ok((answer, reader))
    }

    /// Attaches a reader to an answer of `customer` at a byte offset. Returns `None` if the answer is not held.
    pub fn attach_reader(&self, id: &RequestId, customer: &CustomerId, offset: u64) -> Option<AnswerReader> {
        let now = self.clock.now();
        let mut table = self.lock();
        let number = table.allocate_number();
        let entry = table.entries.get_mut(id).filter(|entry| entry.customer == *customer)?;
        entry.readers.push(ReaderPosition { number, offset, active_at: now });
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
            next_event: NextEvent::Accepted,
        })
    }

    /// Returns the status and complete body of a finished answer of `customer`, if all of it is held.
    pub fn finished_response(&self, id: &RequestId, customer: &CustomerId) -> Option<(u32, Bytes)> {
        let table = self.lock();
        let entry = table.entries.get(id).filter(|entry| entry.customer == *customer && entry.base == 0)?;
        let Some(Event::Finished(_)) = entry.end else { return None };
        Some((entry.head.as_ref()?.status, Bytes::copy_from_slice(&entry.buf)))
    }

    /// Returns the number of requests that have not ended.
    pub fn unfinished_count(&self) -> usize {
        self.lock().unfinished
    }

    /// Returns the memory in use in bytes, with the overhead of each answer.
    pub fn held_bytes(&self) -> u64 {
        self.lock().usage.total
    }

    /// Waits until all requests have ended and all readers are detached.
    pub async fn wait_until_idle(&self) {
        loop {
            let idle_changed = self.idle_changed.notified();
            {
                let table = self.lock();
                if table.unfinished == 0 && table.readers == 0 {
                    return;
                }
            }
            idle_changed.await;
        }
    }

    /// Records whether requests wait for admission to the backend server, which shortens the time that stalled requests
    /// may run.
    pub fn set_requests_queued(&self, requests_queued: bool) {
        self.requests_queued.store(requests_queued, Ordering::Relaxed);
    }

    /// Periodically drops answers that were held long enough and cancels requests whose answers are not read. Runs
    /// until the task is aborted.
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
        let expired = table.ended.iter().take_while(|((at, _), _)| now - *at >= self.limits.hold);
        let expired: Vec<_> = expired.map(|(_, id)| id.clone()).collect();
        for id in expired {
            if table.entries.get(&id).is_some_and(|entry| entry.is_idle(&self.limits, now)) {
                table.remove(&id);
            }
        }
        let requests_queued = self.requests_queued.load(Ordering::Relaxed);
        let stall_limit = if requests_queued {
            STALL_LIMIT_WHEN_QUEUED.min(self.limits.stalled_after)
        } else {
            self.limits.stalled_after
        };
        for entry in table.entries.values_mut() {
            if let Some(reason) = entry.cancel_reason(&self.limits, stall_limit, now) {
                entry.cancel.get_or_insert(reason);
                entry.cancelled.notify_waiters();
            }
        }
        table.exhausted_limits.clear();
        let Table { entries, usage, .. } = &*table;
        let blocked = entries.values().filter(|entry| entry.blocked_since.is_some());
        for entry in blocked.filter(|entry| usage.exceeded_limit(&self.limits, &entry.customer, 1).is_none()) {
            entry.room.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }
}

impl AnswerWriter {
    /// Marks the request as running.
    pub fn start(&self, at_most_once: bool) {
        let stage = if at_most_once { Stage::RunningOnce } else { Stage::Running };
        self.update(|entry| entry.stage = stage);
    }

    /// Sets the status and headers.
    pub fn set_head(&self, head: Head) {
        self.update(|entry| entry.head = Some(head));
    }

    /// Appends bytes to the body. Waits while a limit is reached. The error is the reason for which the request was
    /// cancelled in the meantime.
    pub async fn push(&self, bytes: &[u8]) -> Result<(), Reason> {
        for piece in bytes.chunks(MAX_PIECE_BYTES) {
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

    /// Waits until the request is cancelled and returns the reason.
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

    /// Returns the length of the body so far, in bytes.
    pub fn length(&self) -> u64 {
        self.answers.lock().entries.get(&self.id).map_or(0, Entry::length)
    }

    /// Ends the answer with its last event.
    pub fn end(mut self, end: Event) {
        self.ended = true;
        self.end_entry(end);
    }

    fn end_entry(&self, end: Event) {
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let Table { entries, ended, unfinished, .. } = &mut *table;
        let Some(entry) = entries.get_mut(&self.id) else { return };
        // A refused request has no answer to hold, and its id can be reserved again.
        let held_until = if matches!(end, Event::Refused(_)) { Millis::ZERO } else { now };
        entry.end = Some(end);
        entry.stage = Stage::Ended(held_until);
        ended.insert((held_until, entry.serial), self.id.clone());
        *unfinished -= 1;
        table.exhausted_limits.clear();
        drop(table);
        self.changed.notify_waiters();
        self.answers.idle_changed.notify_waiters();
    }

    fn try_push(&self, piece: &[u8]) -> bool {
        let limits = &self.answers.limits;
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let size = piece.len() as u64;
        let Table { entries, usage, .. } = &mut *table;
        let Some(entry) = entries.get_mut(&self.id) else { return true };
        let exceeds_limit = usage.exceeded_limit(limits, &self.customer, size).is_some();
        if exceeds_limit || entry.buf.len() as u64 + size > limits.per_answer.0 {
            let dropped = entry.drop_read(size.max(limits.per_answer.0 / 4), now);
            usage.sub(&self.customer, dropped);
        }
        let unread = entry.unread(now);
        let fits = entry.buf.len() as u64 + size <= limits.per_answer.0;
        // `make_room` drops what can be dropped in any case, but the writer only waits if the answer has unread bytes
        // (see the module documentation).
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
            self.end_entry(failed(Reason::Internal));
        }
    }
}

impl AnswerReader {
    /// Returns the next event, or a progress event if there is none for `PROGRESS_INTERVAL`. Returns `None` after the
    /// last event.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            let changed = Arc::clone(&self.changed);
            let changed = changed.notified();
            if self.next_event == NextEvent::Done {
                return None;
            }
            if let Some(event) = self.poll_event() {
                return Some(event);
            }
            if timeout(PROGRESS_INTERVAL, changed).await.is_err() {
                return Some(Event::Progress(Progress {}));
            }
        }
    }

    /// Returns the events as a response stream for tonic.
    pub fn into_stream(self) -> impl Stream<Item = Result<ExecuteEvent, Status>> + Send {
        stream::unfold(self, |mut reader| async move {
            let event = reader.next().await?;
            Some((Ok(ExecuteEvent { event: Some(event) }), reader))
        })
    }

    /// Returns the next event if it is available.
    fn poll_event(&mut self) -> Option<Event> {
        let now = self.answers.clock.now();
        let mut table = self.answers.lock();
        let entry = table.entries.get_mut(&self.id).filter(|entry| entry.serial == self.serial);
        let Some(entry) = entry.filter(|entry| self.offset >= entry.base) else {
            self.next_event = NextEvent::Done;
            return Some(failed(Reason::AnswerGone));
        };
        if self.next_event == NextEvent::Accepted {
            self.next_event = NextEvent::Head;
            return Some(Event::Accepted(entry.accepted));
        }
        if self.next_event == NextEvent::Head {
            if let Some(head) = &entry.head {
                self.next_event = NextEvent::Body;
                return Some(Event::Head(head.clone()));
            }
        } else if self.offset < entry.length() {
            let from = (self.offset - entry.base) as usize;
            let to = entry.buf.len().min(from + MAX_PIECE_BYTES);
            let chunk = Bytes::copy_from_slice(&entry.buf[from..to]);
            let offset = self.offset;
            self.offset += chunk.len() as u64;
            entry.read_up_to = entry.read_up_to.max(self.offset);
            entry.last_read = now;
            for reader in entry.readers.iter_mut().filter(|reader| reader.number == self.number) {
                (reader.offset, reader.active_at) = (self.offset, now);
            }
            entry.room.notify_waiters();
            return Some(Event::Data(Data { offset, chunk }));
        }
        let end = entry.end.clone()?;
        self.next_event = NextEvent::Done;
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
        table.exhausted_limits.clear();
        if let Some(entry) = table.entries.get_mut(&self.id).filter(|entry| entry.serial == self.serial) {
            entry.readers.retain(|reader| reader.number != self.number);
            entry.last_reader_left = now;
        }
        drop(table);
        self.answers.idle_changed.notify_waiters();
    }
}

impl Table {
    /// Drops what may be dropped until `size` more bytes fit the limits without the reserve. Returns whether they fit.
    fn make_room(&mut self, limits: &AnswerLimits, customer: &CustomerId, size: u64, now: Millis) -> bool {
        while let Some(scope) = self.usage.exceeded_limit(limits, customer, size) {
            if self.exhausted_limits.contains(&scope) {
                return false;
            }
            if !self.evict(limits, scope.as_ref(), now) && !self.drop_read(scope.as_ref(), size, now) {
                self.exhausted_limits.insert(scope);
                return false;
            }
        }
        true
    }

    /// Drops the oldest idle answer that was fully read, or else the oldest idle one, of the customer in `scope` or of
    /// all customers. Returns whether there was one.
    fn evict(&mut self, limits: &AnswerLimits, scope: Option<&CustomerId>, now: Millis) -> bool {
        let entries = &self.entries;
        let mut candidates = self
            .ended
            .values()
            .filter(|id| entries.get(*id).is_some_and(|entry| scope.is_none_or(|customer| entry.customer == *customer)))
            .filter(|id| entries[*id].is_idle(limits, now));
        let first = candidates.clone().find(|id| entries[*id].is_fully_read());
        let Some(id) = first.or_else(|| candidates.next()).cloned() else { return false };
        self.remove(&id);
        true
    }

    /// Drops bytes that were read until `size` bytes are dropped. Returns whether any were.
    fn drop_read(&mut self, scope: Option<&CustomerId>, size: u64, now: Millis) -> bool {
        let mut remaining = size;
        for entry in self.entries.values_mut().filter(|entry| scope.is_none_or(|customer| entry.customer == *customer))
        {
            let dropped = entry.drop_read(u64::MAX, now);
            self.usage.sub(&entry.customer, dropped);
            remaining = remaining.saturating_sub(dropped);
            if remaining == 0 {
                break;
            }
        }
        remaining < size
    }

    fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn remove(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.remove(id) else { return };
        self.usage.sub(&entry.customer, ENTRY_OVERHEAD_BYTES + entry.buf.len() as u64);
        if let Stage::Ended(at) = entry.stage {
            self.ended.remove(&(at, entry.serial));
        }
        entry.changed.notify_waiters();
    }
}

impl Usage {
    /// Returns the limit that `size` more bytes would exceed without the reserve: the limit of the customer as
    /// `Some(Some(customer))`, or that of the process as `Some(None)`.
    fn exceeded_limit(&self, limits: &AnswerLimits, customer: &CustomerId, size: u64) -> Option<Option<CustomerId>> {
        if self.customer_bytes(customer) + size > limits.per_customer.0 {
            return Some(Some(customer.clone()));
        }
        let total = limits.total.0 - limits.total.0 / RESERVE_DIVISOR;
        (self.total + size > total).then_some(None)
    }

    /// Whether `size` more bytes fit the limits if the reserve is used.
    fn fits_reserve(&self, limits: &AnswerLimits, customer: &CustomerId, size: u64) -> bool {
        self.total + size <= limits.total.0 && self.customer_bytes(customer) + size <= limits.per_customer.0
    }

    fn customer_bytes(&self, customer: &CustomerId) -> u64 {
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

    /// Number of bytes that a reader still needs.
    fn unread(&self, now: Millis) -> u64 {
        self.length() - self.first_needed_offset(now)
    }

    fn is_fully_read(&self) -> bool {
        self.read_up_to == self.length()
    }

    /// Returns the offset from which bytes are still needed: that of the active reader that is furthest behind. Stalled
    /// readers only count if there is no active one, because their connections may be dead; then the one that is
    /// furthest ahead counts.
    fn first_needed_offset(&self, now: Millis) -> u64 {
        let active = self.readers.iter().filter(|reader| now - reader.active_at < RESUME_GRACE);
        let active = active.map(|reader| reader.offset).min();
        let stalled = || self.readers.iter().map(|reader| reader.offset).max();
        active.or_else(stalled).unwrap_or(self.base).clamp(self.base, self.length())
    }

    fn append(&mut self, piece: &[u8]) {
        // Grows by one page at a time, because doubling would allocate up to twice the bytes that are accounted for.
        const PAGE: usize = 4 << 10;
        let needed = self.buf.len() + piece.len();
        if needed > self.buf.capacity() {
            self.buf.reserve_exact(needed.next_multiple_of(PAGE) - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
    }

    /// Drops up to `size` bytes that were read. Returns the number of dropped bytes.
    fn drop_read(&mut self, size: u64, now: Millis) -> u64 {
        let dropped = size.min(self.first_needed_offset(now) - self.base);
        self.buf.drain(..dropped as usize);
        self.buf.shrink_to(self.buf.len());
        self.base += dropped;
        dropped
    }

    /// Whether the finished answer has no readers, or was not read for `stalled_after`.
    fn is_idle(&self, limits: &AnswerLimits, now: Millis) -> bool {
        self.readers.is_empty() || now - self.last_read >= limits.stalled_after
    }

    /// Returns the reason to cancel the request because its answer is not read, if there is one.
    fn cancel_reason(&self, limits: &AnswerLimits, stall_limit: Millis, now: Millis) -> Option<Reason> {
        let unattended = self.readers.is_empty().then(|| now - self.last_reader_left);
        let blocked = self.blocked_since.map(|since| now - since.max(self.last_read));
        match self.stage {
            Stage::Ended(_) => None,
            Stage::Waiting => unattended.filter(|&time| time >= RESUME_GRACE).map(|_| Reason::Cancelled),
            _ if blocked.is_some_and(|time| time >= stall_limit) => Some(Reason::SlowReader),
            Stage::Running => unattended.filter(|&time| time >= limits.stalled_after).map(|_| Reason::Cancelled),
            Stage::RunningOnce => None,
        }
    }
}

/// Returns the event for a request that failed without a bill.
pub fn failed(reason: Reason) -> Event {
    Event::Failed(Failed { reason: reason.as_str().to_owned(), bill: None })
}

/// Returns the event for a refused request.
pub fn refused(refusal: &Refusal, revision: u64) -> Event {
    Event::Refused(Refused {
        reason: refusal.reason.as_str().to_owned(),
        not_run: refusal.outcome == eelgrasswell_core::refusal::Outcome::NotRun,
        revision,
        retry_after_ms: refusal.retry_after.unwrap_or_default().0,
    })
}
