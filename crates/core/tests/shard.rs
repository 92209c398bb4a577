//! Model test of shard ownership: owners crash, pause, lose replies and race on a simulated platform.
//!
//! The owners follow the protocol of the daemon's shard controller; decisions and state are the real
//! ones of this crate. After each step the durable log is replayed and its state is compared with what
//! was acknowledged to callers.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasswell_core::{
    budget::{DrawDecision, DrawRequest},
    claim::{Answer, Attempt, ClaimDecision, ClaimKey, ClaimRequest, ClaimState, Fingerprint},
    id::{Fence, Incarnation},
    ledger::{Bill, BillOp},
    shard::{LogEntry, Op, ReplayError, ShardState, StateRecord},
    unit::{Cost, Millis},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use test_case::test_case;

const NODES: usize = 3;
const CASES: u32 = 800;
const NOW: Millis = Millis(1_000);
const CAP: Cost = Cost(100);
const PERIOD: &str = "p";
/// Draws of the model: (router, requested amount, returned amount). There are at most eight per
/// router, the number that an owner remembers.
const DRAWS: [(u64, u64, u64); 12] = [
    (1, 30, 0),
    (2, 50, 0),
    (1, 40, 10),
    (2, 0, 25),
    (1, 0, 30),
    (2, 60, 0),
    (1, 90, 0),
    (2, 10, 10),
    (1, 5, 50),
    (2, 80, 0),
    (1, 20, 20),
    (2, 0, 40),
];

#[derive(Clone, Copy, Debug)]
enum Command {
    Claim { key: u8, request: u8, barred: Option<u8> },
    End { key: u8, request: u8, release: bool },
    Bill(u8),
    Draw(usize),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The node takes the lease and raises its fence.
    RaiseFence(usize),
    /// The node reads the snapshot and the log.
    ReadState(usize),
    /// The node decides on a command and opens a batch. Commands occur in any order and repeatedly.
    Submit(usize, Command),
    /// The node tries to write its open batch.
    Write(usize, WriteReply),
    /// The node reads back an entry whose write was not answered.
    ReadBack(usize),
    /// The node checks the lease, if that is the next step of its protocol.
    CheckLease(usize),
    /// A write whose reply was lost, or whose sender is gone, takes effect. The number is its index in
    /// [`Platform::late_writes`].
    ApplyLateWrite(usize),
    /// The node writes a snapshot.
    WriteSnapshot(usize),
    /// The node deletes the log entries that its snapshot replaces.
    DeleteEntries(usize),
    /// The node loses its ownership and state.
    Crash(usize),
    /// Raises the fence, reads the state, writes the takeover entry and checks the lease.
    TakeOver(usize),
    /// Decides on a command and writes the batch.
    Serve(usize, Command),
    /// Writes a snapshot, checks the lease and deletes log entries.
    Compact(usize),
}

/// Whether the reply to a write arrives.
#[derive(Clone, Copy, Debug)]
enum WriteReply {
    Received,
    /// The write took effect, but its reply was lost.
    LostAfterEffect,
    /// The reply was lost and the write takes effect later, or never.
    LostBeforeEffect,
}

/// The simulated platform, and what was acknowledged to callers.
#[derive(Default)]
struct Platform {
    /// Fence and holder of the lease.
    fence: Fence,
    holder: usize,
    log: BTreeMap<u64, LogEntry>,
    /// Version and JSON of the snapshot.
    snapshot: (u64, Option<String>),
    snapshot_fence: Fence,
    /// Writes that may still take effect.
    late_writes: Vec<(u64, LogEntry)>,
    last_batch: u64,
    acknowledged: Acknowledged,
}

/// What the owners have acknowledged to callers, and what callers have done.
#[derive(Default)]
struct Acknowledged {
    /// Attempts that were granted the claim, by key.
    granted: BTreeMap<u8, BTreeSet<u8>>,
    /// Attempts that were barred from running.
    barred: BTreeSet<u8>,
    /// Attempt that ended as done, by key.
    done: BTreeMap<u8, u8>,
    bills: BTreeSet<u8>,
    /// Granted amounts by draw.
    grants: BTreeMap<usize, u64>,
    /// Amounts that routers have returned, by draw.
    returned: BTreeMap<usize, u64>,
}

#[derive(Default)]
struct Node {
    owner: Option<Owner>,
}

struct Owner {
    fence: Fence,
    state: ShardState,
    snapshot_version: u64,
    phase: Phase,
    open_batch: Option<OpenBatch>,
    deletion: Option<Deletion>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The owner has raised the fence of the lease and has to read the state.
    FenceRaised,
    /// The owner has to write the takeover entry.
    TakingOver,
    /// The takeover entry is durable; the owner has to check the lease.
    TakeoverDurable,
    Owning,
}

/// A batch that is not known to be durable.
struct OpenBatch {
    entry: LogEntry,
    /// Reply to the caller once the batch is durable.
    reply: Option<Reply>,
    /// Whether the batch was sent and its reply was lost.
    unanswered: bool,
}

/// Log entries to delete after a snapshot: those before `next`, except `keep`.
struct Deletion {
    next: u64,
    keep: Vec<u64>,
    /// Whether the lease was checked after the snapshot.
    lease_checked: bool,
}

/// Reply to the caller of a command.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Granted {
        key: u8,
        request: u8,
    },
    Done {
        key: u8,
        request: u8,
    },
    Bill(u8),
    /// Draw and granted amount.
    Draw(usize, u64),
    /// Acknowledges nothing.
    Nothing,
}

/// Guard of the protocol that is left out, to show that the model detects the fault it prevents.
#[derive(Clone, Copy, Debug, PartialEq)]
enum MissingGuard {
    None,
    /// Writes overwrite existing log entries.
    MustNotExist,
    /// Compaction deletes takeover entries.
    RetainedTakeovers,
    /// A successor goes on although the log has entries with a higher fence.
    FenceCheckAfterRead,
    /// A successor does not check the lease after its takeover entry.
    LeaseCheckAfterTakeover,
    /// An owner does not check the lease before it deletes log entries.
    LeaseCheckBeforeDeletion,
}

struct Model {
    missing: MissingGuard,
    platform: Platform,
    nodes: [Node; NODES],
}

/// Guards against a second grant of a key, bills that are lost or counted twice, and shares above the
/// cap, under random sequences of crashes, pauses, lost replies, late writes and repeated messages.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn owners_invariants(seed: u8) {
    println!("seed {seed}");
    run_random_steps(seed).unwrap();
}

/// Guards against removing a guard of the protocol, and against a model that would not detect it: for
/// each guard, a sequence of steps that breaks an invariant only without it.
#[test_case(MissingGuard::MustNotExist, &[
    Step::TakeOver(0),
    Step::TakeOver(1),
    Step::Serve(1, grant(1)),
    Step::Serve(0, grant(2)),
]; "deposed owner overwrites the takeover entry")]
#[test_case(MissingGuard::RetainedTakeovers, &[
    Step::TakeOver(0),
    Step::TakeOver(1),
    Step::Serve(1, grant(1)),
    Step::Compact(1),
    Step::Serve(0, grant(2)),
]; "paused owner writes at a compacted sequence number")]
#[test_case(MissingGuard::FenceCheckAfterRead, &[
    Step::RaiseFence(0),
    Step::TakeOver(1),
    Step::ReadState(0),
    Step::Write(0, WriteReply::Received),
]; "paused successor reads the log after a later takeover")]
#[test_case(MissingGuard::LeaseCheckAfterTakeover, &[
    Step::TakeOver(0),
    Step::RaiseFence(1),
    Step::ReadState(1),
    Step::Serve(0, grant(1)),
    Step::Serve(0, Command::Bill(0)),
    Step::TakeOver(2),
    Step::Compact(2),
    Step::Write(1, WriteReply::Received),
    Step::CheckLease(1),
    Step::Serve(1, grant(2)),
]; "paused successor takes over below a later takeover")]
#[test_case(MissingGuard::LeaseCheckBeforeDeletion, &[
    Step::TakeOver(0),
    Step::RaiseFence(1),
    Step::ReadState(1),
    Step::Serve(0, grant(1)),
    Step::WriteSnapshot(0),
    Step::DeleteEntries(0),
    Step::Write(1, WriteReply::Received),
    Step::CheckLease(1),
    Step::Serve(1, grant(2)),
]; "deposed owner compacts entries that its successor has not read")]
fn owners_missing_guard(missing: MissingGuard, steps: &[Step]) {
    run_steps(MissingGuard::None, steps).unwrap();
    assert!(run_steps(missing, steps).is_err());
}

/// Guards against a draw that is granted by two owners, or lost because its reply was lost.
#[test]
fn draw_repeated_at_successor() {
    let draw = Command::Draw(0);
    let steps = [
        Step::TakeOver(0),
        Step::Submit(0, draw),
        Step::Write(0, WriteReply::LostAfterEffect),
        Step::Crash(0),
        Step::TakeOver(1),
        Step::Serve(1, draw),
    ];
    let platform = run_steps(MissingGuard::None, &steps).unwrap();
    assert_eq!(platform.replay().unwrap().budgets.committed(&"c".into(), PERIOD), Cost(DRAWS[0].1));
    assert_eq!(platform.acknowledged.grants, BTreeMap::from([(0, DRAWS[0].1)]));
}

fn grant(request: u8) -> Command {
    Command::Claim { key: 0, request, barred: None }
}

fn run_random_steps(seed: u8) -> Result<(), String> {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner
        .run(&vec(step(), 1..80), |steps| run_steps(MissingGuard::None, &steps).map(drop).map_err(TestCaseError::fail));
    result.map_err(|err| err.to_string())
}

fn run_steps(missing: MissingGuard, steps: &[Step]) -> Result<Platform, String> {
    let mut model = Model { missing, platform: Platform::default(), nodes: Default::default() };
    for step in steps.iter().flat_map(|step| expand(*step)) {
        model.apply(step);
        model.check_invariants().map_err(|violation| format!("after {step:?}: {violation}"))?;
    }
    Ok(model.platform)
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let reply = prop_oneof![
        6 => Just(WriteReply::Received),
        1 => Just(WriteReply::LostAfterEffect),
        1 => Just(WriteReply::LostBeforeEffect),
    ];
    prop_oneof![
        2 => node.clone().prop_map(Step::RaiseFence),
        2 => node.clone().prop_map(Step::ReadState),
        2 => (node.clone(), command()).prop_map(|(node, command)| Step::Submit(node, command)),
        6 => (node.clone(), reply).prop_map(|(node, reply)| Step::Write(node, reply)),
        3 => node.clone().prop_map(Step::ReadBack),
        3 => node.clone().prop_map(Step::CheckLease),
        2 => (0..4usize).prop_map(Step::ApplyLateWrite),
        1 => node.clone().prop_map(Step::WriteSnapshot),
        1 => node.clone().prop_map(Step::DeleteEntries),
        1 => node.clone().prop_map(Step::Crash),
        2 => node.clone().prop_map(Step::TakeOver),
        8 => (node.clone(), command()).prop_map(|(node, command)| Step::Serve(node, command)),
        3 => node.prop_map(Step::Compact),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let (key, request) = (0..2u8, 0..5u8);
    prop_oneof![
        4 => (key.clone(), request.clone(), proptest::option::of(request.clone()))
            .prop_map(|(key, request, barred)| Command::Claim { key, request, barred }),
        2 => (key, request, any::<bool>()).prop_map(|(key, request, release)| Command::End { key, request, release }),
        2 => (0..6u8).prop_map(Command::Bill),
        3 => (0..DRAWS.len()).prop_map(Command::Draw),
    ]
}

impl Model {
    fn apply(&mut self, step: Step) {
        let platform = &mut self.platform;
        match step {
            Step::RaiseFence(node) => {
                platform.fence = Fence(platform.fence.0 + 1);
                platform.holder = node;
                self.nodes[node].owner = Some(Owner {
                    fence: platform.fence,
                    state: ShardState::default(),
                    snapshot_version: 0,
                    phase: Phase::FenceRaised,
                    open_batch: None,
                    deletion: None,
                });
            }
            Step::Crash(node) => {
                if let Some(write) = self.nodes[node].owner.take().and_then(Owner::into_late_write) {
                    platform.late_writes.push(write);
                }
            }
            Step::ApplyLateWrite(index) => {
                if index < platform.late_writes.len() {
                    let (seq, entry) = platform.late_writes.remove(index);
                    platform.put(seq, entry, self.missing);
                }
            }
            Step::ReadState(node) => self.with_owner(node, Owner::read_state),
            Step::Submit(node, command) => self.with_owner(node, |owner, platform, _| owner.submit(command, platform)),
            Step::Write(node, reply) => {
                self.with_owner(node, |owner, platform, missing| owner.write(reply, platform, missing));
            }
            Step::ReadBack(node) => self.with_owner(node, Owner::read_back),
            Step::CheckLease(node) => self.with_owner(node, |owner, platform, _| {
                let held = platform.fence == owner.fence && platform.holder == node;
                owner.check_lease(held)
            }),
            Step::WriteSnapshot(node) => self.with_owner(node, Owner::write_snapshot),
            Step::DeleteEntries(node) => self.with_owner(node, Owner::delete_entries),
            Step::TakeOver(_) | Step::Serve(..) | Step::Compact(_) => unreachable!("composite steps are expanded"),
        }
    }

    /// Calls `act` with the owner at `node`, and drops the owner if `act` returns false because the
    /// owner was deposed.
    fn with_owner(&mut self, node: usize, act: impl FnOnce(&mut Owner, &mut Platform, MissingGuard) -> bool) {
        let Some(owner) = &mut self.nodes[node].owner else { return };
        if !act(owner, &mut self.platform, self.missing) {
            let owner = self.nodes[node].owner.take();
            self.platform.late_writes.extend(owner.and_then(Owner::into_late_write));
        }
    }

    fn check_invariants(&self) -> Result<(), String> {
        let durable = self.platform.replay().map_err(|err| err.to_string())?;
        let acknowledged = &self.platform.acknowledged;
        for (key, granted) in &acknowledged.granted {
            let live: Vec<_> = granted.iter().filter(|request| !acknowledged.barred.contains(request)).collect();
            ensure(live.len() <= 1, || format!("key {key} is granted to {live:?}"))?;
        }
        for (key, request) in &acknowledged.done {
            let decision = durable.claims.decide(&claim_request(*key, 200, None), Fence(0));
            let done = matches!(&decision, ClaimDecision::Done(attempt, _) if *attempt == request_id(*request));
            ensure(done, || format!("key {key} was done by {request}, but the decision is {decision:?}"))?;
        }
        let total = durable.ledger.total(&"c".into(), "");
        ensure(total.bills as usize == durable.ledger.unsealed_len(), || format!("bills counted twice: {total:?}"))?;
        for bill in &acknowledged.bills {
            ensure(durable.ledger.contains(&bill_id(*bill)), || format!("bill {bill} is lost"))?;
        }
        let granted: u64 = acknowledged.grants.values().sum();
        let returned: u64 = acknowledged.returned.values().sum();
        ensure(granted.saturating_sub(returned) <= CAP.0, || format!("{granted} granted, {returned} returned"))?;
        let committed = durable.budgets.committed(&"c".into(), PERIOD);
        ensure(committed <= CAP, || format!("{committed} committed"))
    }
}

impl Platform {
    /// The durable state, which the next owner would read.
    fn replay(&self) -> Result<ShardState, ReplayError> {
        let mut state = self.read_snapshot();
        while let Some(entry) = self.log.get(&state.next_seq) {
            state.replay(state.next_seq, entry, NOW)?;
        }
        Ok(state)
    }

    fn read_snapshot(&self) -> ShardState {
        let Some(json) = &self.snapshot.1 else { return ShardState::default() };
        let record: StateRecord = serde_json::from_str(json).unwrap();
        ShardState::from_record(record, NOW).unwrap()
    }

    /// Writes an entry; returns false if one with this sequence number exists.
    fn put(&mut self, seq: u64, entry: LogEntry, missing: MissingGuard) -> bool {
        let free = !self.log.contains_key(&seq);
        if free || missing == MissingGuard::MustNotExist {
            self.log.insert(seq, entry);
        }
        free || missing == MissingGuard::MustNotExist
    }

    fn new_entry(&mut self, fence: Fence, ops: Vec<Op>) -> LogEntry {
        self.last_batch += 1;
        LogEntry { fence, batch: self.last_batch, ops }
    }

    /// Amount of the acknowledged shares of `router` that it has not returned.
    fn held_by(&self, router: u64) -> u64 {
        let of_router = |draws: &BTreeMap<usize, u64>| -> u64 {
            draws.iter().filter(|(draw, _)| DRAWS[**draw].0 == router).map(|(_, amount)| amount).sum()
        };
        of_router(&self.acknowledged.grants).saturating_sub(of_router(&self.acknowledged.returned))
    }

    fn acknowledge(&mut self, reply: Reply) {
        let acknowledged = &mut self.acknowledged;
        match reply {
            Reply::Granted { key, request } => drop(acknowledged.granted.entry(key).or_default().insert(request)),
            Reply::Done { key, request } => drop(acknowledged.done.insert(key, request)),
            Reply::Bill(bill) => drop(acknowledged.bills.insert(bill)),
            Reply::Draw(draw, granted) => {
                let earlier = acknowledged.grants.insert(draw, granted);
                assert!(earlier.is_none_or(|earlier| earlier == granted), "draw {draw} was granted twice");
            }
            Reply::Nothing => {}
        }
    }
}

/// Methods that return a bool return whether the node is still an owner as far as it knows.
impl Owner {
    /// The unanswered write, which may still take effect after its sender is gone.
    fn into_late_write(self) -> Option<(u64, LogEntry)> {
        let batch = self.open_batch.filter(|batch| batch.unanswered)?;
        Some((self.state.next_seq, batch.entry))
    }

    fn read_state(&mut self, platform: &mut Platform, missing: MissingGuard) -> bool {
        if self.phase != Phase::FenceRaised {
            return true;
        }
        self.snapshot_version = platform.snapshot.0;
        let Ok(state) = platform.replay() else { return false };
        if state.fence > self.fence && missing != MissingGuard::FenceCheckAfterRead {
            return false;
        }
        self.state = state;
        self.phase = Phase::TakingOver;
        let takeover = Op::Takeover { owner: "node".into(), incarnation: Incarnation(self.fence.0) };
        self.open_batch(platform, vec![takeover], None);
        true
    }

    fn open_batch(&mut self, platform: &mut Platform, ops: Vec<Op>, reply: Option<Reply>) {
        let entry = platform.new_entry(self.fence, ops);
        self.open_batch = Some(OpenBatch { entry, reply, unanswered: false });
    }

    fn submit(&mut self, command: Command, platform: &mut Platform) -> bool {
        if self.phase != Phase::Owning || self.open_batch.is_some() {
            return true;
        }
        let (ops, reply) = self.decide(command, platform);
        if ops.is_empty() {
            platform.acknowledge(reply);
            return true;
        }
        for op in &ops {
            self.state.apply(op, NOW);
        }
        self.open_batch(platform, ops, Some(reply));
        true
    }

    fn decide(&self, command: Command, platform: &mut Platform) -> (Vec<Op>, Reply) {
        match command {
            Command::Claim { key, request, barred } => {
                // The agent bars an attempt before the owner is informed, and the barred attempt never
                // requests a claim again. A barred attempt has not run, so it has no answer.
                let barred = barred.filter(|barred| !platform.acknowledged.done.values().any(|done| done == barred));
                platform.acknowledged.barred.extend(barred);
                match self.state.claims.decide(&claim_request(key, request, barred), self.fence) {
                    ClaimDecision::Grant(op) => (vec![Op::Claim(op)], Reply::Granted { key, request }),
                    ClaimDecision::Repeat(_) => (Vec::new(), Reply::Granted { key, request }),
                    _ => (Vec::new(), Reply::Nothing),
                }
            }
            Command::End { key, request, release } => {
                // Only a granted attempt ends. It has run unless it was barred.
                let granted = platform.acknowledged.granted.get(&key).is_some_and(|granted| granted.contains(&request));
                if !granted || platform.acknowledged.barred.contains(&request) != release {
                    return (Vec::new(), Reply::Nothing);
                }
                let state = if release { ClaimState::Released } else { ClaimState::Done(Answer::new(201, None)) };
                match self.state.claims.end_op(claim_key(key), &request_id(request), state) {
                    Some(op) if release => (vec![Op::Claim(op)], Reply::Nothing),
                    Some(op) => (vec![Op::Claim(op)], Reply::Done { key, request }),
                    None => (Vec::new(), Reply::Nothing),
                }
            }
            Command::Bill(bill) if self.state.ledger.contains(&bill_id(bill)) => (Vec::new(), Reply::Bill(bill)),
            Command::Bill(bill) => {
                let record = Bill { request: bill_id(bill), customer: "c".into(), cost: Cost(1), ..Bill::default() };
                (vec![Op::Bill(BillOp { bill: record, period: "".into() })], Reply::Bill(bill))
            }
            Command::Draw(draw) => {
                let (router, amount, returned) = DRAWS[draw];
                // A router deducts the returned amount from its share before it sends the draw.
                if !platform.acknowledged.returned.contains_key(&draw) {
                    if platform.held_by(router) < returned {
                        return (Vec::new(), Reply::Nothing);
                    }
                    platform.acknowledged.returned.insert(draw, returned);
                }
                let request = DrawRequest {
                    customer: "c".into(),
                    period: PERIOD.into(),
                    id: draw.to_string().into(),
                    router: "router".into(),
                    incarnation: Incarnation(router),
                    amount: Cost(amount),
                    returned: Cost(returned),
                };
                match self.state.budgets.decide(&request, CAP) {
                    DrawDecision::Draw { op, granted, .. } => (vec![Op::Budget(op)], Reply::Draw(draw, granted.0)),
                    DrawDecision::Repeat(granted) => (Vec::new(), Reply::Draw(draw, granted.0)),
                }
            }
        }
    }

    fn write(&mut self, reply: WriteReply, platform: &mut Platform, missing: MissingGuard) -> bool {
        let Some(batch) = self.open_batch.as_mut().filter(|batch| !batch.unanswered) else { return true };
        let (seq, entry) = (self.state.next_seq, batch.entry.clone());
        match reply {
            WriteReply::LostBeforeEffect => {
                platform.late_writes.push((seq, entry));
                batch.unanswered = true;
                return true;
            }
            WriteReply::LostAfterEffect => {
                platform.put(seq, entry, missing);
                batch.unanswered = true;
                return true;
            }
            WriteReply::Received => {}
        }
        if !platform.put(seq, entry, missing) {
            return self.resolve_write(platform, true);
        }
        self.complete_write(platform, missing);
        true
    }

    fn read_back(&mut self, platform: &mut Platform, _: MissingGuard) -> bool {
        if self.open_batch.as_ref().is_none_or(|batch| !batch.unanswered) {
            return true;
        }
        self.resolve_write(platform, false)
    }

    /// Determines the outcome of a write by reading the entry back. `conflict` is whether the
    /// platform rejected the write because an entry exists.
    fn resolve_write(&mut self, platform: &mut Platform, conflict: bool) -> bool {
        let Some(batch) = &mut self.open_batch else { return true };
        match platform.log.get(&self.state.next_seq) {
            Some(entry) if entry.fence == batch.entry.fence && entry.batch == batch.entry.batch => {
                self.complete_write(platform, MissingGuard::None);
                true
            }
            Some(entry) if self.phase == Phase::TakingOver && entry.fence <= self.fence => {
                let entry = entry.clone();
                batch.unanswered = false;
                self.state.replay(self.state.next_seq, &entry, NOW).is_ok()
            }
            Some(_) => false,
            None => {
                batch.unanswered = false;
                !conflict
            }
        }
    }

    /// Acknowledges the open batch, which is durable.
    fn complete_write(&mut self, platform: &mut Platform, missing: MissingGuard) {
        let Some(batch) = self.open_batch.take() else { return };
        if self.phase == Phase::TakingOver {
            self.state.apply(&batch.entry.ops[0], NOW);
            self.phase =
                if missing == MissingGuard::LeaseCheckAfterTakeover { Phase::Owning } else { Phase::TakeoverDurable };
        }
        self.state.advance(self.fence);
        if let Some(reply) = batch.reply {
            platform.acknowledge(reply);
        }
    }

    fn check_lease(&mut self, held: bool) -> bool {
        if self.phase == Phase::TakeoverDurable {
            self.phase = Phase::Owning;
            return held;
        }
        if let Some(deletion) = &mut self.deletion {
            deletion.lease_checked = true;
            return held;
        }
        true
    }

    fn write_snapshot(&mut self, platform: &mut Platform, missing: MissingGuard) -> bool {
        if self.phase != Phase::Owning || self.open_batch.is_some() || self.deletion.is_some() {
            return true;
        }
        if platform.snapshot.0 != self.snapshot_version {
            self.snapshot_version = platform.snapshot.0;
            return platform.snapshot_fence <= self.fence;
        }
        let json = serde_json::to_string(&self.state.to_record(NOW)).unwrap();
        platform.snapshot = (self.snapshot_version + 1, Some(json));
        platform.snapshot_fence = self.fence;
        self.snapshot_version += 1;
        let takeovers = self.state.takeovers.iter().copied();
        self.deletion = Some(Deletion {
            next: self.state.next_seq,
            keep: if missing == MissingGuard::RetainedTakeovers { Vec::new() } else { takeovers.collect() },
            lease_checked: missing == MissingGuard::LeaseCheckBeforeDeletion,
        });
        true
    }

    fn delete_entries(&mut self, platform: &mut Platform, _: MissingGuard) -> bool {
        if let Some(deletion) = self.deletion.take_if(|deletion| deletion.lease_checked) {
            platform.log.retain(|seq, _| *seq >= deletion.next || deletion.keep.contains(seq));
        }
        true
    }
}

/// Expands a composite step into its parts.
fn expand(step: Step) -> Vec<Step> {
    let write = |node| Step::Write(node, WriteReply::Received);
    match step {
        // A last entry of the former owner may take the sequence number first, so the takeover entry
        // is written twice.
        Step::TakeOver(node) => {
            vec![Step::RaiseFence(node), Step::ReadState(node), write(node), write(node), Step::CheckLease(node)]
        }
        Step::Serve(node, command) => vec![Step::Submit(node, command), write(node)],
        Step::Compact(node) => vec![Step::WriteSnapshot(node), Step::CheckLease(node), Step::DeleteEntries(node)],
        step => vec![step],
    }
}

fn claim_request(key: u8, request: u8, barred: Option<u8>) -> ClaimRequest {
    let attempt = Attempt { request: request_id(request), agent: "agent".into(), agent_incarnation: Incarnation(1) };
    let barred = barred.map(request_id);
    ClaimRequest { key: claim_key(key), digest: Fingerprint::new(&[0; 32]), attempt, barred }
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey::new(&"c".into(), &key.to_string())
}

fn request_id(request: u8) -> eelgrasswell_core::id::RequestId {
    format!("request-{request}").as_str().into()
}

fn bill_id(bill: u8) -> eelgrasswell_core::id::RequestId {
    format!("bill-{bill}").as_str().into()
}

fn ensure(condition: bool, violation: impl FnOnce() -> String) -> Result<(), String> {
    if condition { Ok(()) } else { Err(violation()) }
}
