//! Shard components of several routers, run against the stand-in for the platform.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use eelgrasswell_core::{
    hash::stable_hash,
    id::{CustomerId, RequestId, ShardId},
    lease::Lease,
    refusal::Reason,
    unit::{Cost, Millis},
};
use eelgrasswell_daemon::controller::shards::{ClaimCall, ClaimEnd, ClaimResult, SHARD_COUNT};
use eelgrasswell_testbed::{
    fault_link::FaultLink,
    platform::{Faults, Platform},
};
use futures::future::join_all;
use support::{CAP, Node, bill};
use tokio::net::TcpListener;

/// Maximum wait of a flush or release.
const TIMEOUT: Millis = Millis(20_000);

/// Returns a claim of the customer `open`.
fn claim_call(key: &str, request: &str) -> ClaimCall {
    ClaimCall {
        customer: "open".into(),
        key: key.into(),
        request_id: request.into(),
        digest: [7; 32],
        agent: "agent-1".into(),
        agent_incarnation: eelgrasswell_core::id::Incarnation(1),
        barred: None,
    }
}

/// Returns the result of a claim while the attempt `request` of [`claim_call`] holds the claim.
fn pending_result(request: &str) -> ClaimResult {
    ClaimResult::Pending {
        request_id: request.into(),
        agent: "agent-1".into(),
        agent_incarnation: eelgrasswell_core::id::Incarnation(1),
    }
}

async fn start_platform() -> Platform {
    Platform::bind("127.0.0.1:0".parse().unwrap()).await.unwrap()
}

fn leases(platform: &Platform) -> Vec<Lease> {
    let objects = platform.keys("lease/").into_iter().filter_map(|key| platform.object(&key));
    objects.map(|object| serde_json::from_slice(&object.value).unwrap()).collect()
}

/// Whether the router `id` owns all shards and has written their takeover entries.
fn owns_all(platform: &Platform, id: &str) -> bool {
    let leases = leases(platform);
    let takeover_entries = platform.keys("shard/").into_iter().filter(|key| key.contains("/log/")).filter(|key| {
        let entry: serde_json::Value = serde_json::from_slice(&platform.object(key).unwrap().value).unwrap();
        entry["ops"][0]["takeover"]["owner"] == id
    });
    let held_leases = leases.iter().filter(|lease| lease.owner.as_str() == id && !lease.released);
    held_leases.count() == SHARD_COUNT as usize && takeover_entries.count() == SHARD_COUNT as usize
}

async fn send_claim(node: &Node, call: ClaimCall) -> ClaimResult {
    node.run(|parts| async move { parts.shards.claim(&call).await }).await
}

/// Sends a claim until its result is not `Unavailable`, as while another router takes the shard over.
async fn send_claim_until_available(node: &Node, call: ClaimCall) -> ClaimResult {
    loop {
        let result = send_claim(node, call.clone()).await;
        if result != ClaimResult::Unavailable {
            return result;
        }
    }
}

/// Returns keys `<kind>-<n>` that belong to shard 3.
fn keys_in_shard_3(kind: &'static str, customer: Option<&'static str>) -> impl Iterator<Item = String> {
    let hash = move |key: &str| stable_hash(&[&[kind], customer.as_slice(), &[key]].concat());
    (0..).map(move |n| format!("{kind}-{n}")).filter(move |key| hash(key) % u64::from(SHARD_COUNT) == 3)
}

/// Guards against a claim that is granted twice because the answer to its log write was lost.
#[tokio::test]
async fn claim_lost_answer() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let before = platform.keys("shard/").len();
    platform.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "shard/".into();
    });
    assert!(matches!(send_claim(&a, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
    assert_eq!(platform.keys("shard/").len(), before + 1, "the batch must be written once");
    assert_eq!(send_claim(&a, claim_call("k", "r2")).await, pending_result("r1"));
}

/// Guards against a second grant of a claim and a second bill by an owner that was paused until its lease
/// had expired and another router had taken its shards over.
#[tokio::test]
async fn paused_owner_resumes() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;
    assert!(matches!(send_claim(&a, claim_call("before", "r0")).await, ClaimResult::Granted(_)));

    let paused = a.pause().await;
    let late_claim = a.spawn(|parts| async move { parts.shards.claim(&claim_call("k", "r1")).await });
    let late_bill = a.spawn(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await });
    platform.wait_until(|platform| owns_all(platform, "b")).await;
    assert!(matches!(send_claim_until_available(&b, claim_call("k", "r2")).await, ClaimResult::Granted(_)));
    assert_eq!(send_claim(&b, claim_call("before", "r3")).await, pending_result("r0"));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);

    drop(paused);
    assert_eq!(late_claim.await.unwrap(), pending_result("r2"));
    assert!(late_bill.await.unwrap());
    let bills = a.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
    assert!(leases(&platform).iter().all(|lease| lease.owner.as_str() == "b"));
}

/// Guards against a granted claim that is not durable, lost bills, and a budget that cannot be spent or is
/// exceeded while the platform is down.
#[tokio::test]
async fn platform_down() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let capped: CustomerId = "capped".into();
    let customer = capped.clone();
    let reservation = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(400)).await });
    reservation.await.unwrap().settle(Cost(0));

    platform.set_faults(|faults| faults.down = true);
    assert_eq!(send_claim(&a, claim_call("k", "r1")).await, ClaimResult::Unavailable);
    let customer = capped.clone();
    let covered = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(400)).await });
    covered.await.expect("a share that is held can be spent").settle(Cost(400));
    let customer = capped.clone();
    let uncovered = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(CAP.0 / 2)).await });
    assert_eq!(uncovered.await.map(drop).unwrap_err().reason, Reason::BudgetUnavailable);
    for id in ["x", "y", "x"] {
        a.parts.bills.push(&"agent-1".into(), bill(id, 5));
    }
    assert!(a.parts.bills.take_settled(&"agent-1".into()).is_empty());

    platform.set_faults(|faults| faults.down = false);
    a.run(|parts| async move { parts.bills.flush(TIMEOUT).await }).await;
    let mut settled = a.parts.bills.take_settled(&"agent-1".into());
    settled.sort();
    assert_eq!(settled, ["x", "y"]);
    let mut bills = a.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await.unwrap();
    bills.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    assert_eq!(bills, [bill("x", 5), bill("y", 5)]);
    let after = send_claim_until_available(&a, claim_call("k", "r2")).await;
    assert!(after == pending_result("r1") || matches!(after, ClaimResult::Granted(_)), "{after:?}");
}

/// Guards against a graceful shutdown that loses state, withholds unspent budget from the other routers, or
/// does not release the leases, so that the successor has to wait for their expiry.
#[tokio::test]
async fn handover_at_shutdown() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let done = ClaimEnd::Done { status: 201, body: Some("booked".into()) };
    let request: RequestId = "r1".into();
    assert!(matches!(send_claim(&a, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
    assert!(a.run(|parts| async move { parts.shards.complete(&"open".into(), "k", &request, done).await }).await);
    assert!(a.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    let reservation = a.run(|parts| async move { parts.budgets.reserve(&"capped".into(), Cost(400)).await });
    reservation.await.unwrap().settle(Cost(100));
    a.run(|parts| async move { parts.budgets.release(TIMEOUT).await }).await;
    a.run(|parts| async move { parts.shards.release(TIMEOUT).await }).await;
    assert!(leases(&platform).iter().all(|lease| lease.released && lease.owner.as_str() == "a"));

    let b = Node::start("b", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "b")).await;
    let done = ClaimResult::Done { request_id: "r1".into(), status: 201, body: Some("booked".into()) };
    assert_eq!(send_claim_until_available(&b, claim_call("k", "r2")).await, done);
    let committed = b.run(|parts| async move { parts.shards.committed(&"capped".into()).await }).await;
    assert_eq!(committed, Some(Cost(100)));
    let bills = b.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
}

/// Guards against claims and bills that are lost when the router that owns their shards is killed.
#[tokio::test]
async fn killed_owner() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;
    assert!(matches!(send_claim(&b, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    a.kill();
    platform.wait_until(|platform| owns_all(platform, "b")).await;
    assert_eq!(send_claim_until_available(&b, claim_call("k", "r2")).await, pending_result("r1"));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    let bills = b.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
}

/// Guards against claims and bills that are missing from a snapshot or a segment of sealed bills, and
/// against compaction that deletes a log entry which the successor needs.
#[tokio::test]
async fn killed_owner_compacted_log() {
    const ROUNDS: usize = 70;
    const CLAIMS: usize = 5;
    const BILLS: usize = 2_100;
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;

    let bills: Vec<_> = keys_in_shard_3("bill", None).take(BILLS).map(|id| bill(&id, 1)).collect();
    let recorded = bills.clone();
    assert!(a.run(|parts| async move { parts.shards.record_bills(&recorded).await }).await);
    let keys: Vec<_> = keys_in_shard_3("claim", Some("open")).take(ROUNDS * CLAIMS).collect();
    let body = bytes::Bytes::from(vec![b'x'; 4 << 10]);
    for round in keys.chunks(CLAIMS) {
        let claims = round.iter().map(|key| send_claim(&a, claim_call(key, key)));
        assert!(join_all(claims).await.iter().all(|result| matches!(result, ClaimResult::Granted(_))));
        let ends = round.iter().map(|key| {
            let (key, done) = (key.clone(), ClaimEnd::Done { status: 201, body: Some(body.clone()) });
            a.run(|parts| async move { parts.shards.complete(&"open".into(), &key, &key.as_str().into(), done).await })
        });
        assert!(join_all(ends).await.into_iter().all(|durable| durable));
    }
    platform.wait_until(|platform| platform.keys("shard/3/log/").len() < 2 * ROUNDS).await;
    assert!(!platform.keys("shard/3/bills/").is_empty());
    assert!(platform.keys("shard/3/part/").len() > 1, "the state must not fit in one object");

    a.kill();
    platform.wait_until(|platform| owns_all(platform, "b")).await;
    for key in &keys {
        let done = send_claim_until_available(&b, claim_call(key, "again")).await;
        assert!(matches!(&done, ClaimResult::Done { request_id, .. } if request_id.as_str() == key), "{done:?}");
    }
    let last = ClaimResult::Done { request_id: keys.last().unwrap().as_str().into(), status: 201, body: Some(body) };
    assert_eq!(send_claim(&b, claim_call(keys.last().unwrap(), "again")).await, last);
    let again = bills.clone();
    assert!(b.run(|parts| async move { parts.shards.record_bills(&again).await }).await);
    let mut recorded_bills = b.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await.unwrap();
    recorded_bills.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    let mut expected = bills;
    expected.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    assert_eq!(recorded_bills, expected);
}

/// Guards against a second grant of a claim, a lost or duplicate bill and an overspent cap when answers are
/// lost, the platform is slow or down, and owners are paused, all in the same run.
#[tokio::test]
async fn owners_under_faults() {
    const ROUNDS: usize = 2;
    const KEYS: usize = 40;
    const COST: u64 = 30_000;
    let platform = start_platform().await;
    let names = ["a", "b"];
    let nodes = [Node::start("a", platform.address()).await, Node::start("b", platform.address()).await];
    platform.wait_until(|platform| leases(platform).len() == SHARD_COUNT as usize).await;
    let mut granted: BTreeMap<String, Vec<RequestId>> = BTreeMap::new();
    let mut spent = 0;
    for round in 0..ROUNDS {
        let (paused_index, running_index) = (round % 2, (round + 1) % 2);
        let start_call = |node: usize, n: usize| {
            let key = format!("key-{round}-{n}");
            nodes[node].parts.bills.push(&"agent-1".into(), bill(&key, 1));
            let call = claim_call(&key, &format!("{key}-{}", names[node]));
            nodes[node].spawn(|parts| async move {
                let claimed = parts.shards.claim(&call).await;
                let reserved = parts.budgets.reserve(&"capped".into(), Cost(COST)).await;
                (call, claimed, reserved.map(|reservation| reservation.settle(Cost(COST))).is_ok())
            })
        };
        let paused = nodes[paused_index].pause().await;
        let late_calls: Vec<_> = (0..KEYS).map(|n| start_call(paused_index, n)).collect();
        platform.set_faults(|faults| faults.lose_answers = 40);
        let owned_by_running = |lease: &Lease| lease.owner.as_str() == names[running_index];
        platform.wait_until(|platform| leases(platform).iter().all(owned_by_running)).await;
        let mut results = Vec::new();
        for n in 0..KEYS {
            platform.set_faults(|faults| {
                faults.lose_answers = 2 * u64::from(n % 3 == 0);
                faults.slow_ms = 20 * u64::from(n % 4 == 0);
                faults.down = n == 7;
            });
            results.push(start_call(running_index, n).await.unwrap());
        }
        drop(paused);
        results.extend(join_all(late_calls).await.into_iter().map(Result::unwrap));
        for (call, claimed, paid) in results {
            spent += COST * u64::from(paid);
            let requests = granted.entry(call.key).or_default();
            requests.extend(matches!(claimed, ClaimResult::Granted(_)).then_some(call.request_id));
        }
    }
    platform.set_faults(|faults| *faults = Faults::default());
    for (key, requests) in &granted {
        let again = send_claim_until_available(&nodes[0], claim_call(key, "again")).await;
        match requests.as_slice() {
            [] => {}
            [request] => assert_eq!(again, pending_result(request.as_str())),
            multiple => panic!("{key} was granted to {multiple:?}"),
        }
    }
    assert!(
        granted.values().any(|requests| requests.len() == 1),
        "no claim was granted, so the test has checked nothing"
    );
    assert!(0 < spent && spent <= CAP.0, "{spent} spent");
    for node in &nodes {
        node.run(|parts| async move { parts.bills.flush(TIMEOUT).await }).await;
    }
    let bills = nodes[0].run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await.unwrap();
    let billed: BTreeSet<_> = bills.iter().map(|bill| bill.request_id.clone()).collect();
    assert_eq!((bills.len(), billed), (granted.len(), granted.into_keys().collect()));
}

/// Guards against an unlimited number of bills in memory during an outage, and against the loss of the bills
/// that are dropped at the limit.
#[tokio::test]
async fn bills_bounded() {
    const OFFERED: usize = 3_000;
    let platform = start_platform().await;
    platform.set_faults(|faults| faults.down = true);
    let a = Node::start("a", platform.address()).await;
    let agent = "agent-1".into();
    let mut unsettled: Vec<_> = keys_in_shard_3("bill", None).take(OFFERED).collect();
    let offer = |ids: &[String]| ids.iter().for_each(|id| a.parts.bills.push(&agent, bill(id, 1)));
    offer(&unsettled);
    platform.set_faults(|faults| faults.down = false);
    a.run(|parts| async move { parts.bills.flush(TIMEOUT).await }).await;
    let settled: BTreeSet<_> = a.parts.bills.take_settled(&agent).into_iter().collect();
    assert!(!settled.is_empty() && settled.len() < OFFERED, "{} of {OFFERED}", settled.len());

    // The agent sends the bills again that were not settled.
    unsettled.retain(|id| !settled.contains(id));
    offer(&unsettled);
    a.run(|parts| async move { parts.bills.flush(TIMEOUT).await }).await;
    let again = a.parts.bills.take_settled(&agent);
    assert_eq!(again.into_iter().collect::<BTreeSet<_>>(), unsettled.into_iter().collect());
    let recorded_bills = a.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await.unwrap();
    assert_eq!(recorded_bills.len(), OFFERED);
}

/// Guards against a router that keeps all shards when others join, and against shards of a killed router
/// that are taken over only after the membership has detected its failure.
#[tokio::test]
async fn shards_follow_ranks() {
    let platform = start_platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    assert!(matches!(send_claim(&a, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
    let b = Node::start("b", platform.address()).await;
    a.receive_heartbeats_from(&b);
    b.receive_heartbeats_from(&a);
    let first_ranked = |shard| a.parts.members.ranked_for_shard(ShardId(shard)).remove(0).id;
    let expected_owners: Vec<_> = (0..SHARD_COUNT).map(first_ranked).collect();
    assert!(expected_owners.contains(&"a".into()) && expected_owners.contains(&"b".into()), "{expected_owners:?}");
    let owners = |platform: &Platform| -> Vec<_> {
        let lease =
            |shard| serde_json::from_slice::<Lease>(&platform.object(&format!("lease/shard-{shard}")).unwrap().value);
        (0..SHARD_COUNT).map(|shard| lease(shard).unwrap().owner).collect()
    };
    platform.wait_until(|platform| owners(platform) == expected_owners).await;
    assert_eq!(send_claim_until_available(&a, claim_call("k", "r2")).await, pending_result("r1"));

    b.kill();
    platform.wait_until(|platform| leases(platform).iter().all(|lease| lease.owner.as_str() == "a")).await;
    assert_eq!(send_claim_until_available(&a, claim_call("k", "r3")).await, pending_result("r1"));
}

/// Guards against a router that keeps calling an owner over an unresponsive connection.
#[tokio::test]
async fn owner_connection_unresponsive() {
    let platform = start_platform().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = FaultLink::open("127.0.0.1:0".parse().unwrap(), listener.local_addr().unwrap()).await.unwrap();
    let _a = Node::start_at("a", platform.address(), listener, link.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;
    assert!(matches!(send_claim(&b, claim_call("before", "r0")).await, ClaimResult::Granted(_)));
    link.blackhole_open_connections();
    assert!(matches!(send_claim(&b, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
}

/// Guards against leases that are lost because the connections to the platform have become unresponsive.
#[tokio::test]
async fn platform_connections_unresponsive() {
    let platform = start_platform().await;
    let link = FaultLink::open("127.0.0.1:0".parse().unwrap(), platform.address()).await.unwrap();
    let a = Node::start("a", link.address()).await;
    platform.wait_until(|platform| owns_all(platform, "a")).await;
    let _b = Node::start("b", platform.address()).await;
    let versions = |platform: &Platform| -> Vec<u64> {
        let keys = platform.keys("lease/");
        keys.iter().map(|key| platform.object(key).unwrap().version).collect()
    };
    // Concurrent renewals leave many connections open.
    platform.wait_until(|platform| versions(platform).iter().all(|version| *version >= 2)).await;
    link.blackhole_open_connections();
    let versions_when_silenced = versions(&platform);
    platform
        .wait_until(|platform| {
            versions(platform).iter().zip(&versions_when_silenced).all(|(now, then)| *now >= then + 2)
        })
        .await;
    assert!(leases(&platform).iter().all(|lease| lease.owner.as_str() == "a"), "{:?}", leases(&platform));
    assert!(matches!(send_claim_until_available(&a, claim_call("k", "r1")).await, ClaimResult::Granted(_)));
}
