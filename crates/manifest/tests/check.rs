//! Tests of the manifest check: invalid manifests are rejected, and the report contains every problem
//! with its path and line.

use std::fs;

use eelgrasswell_manifest::check::{self, MAX_BYTES, MAX_PROBLEMS, Problem};
use test_case::test_case;

/// Returns the example manifest of viti-west with the first occurrence of `from` replaced by `to`.
fn edited(from: &str, to: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/manifest.yaml");
    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains(from), "the example has no {from:?}");
    text.replacen(from, to, 1)
}

fn problems(text: &str) -> Vec<Problem> {
    check::parse(text).expect_err("the manifest is accepted").problems
}

#[test_case("region: viti-west", "regoin: x", "domains.lautoka.regoin", "a known key"; "unknown_key")]
#[test_case("in_service: true", "in_service: maybe", "domains.lautoka.in_service", "true or false"; "wrong_type")]
#[test_case("    state: open\n", "    state: shut\n", "models.plan-small.versions.4.2.state", "one of open"; "unknown_state")]
#[test_case("service: loan-desk", "service: loan-dsk", "models.plan-small.service", "kind model, not \"loan-dsk\""; "missing_service")]
#[test_case("service: loan-desk", "service: loan-records", "models.plan-small.service", "kind model"; "model_on_plain_service")]
#[test_case("current: \"4.2\"", "current: \"4.3\"", "models.plan-small.current", "not \"4.3\""; "missing_current")]
#[test_case("    state: open\n", "    state: withdrawn\n", "models.plan-small.current", "not withdrawn"; "withdrawn_current")]
#[test_case("current: \"4.2\"", "current: 4.2", "models.plan-small.current", "text"; "number_for_text")]
#[test_case("version: \"7.1\"", "version: \"7.9\"", "models.plan-large.rollout.version", "not \"7.9\""; "rollout_of_missing_version")]
#[test_case("version: \"7.1\"", "version: \"7.0\"", "models.plan-large.rollout.version", "another version"; "rollout_of_current_version")]
#[test_case("version: \"7.1\"", "version: \"6.8\"", "models.plan-large.rollout.version", "state is open"; "rollout_of_closed_version")]
#[test_case("300, 1000]", "300]", "models.plan-large.rollout.steps_permille", "end at 1000"; "steps_below_full_weight")]
#[test_case("[5, 20, 100", "[20, 20, 100", "models.plan-large.rollout.steps_permille", "rising"; "steps_not_rising")]
#[test_case("bad_error_rate: 0.05", "bad_error_rate: 0.001", "models.plan-large.rollout.bad_error_rate", "above good"; "bad_rate_below_good_rate")]
#[test_case("[plan-small, plan-large]", "[plan-small, plan-huge]", "classes.assessment.candidates.1", "not \"plan-huge\""; "missing_candidate")]
#[test_case("[plan-small, plan-large]", "[]", "classes.assessment.candidates", "at least one"; "no_candidate")]
#[test_case("      plan-small: []\n", "      plan-tiny: []\n", "customers.lamplight-central.models.plan-tiny", "a model"; "customer_with_missing_model")]
#[test_case("[\"6.8\", \"7.0\"]", "[\"6.8\", \"7.5\"]", "customers.korovou.models.plan-large.1", "not \"7.5\""; "customer_with_missing_version")]
#[test_case("services: [loan-records]", "services: [loan-desk]", "customers.lamplight-central.services.0", "kind plain"; "customer_with_model_service")]
#[test_case("      assessment: 0.95", "      appraisal: 0.95", "customers.lamplight-central.quality_targets.appraisal", "a class"; "customer_with_missing_class")]
#[test_case("assessment: 0.95", "assessment: 1.01", "customers.lamplight-central.quality_targets.assessment", "0 to 1"; "quality_target_above_1")]
#[test_case("assessment: 0.95", "assessment: .nan", "customers.lamplight-central.quality_targets.assessment", "a number"; "quality_target_not_a_number")]
#[test_case("      cap: 400000000\n", "", "customers.savusavu.budget.cap", "this key"; "budget_without_cap")]
#[test_case("cap: 400000000", "cap: 0", "customers.savusavu.budget.cap", "above 0"; "budget_of_zero")]
#[test_case("max_running: 12", "max_running: 0", "services.loan-desk.max_running", "above 0"; "zero_limit")]
#[test_case("warm_interval: 1500", "warm_interval: 0", "services.loan-desk.warm_interval", "above 0"; "zero_warm_interval")]
#[test_case("cold_limit: 2", "cold_limit: 13", "services.loan-desk.cold_limit", "at most max_running, which is 12"; "cold_limit_above_running_limit")]
#[test_case("max_queued: 24", "max_queued: 5000000000", "services.loan-desk.max_queued", "to 4294967295"; "limit_too_large")]
#[test_case("path: /approvals", "path: approvals", "services.loan-records.routes.0.path", "leading slash"; "path_without_slash")]
#[test_case("method: POST", "method: post", "services.loan-records.routes.0.method", "capitals"; "method_in_small_letters")]
#[test_case("api_key_sha256: \"", "api_key_sha256: \"z", "customers.lamplight-central.api_key_sha256", "64 hexadecimal"; "key_hash_malformed")]
#[test_case("  lautoka:\n", "  lau/toka:\n", "domains.lau/toka", "an id"; "id_with_slash")]
#[test_case("  nadi:\n", "  lautoka:\n", "domains.lautoka", "each key once"; "repeated_key")]
fn manifest_problem_is_reported(from: &str, to: &str, path: &str, expected: &str) {
    let text = edited(from, to);
    let problems = problems(&text);
    let problem = problems.iter().find(|p| p.path.to_string() == path && p.expected.contains(expected));
    let problem = problem.unwrap_or_else(|| panic!("no such problem in {problems:#?}"));
    let line = text.lines().nth(usize::try_from(problem.line).unwrap() - 1).expect("the line exists");
    let key = path.rsplit('.').find(|segment| segment.parse::<u32>().is_err()).unwrap();
    // A missing key is reported on the line of its mapping.
    let is_parent_line = expected == "this key" || path.ends_with("4.2.state");
    assert!(is_parent_line || line.contains(key), "line {} is {line:?}", problem.line);
}

#[test]
fn plain_service_without_routes_is_reported() {
    let manifest = "services: {records: {kind: plain, max_running: 1, cold_limit: 1}}";
    let [problem] = problems(manifest).try_into().unwrap();
    assert_eq!(problem.to_string(), "services.records.routes (line 1): expected at least one route for kind plain");
}

#[test]
fn duplicate_key_hash_names_both_customers() {
    let hash = "ab".repeat(32);
    let upper = hash.to_uppercase();
    let text = format!("customers:\n  a: {{api_key_sha256: \"{hash}\"}}\n  b: {{api_key_sha256: \"{upper}\"}}\n");
    let [problem] = problems(&text).try_into().unwrap();
    assert_eq!((problem.path.to_string().as_str(), problem.line), ("customers.b.api_key_sha256", 3));
    assert!(problem.expected.contains("not the one of a"), "{problem}");
}

/// A check that stops at the first problem would make operators submit once per problem.
#[test]
fn all_problems_are_reported_at_once_in_line_order() {
    let text = edited("in_service: true", "in_service: 1")
        .replacen("max_running: 12", "max_running: 0", 1)
        .replacen("current: \"4.2\"", "current: \"x\"", 1)
        .replacen("cap: 400000000", "cap: lots", 1);
    let problems = problems(&text);
    let paths: Vec<_> = problems.iter().map(|problem| problem.path.to_string()).collect();
    assert_eq!(
        paths,
        [
            "domains.lautoka.in_service",
            "services.loan-desk.max_running",
            "services.loan-desk.cold_limit",
            "models.plan-small.current",
            "customers.savusavu.budget.cap",
        ]
    );
}

/// A node that does not match the schema must be reported once, without further problems caused by
/// its placeholder.
#[test_case("services: 5\nmodels: {m: {service: s, current: v, versions: {}}}", 1; "whole_section")]
#[test_case("models: {m: 7}", 1; "whole_entry")]
#[test_case("draining: {h: {since: 1}}", 1; "key_of_empty_mapping")]
fn wrong_node_is_reported_once(text: &str, expected: usize) {
    let problems = problems(text);
    assert_eq!(problems.len(), expected, "{problems:#?}");
}

#[test_case("domains: [\n"; "syntax")]
#[test_case("- a\n- b\n"; "list")]
#[test_case("a: &a [*a]\n"; "recursion")]
fn text_that_is_no_manifest_is_refused_with_its_line(text: &str) {
    let problems = problems(text);
    assert!(problems.iter().all(|problem| problem.line > 0), "{problems:#?}");
}

/// Nested aliases expand exponentially and would exhaust memory without a limit.
#[test]
fn alias_expansion_is_bounded() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for n in 1..14 {
        let alias = format!("*a{}", n - 1);
        text.push_str(&format!("a{n}: &a{n} [{}]\n", vec![alias; 10].join(", ")));
    }
    assert!(!problems(&text).is_empty());
}

#[test]
fn too_large_text_is_refused_unread() {
    let [problem] = problems(&" ".repeat(MAX_BYTES + 1)).try_into().unwrap();
    assert!(problem.expected.contains("at most 1048576 bytes"), "{problem}");
}

#[test]
fn text_expansion_is_bounded() {
    let models: Vec<_> = (0..1_000).map(|n| format!("m{n}: {{service: *a, current: v, versions: {{}}}}")).collect();
    let text = format!("customers: {{a: &a {}}}\nmodels: {{{}}}\n", "x".repeat(MAX_BYTES / 2), models.join(", "));
    let [problem] = problems(&text).try_into().unwrap();
    assert!(problem.to_string().len() < 1_000, "{problem}");
}

/// Many problems under a long key would make a report of gigabytes if the path were not truncated.
#[test]
fn report_size_is_bounded() {
    let key = "k".repeat(MAX_BYTES / 2);
    let wrong: Vec<_> = (0..20_000).map(|n| format!("u{n}: 1")).collect();
    let text = format!("domains:\n  ? {key}\n  : {{{}}}\n", wrong.join(", "));
    let problems = problems(&text);
    assert_eq!(problems.len(), MAX_PROBLEMS);
    assert!(problems.iter().all(|problem| problem.to_string().len() < 1_000));
}

#[test]
fn empty_manifest_is_valid() {
    assert_eq!(check::parse("{}").unwrap(), Default::default());
}
