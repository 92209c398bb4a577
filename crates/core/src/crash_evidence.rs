//! Finds parts of prompts that crash the backend servers which answer them, and refuses requests with such a part.
//!
//! The pattern is the query of death: each request with the part ends the server that begins to answer it, together with
//! the other answers of that server, and its repeats end further servers. Requests with the part come at any router and
//! are alike in nothing else. The other requests on a crashed server are sound, and share all other parts.
//!
//! Evidence is pooled over the routers as sets and latest times, which a late, lost, repeated or reordered message can't
//! undo. A part is blocked once answers to several requests with it broke off at several servers, no request with it
//! succeeded since, and none of these crashes is better explained by another part. A success clears a part. Blocked parts
//! get single probes at growing intervals, so that a part that was blocked wrongly or is harmless by now comes free.

use crate::{
    backend::ServerId,
    hash::{HashMap, HashSet, stable_hash},
    id::HostId,
    unit::Millis,
};

/// Number of servers, by incarnation, at which answers with a part broke off before it is blocked.
const MIN_SERVERS: usize = 3;
/// Number of requests whose answers broke off before a part is blocked. Breaks of one request say little, since a request
/// that is resumed may meet several failing servers.
const MIN_REQUESTS: usize = 2;
/// Number of servers from which on a request is refused that has several parts with equally many crashes.
const MIN_TIED_SERVERS: usize = 5;
/// Time from the start of an answer within which a break counts against the parts of its prompt.
const MAX_CRASH_DELAY: Millis = Millis(1_000);
/// Age at which a crash no longer counts.
const CRASH_EXPIRY: Millis = Millis(30_000);
/// Time after the last request with a blocked part at which it is forgotten.
const BLOCK_EXPIRY: Millis = Millis(120_000);
/// Time for which a success is remembered.
const SUCCESS_EXPIRY: Millis = Millis(60_000);
/// Time after a success within which a break is not counted against a part, since a deadly part has no successes.
const RECENT_SUCCESS: Millis = Millis(1_500);
/// Time from the block of a part to the first probe; doubles with each further one.
const PROBE_INTERVAL: Millis = Millis(45_000);
/// Maximum number of parts with evidence against them.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of crashes kept for one part.
const MAX_CRASHES: usize = 16;
/// Maximum number of parts whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;
/// Maximum number of crashes in a report.
const MAX_REPORTED: usize = 256;

/// Hash of the id of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// An answer that broke off at a server, as evidence against one part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The part.
    pub part: PartId,
    /// Server at which the answer broke off.
    pub server: ServerId,
    /// Hash of the request's id.
    pub request: u64,
    /// Time of the break.
    pub at: Millis,
}

/// A part whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The part.
    pub part: PartId,
    /// Time at which it was blocked.
    pub since: Millis,
    /// Time of the last request with it.
    pub last_seen: Millis,
    /// Number of probes so far.
    pub probes: u32,
    /// Number of servers that crashed.
    pub servers: u32,
}

/// The last success of a request with a suspected part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The part.
    pub part: PartId,
    /// Time of the success.
    pub at: Millis,
}

/// Evidence that one router reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Crashes that count, of parts that are not blocked.
    pub crashes: Vec<Crash>,
    /// Blocked parts.
    pub blocks: Vec<Block>,
    /// Successes that clear suspected parts.
    pub clearances: Vec<Clearance>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Send,
    /// It may be sent as a probe of this blocked part, once.
    Probe(Block),
    /// It must not be sent because of this part.
    Refuse(Block),
}

/// Pooled evidence against prompt parts.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    suspects: HashMap<PartId, Vec<Crash>>,
    blocks: HashMap<PartId, Block>,
    /// Last success of each part.
    successes: HashMap<PartId, Millis>,
    /// Parts with a clearance to report.
    cleared: HashSet<PartId>,
}

impl PartId {
    /// Id of the part with the name `name`.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(&[name]))
    }
}

impl CrashEvidence {
    /// Records that the answer to `request` with the shared parts `parts` broke off at `server`, `answering` after its
    /// start (zero if it had not started). A break long after the start does not count: a deadly part crashes a server
    /// that begins an answer, so this answer was only one of the others there.
    pub fn record_crash(&mut self, now: Millis, server: ServerId, request: u64, parts: &[PartId], answering: Millis) {
        if answering > MAX_CRASH_DELAY {
            return;
        }
        for part in parts {
            let succeeded = self.successes.get(part).is_some_and(|&at| now.saturating_sub(at) < RECENT_SUCCESS);
            if !succeeded {
                self.insert(Crash { part: *part, server, request, at: now });
            }
        }
    }

    /// Records that a request with the shared parts `parts` succeeded, which clears them.
    pub fn record_success(&mut self, now: Millis, parts: &[PartId]) {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, at| now.saturating_sub(*at) < RECENT_SUCCESS);
            self.cleared.retain(|part| self.successes.contains_key(part));
        }
        for part in parts {
            if self.is_suspected(*part) || self.successes.len() < MAX_SUCCESSES {
                self.clear(Clearance { part: *part, at: now });
            }
        }
    }

    /// Decides whether a request with the shared parts `parts` may be sent. `may_probe` tells whether this router is the
    /// one that probes a part.
    pub fn decide(&mut self, now: Millis, parts: &[PartId], may_probe: impl Fn(PartId) -> bool) -> Decision {
        if self.suspects.is_empty() && self.blocks.is_empty() {
            return Decision::Send;
        }
        for part in parts {
            if !self.blocks.contains_key(part)
                && let Some(block) = self.find_deadly(now, *part, &[])
            {
                self.blocks.insert(*part, block);
            }
        }
        let blocked = parts.iter().find(|part| self.blocks.contains_key(part));
        let Some(block) = blocked.and_then(|part| self.blocks.get_mut(part)) else {
            return self.decide_tied(now, parts);
        };
        block.last_seen = block.last_seen.max(now);
        if now >= block.next_probe() && may_probe(block.part) {
            block.probes += 1;
            return Decision::Probe(*block);
        }
        Decision::Refuse(*block)
    }

    /// Decides on a request without blocked parts. Parts that were in the prompts of the same crashes can't be told apart,
    /// so only a request with all of them is refused; one with some of them tells which part is deadly.
    fn decide_tied(&self, now: Millis, parts: &[PartId]) -> Decision {
        let has_many_crashes = |part: &PartId| self.server_count(*part) >= MIN_TIED_SERVERS;
        let block =
            parts.iter().filter(|part| has_many_crashes(part)).find_map(|part| self.find_deadly(now, *part, parts));
        block.map_or(Decision::Send, Decision::Refuse)
    }

    /// Whether `own`, among the live routers `others`, is the one that probes `part`: the one with the highest hash.
    pub fn is_prober<'a>(part: PartId, own: &HostId, others: impl IntoIterator<Item = &'a HostId>) -> bool {
        let weight = |id: &HostId| stable_hash(&[id.as_str(), &part.0.to_string()]);
        others.into_iter().all(|other| weight(other) < weight(own))
    }

    /// Number of parts with evidence against them, and of parts whose last success is kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.suspects.len(), self.successes.len())
    }

    /// Number of blocked parts.
    pub fn blocked(&self) -> usize {
        self.blocks.len()
    }

    /// Evidence for the other routers, after expired evidence has been removed. Parts with the most crashes come first.
    pub fn report(&mut self, now: Millis) -> Report {
        self.expire(now);
        let mut suspects: Vec<&Vec<Crash>> =
            self.suspects.iter().filter(|(part, _)| !self.blocks.contains_key(part)).map(|(_, list)| list).collect();
        suspects.sort_by_key(|crashes| std::cmp::Reverse(crashes.len()));
        let crashes = suspects.into_iter().flatten().copied().take(MAX_REPORTED).collect();
        let clearance = |part: &PartId| Some(Clearance { part: *part, at: *self.successes.get(part)? });
        Report {
            crashes,
            blocks: self.blocks.values().copied().collect(),
            clearances: self.cleared.iter().filter_map(clearance).collect(),
        }
    }

    /// Merges the evidence of another router, and returns the blocks that were not known before.
    pub fn merge(&mut self, now: Millis, report: &Report) -> Vec<Block> {
        report.clearances.iter().for_each(|clearance| self.clear(*clearance));
        let is_recent = |crash: &&Crash| now.saturating_sub(crash.at) < CRASH_EXPIRY;
        report.crashes.iter().filter(is_recent).for_each(|crash| self.insert(*crash));
        report.blocks.iter().copied().filter(|block| self.merge_block(now, *block)).collect()
    }

    fn is_suspected(&self, part: PartId) -> bool {
        self.suspects.contains_key(&part) || self.blocks.contains_key(&part)
    }

    fn insert(&mut self, crash: Crash) {
        if self.successes.get(&crash.part).is_some_and(|&at| at >= crash.at) {
            return;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&crash.part) {
            self.drop_weakest_suspect();
        }
        let crashes = self.suspects.entry(crash.part).or_default();
        let is_known = crashes.iter().any(|known| (known.server, known.request) == (crash.server, crash.request));
        if !is_known && crashes.len() < MAX_CRASHES {
            crashes.push(crash);
        }
    }

    fn drop_weakest_suspect(&mut self) {
        let weakest = self.suspects.iter().min_by_key(|(part, crashes)| (crashes.len(), **part)).map(|(part, _)| *part);
        if let Some(part) = weakest {
            self.suspects.remove(&part);
        }
    }

    /// Drops the evidence against a part that is older than its success.
    fn clear(&mut self, clearance: Clearance) {
        let Clearance { part, at } = clearance;
        let last = self.successes.entry(part).or_insert(at);
        *last = (*last).max(at);
        let mut was_suspected = self.blocks.get(&part).is_some_and(|block| block.since <= at);
        if was_suspected {
            self.blocks.remove(&part);
        }
        if let Some(crashes) = self.suspects.get_mut(&part) {
            let before = crashes.len();
            crashes.retain(|crash| crash.at > at);
            was_suspected |= crashes.len() < before;
            if crashes.is_empty() {
                self.suspects.remove(&part);
            }
        }
        if was_suspected {
            self.cleared.insert(part);
        }
    }

    /// Merges a block, and returns whether its part was not blocked before.
    fn merge_block(&mut self, now: Millis, block: Block) -> bool {
        let is_cleared = self.successes.get(&block.part).is_some_and(|&at| at >= block.since);
        if is_cleared || now.saturating_sub(block.last_seen) >= BLOCK_EXPIRY {
            return false;
        }
        let is_new = !self.blocks.contains_key(&block.part);
        let known = self.blocks.entry(block.part).or_insert(block);
        known.since = known.since.min(block.since);
        known.last_seen = known.last_seen.max(block.last_seen);
        known.probes = known.probes.max(block.probes);
        known.servers = known.servers.max(block.servers);
        is_new
    }

    /// The block of `part` if its crashes suffice and no other part explains them. The parts `tied` do not explain them by
    /// equally many crashes.
    fn find_deadly(&self, now: Millis, part: PartId, tied: &[PartId]) -> Option<Block> {
        let crashes = self.suspects.get(&part)?.iter().filter(|crash| now.saturating_sub(crash.at) < CRASH_EXPIRY);
        let unexplained: Vec<&Crash> = crashes.filter(|crash| !self.is_explained(part, crash.server, tied)).collect();
        let servers = unexplained.iter().map(|crash| crash.server).collect::<HashSet<_>>().len();
        let requests = unexplained.iter().map(|crash| crash.request).collect::<HashSet<_>>().len();
        let is_deadly = servers >= MIN_SERVERS && requests >= MIN_REQUESTS;
        is_deadly.then_some(Block { part, since: now, last_seen: now, probes: 0, servers: servers as u32 })
    }

    /// Whether another part explains the crash of `server` at least as well as `part`: one that is blocked, or one with at
    /// least as many crashes.
    fn is_explained(&self, part: PartId, server: ServerId, tied: &[PartId]) -> bool {
        let own = self.server_count(part);
        self.suspects.iter().any(|(other, crashes)| {
            let count = self.server_count(*other);
            let is_better = self.blocks.contains_key(other) || count > own || (count == own && !tied.contains(other));
            *other != part && is_better && crashes.iter().any(|crash| crash.server == server)
        })
    }

    /// Number of servers that crashed on `part`.
    fn server_count(&self, part: PartId) -> usize {
        let crashes = self.suspects.get(&part).into_iter().flatten();
        crashes.map(|crash| crash.server).collect::<HashSet<_>>().len()
    }

    fn expire(&mut self, now: Millis) {
        for crashes in self.suspects.values_mut() {
            crashes.retain(|crash| now.saturating_sub(crash.at) < CRASH_EXPIRY);
        }
        self.suspects.retain(|_, crashes| !crashes.is_empty());
        self.blocks.retain(|_, block| now.saturating_sub(block.last_seen) < BLOCK_EXPIRY);
        self.successes.retain(|_, at| now.saturating_sub(*at) < SUCCESS_EXPIRY);
        self.cleared.retain(|part| self.successes.contains_key(part));
    }
}

impl Block {
    /// Time from which the next probe is due.
    fn next_probe(&self) -> Millis {
        let intervals = (2_u64 << self.probes.min(16)) - 1;
        self.since + Millis(PROBE_INTERVAL.0 * intervals)
    }
}
