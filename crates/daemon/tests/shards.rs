//! Shards of several routers against the platform stand-in.

mod support;

use eelgrasswell_core::{
    id::{CustomerId, RequestId},
    lease::Lease,
    refusal::Reason,
    unit::{Cost, Millis},
};
use eelgrasswell_daemon::controller::shards::{ClaimCall, ClaimEnd, ClaimResult, SHARDS};
use eelgrasswell_testbed::platform::Platform;
use support::{CAP, Node, bill};

const LIMIT: Millis = Millis(20_000);

fn claim(key: &str, request: &str) -> ClaimCall {
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

fn pending(request: &str) -> ClaimResult {
    ClaimResult::Pending {
        request_id: request.into(),
        agent: "agent-1".into(),
        agent_incarnation: eelgrasswell_core::id::Incarnation(1),
    }
}

async fn platform() -> Platform {
    Platform::bind("127.0.0.1:0".parse().unwrap()).await.unwrap()
}

fn leases(platform: &Platform) -> Vec<Lease> {
    let objects = platform.keys("lease/").into_iter().filter_map(|key| platform.object(&key));
    objects.map(|object| serde_json::from_slice(&object.value).unwrap()).collect()
}

/// Whether `id` owns all shards and has written its takeover entries.
fn owns_all(platform: &Platform, id: &str) -> bool {
    let leases = leases(platform);
    let taken_over = platform.keys("shard/").into_iter().filter(|key| key.contains("/log/")).filter(|key| {
        let entry: serde_json::Value = serde_json::from_slice(&platform.object(key).unwrap().value).unwrap();
        entry["ops"][0]["takeover"]["owner"] == id
    });
    let held = leases.iter().filter(|lease| lease.owner.as_str() == id && !lease.released);
    held.count() == SHARDS as usize && taken_over.count() == SHARDS as usize
}

async fn claim_at(node: &Node, call: ClaimCall) -> ClaimResult {
    node.run(|parts| async move { parts.shards.claim(&call).await }).await
}

/// Claims again while the shard changes hands.
async fn claim_until_settled(node: &Node, call: ClaimCall) -> ClaimResult {
    loop {
        let result = claim_at(node, call.clone()).await;
        if result != ClaimResult::Unavailable {
            return result;
        }
    }
}

/// Guards against a claim that runs twice because the answer to its log write was lost.
#[tokio::test]
async fn claim_lost_answer() {
    let platform = platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.until(|platform| owns_all(platform, "a")).await;
    let before = platform.keys("shard/").len();
    platform.fault(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "shard/".into();
    });
    assert!(matches!(claim_at(&a, claim("k", "r1")).await, ClaimResult::Granted(_)));
    assert_eq!(platform.keys("shard/").len(), before + 1, "the batch must be written once");
    assert_eq!(claim_at(&a, claim("k", "r2")).await, pending("r1"));
}

/// Guards against a second grant, and a second bill, by an owner that was paused beyond its lease.
#[tokio::test]
async fn paused_owner_comes_back() {
    let platform = platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;
    assert!(matches!(claim_at(&a, claim("before", "r0")).await, ClaimResult::Granted(_)));

    let paused = a.pause().await;
    let late_claim = a.spawn(|parts| async move { parts.shards.claim(&claim("k", "r1")).await });
    let late_bill = a.spawn(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await });
    platform.until(|platform| owns_all(platform, "b")).await;
    assert!(matches!(claim_until_settled(&b, claim("k", "r2")).await, ClaimResult::Granted(_)));
    assert_eq!(claim_at(&b, claim("before", "r3")).await, pending("r0"));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);

    drop(paused);
    assert_eq!(late_claim.await.unwrap(), pending("r2"));
    assert!(late_bill.await.unwrap());
    let bills = a.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
    assert!(leases(&platform).iter().all(|lease| lease.owner.as_str() == "b"));
}

/// Guards against bookings without a durable claim, lost bills, and a spend cap that blocks or
/// leaks while the platform is down.
#[tokio::test]
async fn platform_down() {
    let platform = platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.until(|platform| owns_all(platform, "a")).await;
    let capped: CustomerId = "capped".into();
    let customer = capped.clone();
    let first = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(400)).await });
    first.await.unwrap().settle(Cost(0));

    platform.fault(|faults| faults.down = true);
    assert_eq!(claim_at(&a, claim("k", "r1")).await, ClaimResult::Unavailable);
    let customer = capped.clone();
    let local = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(400)).await });
    local.await.expect("a share that is held can be spent").settle(Cost(400));
    let customer = capped.clone();
    let too_much = a.run(|parts| async move { parts.budgets.reserve(&customer, Cost(CAP.0 / 2)).await });
    assert_eq!(too_much.await.map(drop).unwrap_err().reason, Reason::BudgetUnavailable);
    for id in ["x", "y", "x"] {
        a.parts.bills.push(&"agent-1".into(), bill(id, 5));
    }
    assert!(a.parts.bills.take_settled(&"agent-1".into()).is_empty());

    platform.fault(|faults| faults.down = false);
    a.run(|parts| async move { parts.bills.flush(LIMIT).await }).await;
    let mut settled = a.parts.bills.take_settled(&"agent-1".into());
    settled.sort();
    assert_eq!(settled, ["x", "y"]);
    let mut bills = a.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await.unwrap();
    bills.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    assert_eq!(bills, [bill("x", 5), bill("y", 5)]);
    let after = claim_until_settled(&a, claim("k", "r2")).await;
    assert!(after == pending("r1") || matches!(after, ClaimResult::Granted(_)), "{after:?}");
}

/// Guards against a planned stop that loses state, or that makes the successor wait for the expiry
/// of a lease.
#[tokio::test]
async fn handover_at_shutdown() {
    let platform = platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.until(|platform| owns_all(platform, "a")).await;
    let done = ClaimEnd::Done { status: 201, body: Some("booked".into()) };
    let request: RequestId = "r1".into();
    assert!(matches!(claim_at(&a, claim("k", "r1")).await, ClaimResult::Granted(_)));
    assert!(a.run(|parts| async move { parts.shards.complete(&"open".into(), "k", &request, done).await }).await);
    assert!(a.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    a.run(|parts| async move { parts.shards.release(LIMIT).await }).await;
    assert!(leases(&platform).iter().all(|lease| lease.released && lease.owner.as_str() == "a"));

    let b = Node::start("b", platform.address()).await;
    platform.until(|platform| owns_all(platform, "b")).await;
    let done = ClaimResult::Done { request_id: "r1".into(), status: 201, body: Some("booked".into()) };
    assert_eq!(claim_until_settled(&b, claim("k", "r2")).await, done);
    let bills = b.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
}

/// Guards against state that dies with a killed router.
#[tokio::test]
async fn killed_owner() {
    let platform = platform().await;
    let a = Node::start("a", platform.address()).await;
    platform.until(|platform| owns_all(platform, "a")).await;
    let b = Node::start("b", platform.address()).await;
    assert!(matches!(claim_at(&b, claim("k", "r1")).await, ClaimResult::Granted(_)));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    a.kill();
    platform.until(|platform| owns_all(platform, "b")).await;
    assert_eq!(claim_until_settled(&b, claim("k", "r2")).await, pending("r1"));
    assert!(b.run(|parts| async move { parts.shards.record_bills(&[bill("x", 5)]).await }).await);
    let bills = b.run(|parts| async move { parts.shards.read_bills(&"open".into()).await }).await;
    assert_eq!(bills, Some(vec![bill("x", 5)]));
}
