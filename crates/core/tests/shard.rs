//! Owners of a shard that crash, pause, lose answers and race, against a model of the platform.
//!
//! The owners follow the protocol of the daemon's shard controller; decisions and state are those
//! of core. After each step the durable state is replayed and compared with what was acknowledged.

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
/// Draws of the model: router, wanted and returned amount. At most eight for each router, as many as
/// an owner remembers.
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
    /// The node raises the fence of the lease.
    Raise(usize),
    /// It reads snapshot and log.
    Read(usize),
    /// It decides on a command and opens a batch. Commands come repeated and in any order.
    Submit(usize, Command),
    /// It tries to write its open entry.
    Write(usize, Answered),
    /// It reads back an entry whose write was not answered.
    ReadBack(usize),
    /// It looks at the lease, when that is the next step of its protocol.
    LookAtLease(usize),
    /// A write that its sender has given up takes effect.
    Land(usize),
    /// It writes a snapshot.
    Snapshot(usize),
    /// It deletes the entries that its snapshot replaces.
    Delete(usize),
    Crash(usize),
    /// Raises the fence, reads, writes the takeover entry and looks at the lease.
    TakeOver(usize),
    /// Decides on a command and writes it.
    Serve(usize, Command),
    /// Writes a snapshot, looks at the lease and deletes entries.
    Compact(usize),
}

#[derive(Clone, Copy, Debug)]
enum Answered {
    Yes,
    LostAfterEffect,
    /// The write takes effect later, or never.
    LostBeforeEffect,
}

/// The platform.
#[derive(Default)]
struct World {
    fence: Fence,
    holder: usize,
    log: BTreeMap<u64, LogEntry>,
    snapshot: (u64, Option<String>),
    snapshot_fence: Fence,
    late: Vec<(u64, LogEntry)>,
    batches: u64,
    seen: Acknowledged,
}

/// What callers were told.
#[derive(Default)]
struct Acknowledged {
    /// Requests granted by key, and those barred since.
    granted: BTreeMap<u8, BTreeSet<u8>>,
    barred: BTreeSet<u8>,
    done: BTreeMap<u8, u8>,
    bills: BTreeSet<u8>,
    grants: BTreeMap<usize, u64>,
    /// Money that routers have sent back, by draw.
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
    open: Option<Open>,
    deletion: Option<Deletion>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Raised,
    Taking,
    /// The takeover entry is durable; the lease has to be looked at.
    Taken,
    Owning,
}

struct Open {
    entry: LogEntry,
    told: Option<Told>,
    unanswered: bool,
}

struct Deletion {
    next: u64,
    keep: Vec<u64>,
    confirmed: bool,
}

#[derive(Clone, Copy, Debug)]
enum Told {
    Granted { key: u8, request: u8 },
    Done { key: u8, request: u8 },
    Bill(u8),
    Draw(usize, u64),
    Nothing,
}

/// Which guard of the protocol is left out, to show that the model finds what it guards against.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    MustNotExist,
    KeptTakeovers,
    FenceAfterRead,
    LeaseAfterTakeover,
    LeaseBeforeDeletion,
}

struct Model {
    without: Without,
    world: World,
    nodes: [Node; NODES],
}

/// Guards against a second grant of a key, a bill counted twice or lost, and shares above the cap,
/// under any order of crashes, pauses, lost answers, late writes and repeated messages.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn owners_invariants(seed: u8) {
    println!("seed {seed}");
    run(seed).unwrap();
}

/// Shows for each guard of the protocol a sequence that breaks an invariant without it. Guards
/// against dropping one, and against a model that would not notice.
#[test_case(Without::MustNotExist, &[
    Step::TakeOver(0),
    Step::TakeOver(1),
    Step::Serve(1, grant(1)),
    Step::Serve(0, grant(2)),
]; "deposed owner overwrites the takeover entry")]
#[test_case(Without::KeptTakeovers, &[
    Step::TakeOver(0),
    Step::TakeOver(1),
    Step::Serve(1, grant(1)),
    Step::Compact(1),
    Step::Serve(0, grant(2)),
]; "paused owner writes where the log was compacted")]
#[test_case(Without::FenceAfterRead, &[
    Step::Raise(0),
    Step::TakeOver(1),
    Step::Read(0),
    Step::Write(0, Answered::Yes),
]; "paused successor reads the log after the next one")]
#[test_case(Without::LeaseAfterTakeover, &[
    Step::TakeOver(0),
    Step::Raise(1),
    Step::Read(1),
    Step::Serve(0, grant(1)),
    Step::Serve(0, Command::Bill(0)),
    Step::TakeOver(2),
    Step::Compact(2),
    Step::Write(1, Answered::Yes),
    Step::LookAtLease(1),
    Step::Serve(1, grant(2)),
]; "paused successor takes over below a later one")]
#[test_case(Without::LeaseBeforeDeletion, &[
    Step::TakeOver(0),
    Step::Raise(1),
    Step::Read(1),
    Step::Serve(0, grant(1)),
    Step::Snapshot(0),
    Step::Delete(0),
    Step::Write(1, Answered::Yes),
    Step::LookAtLease(1),
    Step::Serve(1, grant(2)),
]; "deposed owner compacts what its successor has not read")]
fn owners_missing_guard(without: Without, steps: &[Step]) {
    play(Without::Nothing, steps).unwrap();
    assert!(play(without, steps).is_err());
}

/// Guards against a draw that is lost with its answer, or granted twice by two owners.
#[test]
fn draw_repeated_at_successor() {
    let draw = Command::Draw(0);
    let steps = [
        Step::TakeOver(0),
        Step::Submit(0, draw),
        Step::Write(0, Answered::LostAfterEffect),
        Step::Crash(0),
        Step::TakeOver(1),
        Step::Serve(1, draw),
    ];
    let world = play(Without::Nothing, &steps).unwrap();
    assert_eq!(world.replay().unwrap().budgets.committed(&"c".into(), PERIOD), Cost(DRAWS[0].1));
    assert_eq!(world.seen.grants, BTreeMap::from([(0, DRAWS[0].1)]));
}

fn grant(request: u8) -> Command {
    Command::Claim { key: 0, request, barred: None }
}

fn run(seed: u8) -> Result<(), String> {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result =
        runner.run(&vec(step(), 1..80), |steps| play(Without::Nothing, &steps).map(drop).map_err(TestCaseError::fail));
    result.map_err(|err| err.to_string())
}

fn play(without: Without, steps: &[Step]) -> Result<World, String> {
    let mut model = Model { without, world: World::default(), nodes: Default::default() };
    for step in steps.iter().flat_map(|step| parts(*step)) {
        model.step(step);
        model.check().map_err(|broken| format!("after {step:?}: {broken}"))?;
    }
    Ok(model.world)
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let answered = prop_oneof![6 => Just(Answered::Yes), 1 => Just(Answered::LostAfterEffect), 1 => Just(Answered::LostBeforeEffect)];
    prop_oneof![
        2 => node.clone().prop_map(Step::Raise),
        2 => node.clone().prop_map(Step::Read),
        2 => (node.clone(), command()).prop_map(|(node, command)| Step::Submit(node, command)),
        6 => (node.clone(), answered).prop_map(|(node, answered)| Step::Write(node, answered)),
        3 => node.clone().prop_map(Step::ReadBack),
        3 => node.clone().prop_map(Step::LookAtLease),
        2 => (0..4usize).prop_map(Step::Land),
        1 => node.clone().prop_map(Step::Snapshot),
        1 => node.clone().prop_map(Step::Delete),
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
    fn step(&mut self, step: Step) {
        let world = &mut self.world;
        match step {
            Step::Raise(node) => {
                world.fence = Fence(world.fence.0 + 1);
                world.holder = node;
                self.nodes[node].owner = Some(Owner {
                    fence: world.fence,
                    state: ShardState::default(),
                    snapshot_version: 0,
                    phase: Phase::Raised,
                    open: None,
                    deletion: None,
                });
            }
            Step::Crash(node) => {
                if let Some(open) = self.nodes[node].owner.take().and_then(Owner::sent) {
                    world.late.push(open);
                }
            }
            Step::Land(index) => {
                if index < world.late.len() {
                    let (seq, entry) = world.late.remove(index);
                    world.put(seq, entry, self.without);
                }
            }
            Step::Read(node) => self.with_owner(node, Owner::read),
            Step::Submit(node, command) => self.with_owner(node, |owner, world, _| owner.submit(command, world)),
            Step::Write(node, answered) => {
                self.with_owner(node, |owner, world, without| owner.write(answered, world, without));
            }
            Step::ReadBack(node) => self.with_owner(node, Owner::read_back),
            Step::LookAtLease(node) => self.with_owner(node, |owner, world, _| {
                let held = world.fence == owner.fence && world.holder == node;
                owner.look_at_lease(held)
            }),
            Step::Snapshot(node) => self.with_owner(node, Owner::write_snapshot),
            Step::Delete(node) => self.with_owner(node, Owner::delete),
            Step::TakeOver(_) | Step::Serve(..) | Step::Compact(_) => unreachable!("these are made of parts"),
        }
    }

    /// Lets the owner act; it is dropped when it finds that it was deposed.
    fn with_owner(&mut self, node: usize, act: impl FnOnce(&mut Owner, &mut World, Without) -> bool) {
        let Some(owner) = &mut self.nodes[node].owner else { return };
        if !act(owner, &mut self.world, self.without) {
            let owner = self.nodes[node].owner.take();
            self.world.late.extend(owner.and_then(Owner::sent));
        }
    }

    fn check(&self) -> Result<(), String> {
        let durable = self.world.replay().map_err(|err| err.to_string())?;
        let seen = &self.world.seen;
        for (key, granted) in &seen.granted {
            let live: Vec<_> = granted.iter().filter(|request| !seen.barred.contains(request)).collect();
            ensure(live.len() <= 1, || format!("key {key} is granted to {live:?}"))?;
        }
        for (key, request) in &seen.done {
            let decision = durable.claims.decide(&ask(*key, 200, None), Fence(0));
            let done = matches!(&decision, ClaimDecision::Done(found, _) if *found == request_id(*request));
            ensure(done, || format!("key {key} was done by {request} and is {decision:?}"))?;
        }
        let total = durable.ledger.total(&"c".into(), "");
        ensure(total.bills as usize == durable.ledger.unsealed_len(), || format!("bills counted twice: {total:?}"))?;
        for bill in &seen.bills {
            ensure(durable.ledger.contains(&bill_id(*bill)), || format!("bill {bill} is lost"))?;
        }
        let granted: u64 = seen.grants.values().sum();
        let returned: u64 = seen.returned.values().sum();
        ensure(granted.saturating_sub(returned) <= CAP.0, || format!("{granted} granted, {returned} returned"))?;
        let committed = durable.budgets.committed(&"c".into(), PERIOD);
        ensure(committed <= CAP, || format!("{committed} committed"))
    }
}

impl World {
    /// The state that the next owner would read.
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

    /// Writes an entry; false when there is one.
    fn put(&mut self, seq: u64, entry: LogEntry, without: Without) -> bool {
        let free = !self.log.contains_key(&seq);
        if free || without == Without::MustNotExist {
            self.log.insert(seq, entry);
        }
        free || without == Without::MustNotExist
    }

    fn new_entry(&mut self, fence: Fence, ops: Vec<Op>) -> LogEntry {
        self.batches += 1;
        LogEntry { fence, batch: self.batches, ops }
    }

    /// Money of acknowledged shares that the router holds and has not sent back.
    fn held(&self, router: u64) -> u64 {
        let of_router = |draws: &BTreeMap<usize, u64>| -> u64 {
            draws.iter().filter(|(draw, _)| DRAWS[**draw].0 == router).map(|(_, amount)| amount).sum()
        };
        of_router(&self.seen.grants).saturating_sub(of_router(&self.seen.returned))
    }

    fn acknowledge(&mut self, told: Told) {
        let seen = &mut self.seen;
        match told {
            Told::Granted { key, request } => drop(seen.granted.entry(key).or_default().insert(request)),
            Told::Done { key, request } => drop(seen.done.insert(key, request)),
            Told::Bill(bill) => drop(seen.bills.insert(bill)),
            Told::Draw(draw, granted) => {
                let earlier = seen.grants.insert(draw, granted);
                assert!(earlier.is_none_or(|earlier| earlier == granted), "draw {draw} was granted twice");
            }
            Told::Nothing => {}
        }
    }
}

impl Owner {
    /// An entry on its way to the platform, which may take effect after its sender is gone.
    fn sent(self) -> Option<(u64, LogEntry)> {
        let open = self.open.filter(|open| open.unanswered)?;
        Some((self.state.next_seq, open.entry))
    }

    fn read(&mut self, world: &mut World, without: Without) -> bool {
        if self.phase != Phase::Raised {
            return true;
        }
        self.snapshot_version = world.snapshot.0;
        let Ok(state) = world.replay() else { return false };
        if state.fence > self.fence && without != Without::FenceAfterRead {
            return false;
        }
        self.state = state;
        self.phase = Phase::Taking;
        let takeover = Op::Takeover { owner: "node".into(), incarnation: Incarnation(self.fence.0) };
        self.open(world, vec![takeover], None);
        true
    }

    fn open(&mut self, world: &mut World, ops: Vec<Op>, told: Option<Told>) {
        let entry = world.new_entry(self.fence, ops);
        self.open = Some(Open { entry, told, unanswered: false });
    }

    fn submit(&mut self, command: Command, world: &mut World) -> bool {
        if self.phase != Phase::Owning || self.open.is_some() {
            return true;
        }
        let (ops, told) = self.decide(command, world);
        if ops.is_empty() {
            world.acknowledge(told);
            return true;
        }
        for op in &ops {
            self.state.apply(op, NOW);
        }
        self.open(world, ops, Some(told));
        true
    }

    fn decide(&self, command: Command, world: &mut World) -> (Vec<Op>, Told) {
        match command {
            Command::Claim { key, request, barred } => {
                // An attempt is barred by its agent before that is told to the owner, and it never
                // asks again by itself. A barred attempt has not run, so it has no answer.
                let barred = barred.filter(|barred| !world.seen.done.values().any(|done| done == barred));
                world.seen.barred.extend(barred);
                match self.state.claims.decide(&ask(key, request, barred), self.fence) {
                    ClaimDecision::Grant(op) => (vec![Op::Claim(op)], Told::Granted { key, request }),
                    ClaimDecision::Repeat(_) => (Vec::new(), Told::Granted { key, request }),
                    _ => (Vec::new(), Told::Nothing),
                }
            }
            Command::End { key, request, release } => {
                // Only a granted attempt ends: it was run unless it was barred.
                let granted = world.seen.granted.get(&key).is_some_and(|granted| granted.contains(&request));
                if !granted || world.seen.barred.contains(&request) != release {
                    return (Vec::new(), Told::Nothing);
                }
                let state = if release { ClaimState::Released } else { ClaimState::Done(Answer::new(201, None)) };
                match self.state.claims.end_op(claim_key(key), &request_id(request), state) {
                    Some(op) if release => (vec![Op::Claim(op)], Told::Nothing),
                    Some(op) => (vec![Op::Claim(op)], Told::Done { key, request }),
                    None => (Vec::new(), Told::Nothing),
                }
            }
            Command::Bill(bill) if self.state.ledger.contains(&bill_id(bill)) => (Vec::new(), Told::Bill(bill)),
            Command::Bill(bill) => {
                let record = Bill { request: bill_id(bill), customer: "c".into(), cost: Cost(1), ..Bill::default() };
                (vec![Op::Bill(BillOp { bill: record, period: "".into() })], Told::Bill(bill))
            }
            Command::Draw(draw) => {
                let (router, amount, returned) = DRAWS[draw];
                // A router takes what it returns off its account before it sends the draw.
                if !world.seen.returned.contains_key(&draw) {
                    if world.held(router) < returned {
                        return (Vec::new(), Told::Nothing);
                    }
                    world.seen.returned.insert(draw, returned);
                }
                let ask = DrawRequest {
                    customer: "c".into(),
                    period: PERIOD.into(),
                    id: draw.to_string().into(),
                    router: "router".into(),
                    incarnation: Incarnation(router),
                    amount: Cost(amount),
                    returned: Cost(returned),
                };
                match self.state.budgets.decide(&ask, CAP) {
                    DrawDecision::Draw { op, granted, .. } => (vec![Op::Budget(op)], Told::Draw(draw, granted.0)),
                    DrawDecision::Repeat(granted) => (Vec::new(), Told::Draw(draw, granted.0)),
                }
            }
        }
    }

    fn write(&mut self, answered: Answered, world: &mut World, without: Without) -> bool {
        let Some(open) = self.open.as_mut().filter(|open| !open.unanswered) else { return true };
        let (seq, entry) = (self.state.next_seq, open.entry.clone());
        match answered {
            Answered::LostBeforeEffect => {
                world.late.push((seq, entry));
                open.unanswered = true;
                return true;
            }
            Answered::LostAfterEffect => {
                world.put(seq, entry, without);
                open.unanswered = true;
                return true;
            }
            Answered::Yes => {}
        }
        if !world.put(seq, entry, without) {
            return self.settle(world, true);
        }
        self.durable(world, without);
        true
    }

    fn read_back(&mut self, world: &mut World, _: Without) -> bool {
        if self.open.as_ref().is_none_or(|open| !open.unanswered) {
            return true;
        }
        self.settle(world, false)
    }

    /// Reads the entry back; `conflict` says that the platform reported one.
    fn settle(&mut self, world: &mut World, conflict: bool) -> bool {
        let Some(open) = &mut self.open else { return true };
        match world.log.get(&self.state.next_seq) {
            Some(found) if found.fence == open.entry.fence && found.batch == open.entry.batch => {
                self.durable(world, Without::Nothing);
                true
            }
            Some(found) if self.phase == Phase::Taking && found.fence <= self.fence => {
                let found = found.clone();
                open.unanswered = false;
                self.state.replay(self.state.next_seq, &found, NOW).is_ok()
            }
            Some(_) => false,
            None => {
                open.unanswered = false;
                !conflict
            }
        }
    }

    fn durable(&mut self, world: &mut World, without: Without) {
        let Some(open) = self.open.take() else { return };
        if self.phase == Phase::Taking {
            self.state.apply(&open.entry.ops[0], NOW);
            self.phase = if without == Without::LeaseAfterTakeover { Phase::Owning } else { Phase::Taken };
        }
        self.state.advance(self.fence);
        if let Some(told) = open.told {
            world.acknowledge(told);
        }
    }

    fn look_at_lease(&mut self, held: bool) -> bool {
        if self.phase == Phase::Taken {
            self.phase = Phase::Owning;
            return held;
        }
        if let Some(deletion) = &mut self.deletion {
            deletion.confirmed = true;
            return held;
        }
        true
    }

    fn write_snapshot(&mut self, world: &mut World, without: Without) -> bool {
        if self.phase != Phase::Owning || self.open.is_some() || self.deletion.is_some() {
            return true;
        }
        if world.snapshot.0 != self.snapshot_version {
            self.snapshot_version = world.snapshot.0;
            return world.snapshot_fence <= self.fence;
        }
        let json = serde_json::to_string(&self.state.to_record(NOW)).unwrap();
        world.snapshot = (self.snapshot_version + 1, Some(json));
        world.snapshot_fence = self.fence;
        self.snapshot_version += 1;
        let takeovers = self.state.takeovers.iter().copied();
        self.deletion = Some(Deletion {
            next: self.state.next_seq,
            keep: if without == Without::KeptTakeovers { Vec::new() } else { takeovers.collect() },
            confirmed: without == Without::LeaseBeforeDeletion,
        });
        true
    }

    fn delete(&mut self, world: &mut World, _: Without) -> bool {
        if let Some(deletion) = self.deletion.take_if(|deletion| deletion.confirmed) {
            world.log.retain(|seq, _| *seq >= deletion.next || deletion.keep.contains(seq));
        }
        true
    }
}

fn parts(step: Step) -> Vec<Step> {
    let write = |node| Step::Write(node, Answered::Yes);
    match step {
        // The last entry of a former owner may come first, so the takeover entry is tried twice.
        Step::TakeOver(node) => {
            vec![Step::Raise(node), Step::Read(node), write(node), write(node), Step::LookAtLease(node)]
        }
        Step::Serve(node, command) => vec![Step::Submit(node, command), write(node)],
        Step::Compact(node) => vec![Step::Snapshot(node), Step::LookAtLease(node), Step::Delete(node)],
        step => vec![step],
    }
}

fn ask(key: u8, request: u8, barred: Option<u8>) -> ClaimRequest {
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

fn ensure(holds: bool, broken: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(broken()) }
}
