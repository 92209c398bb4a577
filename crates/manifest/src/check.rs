//! Validation of a manifest. All problems are reported at once, each with its path and line.

use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, ToCompactString};
use eyre::WrapErr;
use serde::{Deserialize, Serialize, Serializer};

use crate::{
    manifest::{Customer, Manifest, Model, RolloutPlan, Service, ServiceKind, VersionState},
    schema, tree,
};

pub use crate::schema::is_id;

/// Size limit of a manifest in bytes, which is also the largest value that the platform stores.
pub const MAX_BYTES: usize = 1 << 20;

/// Limit on the number of reported problems. A longer report would hide the first ones.
pub const MAX_PROBLEMS: usize = 1_000;

/// Parses a manifest from YAML (or JSON, which is a subset) and validates it.
pub fn parse(text: &str) -> Result<Manifest, InvalidManifest> {
    if text.len() > MAX_BYTES {
        let expected = format!("at most {MAX_BYTES} bytes, not {}", text.len());
        return Err(InvalidManifest { problems: vec![Problem { path: Path::default(), line: 1, expected }] });
    }
    let root = tree::parse(text).map_err(|problem| InvalidManifest { problems: vec![problem] })?;
    let mut problems = Vec::new();
    let value = schema::MANIFEST.read(&root, &mut Path::default(), &mut problems);
    let mut manifest: Manifest = serde_json::from_value(value).map_err(|err| {
        let expected = format!("a manifest: {err}");
        InvalidManifest { problems: vec![Problem { path: Path::default(), line: 1, expected }] }
    })?;
    for customer in manifest.customers.values_mut() {
        customer.api_key_sha256 = customer.api_key_sha256.to_ascii_lowercase();
    }
    // If a whole section could not be read, every reference into it would be reported as well.
    if problems.iter().all(|problem| problem.path.segments().len() > 1 || !schema::is_section(&problem.path)) {
        let mut check_problems = check(&manifest);
        check_problems.retain(|problem| problems.iter().all(|known| !problem.path.starts_with(&known.path)));
        for problem in &mut check_problems {
            problem.line = tree::line_of(&root, &problem.path);
        }
        problems.append(&mut check_problems);
    }
    if problems.is_empty() {
        return Ok(manifest);
    }
    problems.sort_by_key(|problem| problem.line);
    problems.truncate(MAX_PROBLEMS);
    Err(InvalidManifest { problems })
}

/// Checks references, ranges and limits, which the types don't enforce. The line of each returned
/// problem is 0.
pub fn check(manifest: &Manifest) -> Vec<Problem> {
    let mut checker = Checker { manifest, problems: Vec::new() };
    checker.check_domains();
    for (name, service) in &manifest.services {
        checker.check_service(name.as_str(), service);
    }
    for (name, model) in &manifest.models {
        checker.check_model(name.as_str(), model);
    }
    checker.check_classes();
    for (id, customer) in &manifest.customers {
        checker.check_customer(id.as_str(), customer);
    }
    checker.check_key_hashes();
    checker.problems
}

/// Serialises the manifest as YAML. `parse` reads it back to an equal manifest.
pub fn to_yaml(manifest: &Manifest) -> eyre::Result<String> {
    serde_saphyr::to_string(manifest).wrap_err("could not write the manifest as YAML")
}

/// Location in a manifest: the keys and list indexes from the root. It serialises as one string,
/// segments joined by dots. Keys may contain dots, so a path that is deserialised is a single
/// segment and is suitable for messages only.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(from = "CompactString")]
pub struct Path(Vec<CompactString>);

/// Bytes to which a key is truncated in a path, so that messages stay short for very long keys.
const MAX_SEGMENT_LEN: usize = 2 * schema::MAX_ID_LEN;

impl Path {
    /// Keys and list indexes from the root.
    pub fn segments(&self) -> &[CompactString] {
        &self.0
    }

    /// Whether `other` is this path or one of its ancestors.
    pub fn starts_with(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }

    pub(crate) fn push(&mut self, segment: &str) {
        let end = segment.floor_char_boundary(MAX_SEGMENT_LEN);
        self.0.push(segment[..end].into());
    }

    pub(crate) fn append(&mut self, relative: &Self) {
        self.0.extend(relative.0.iter().cloned());
    }

    pub(crate) fn pop(&mut self) {
        self.0.pop();
    }

    /// Builds the path of these keys and indexes, each truncated to `MAX_SEGMENT_LEN`.
    pub fn from_segments(segments: &[&str]) -> Self {
        let mut path = Self::default();
        for segment in segments {
            path.push(segment);
        }
        path
    }
}

impl From<CompactString> for Path {
    fn from(text: CompactString) -> Self {
        Self(vec![text])
    }
}

impl Serialize for Path {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("manifest");
        }
        f.write_str(&self.0.join("."))
    }
}

/// An error in a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Location of the error.
    pub path: Path,
    /// Line number from 1; 0 if unknown, as for a manifest that was not parsed from text.
    pub line: u64,
    /// What was expected at the path.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        if self.line > 0 {
            write!(f, " (line {})", self.line)?;
        }
        write!(f, ": expected {}", self.expected)
    }
}

/// Rejection of a manifest, with its problems sorted by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidManifest {
    /// At least one problem.
    pub problems: Vec<Problem>,
}

impl fmt::Display for InvalidManifest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("could not accept the manifest")?;
        self.problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}

impl std::error::Error for InvalidManifest {}

struct Checker<'a> {
    manifest: &'a Manifest,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    /// Adds a problem at `path` unless `holds`.
    fn expect(&mut self, holds: bool, path: &[&str], expected: impl fmt::Display) {
        // A longer list is of no use and would only take memory.
        if !holds && self.problems.len() < MAX_PROBLEMS {
            self.problems.push(Problem { path: Path::from_segments(path), line: 0, expected: expected.to_string() });
        }
    }

    fn check_domains(&mut self) {
        for (id, domain) in &self.manifest.domains {
            self.expect(!domain.region.is_empty(), &["domains", id.as_str(), "region"], "the name of a region");
        }
    }

    fn check_service(&mut self, name: &str, service: &Service) {
        let at = |key| ["services", name, key];
        self.expect(service.max_running > 0, &at("max_running"), "a limit above 0");
        self.expect(service.cold_limit > 0, &at("cold_limit"), "a limit above 0");
        self.expect(
            service.cold_limit <= service.max_running,
            &at("cold_limit"),
            format_args!("at most max_running, which is {}", service.max_running),
        );
        self.expect(service.warm_interval.0 > 0, &at("warm_interval"), "a time above 0 ms");
        match service.kind {
            ServiceKind::Model => {
                self.expect(service.tokens_limit.0 > 0, &at("tokens_limit"), "a limit above 0 for kind model");
                self.expect(service.routes.is_empty(), &at("routes"), "no routes for kind model");
            }
            ServiceKind::Plain => {
                self.expect(!service.routes.is_empty(), &at("routes"), "at least one route for kind plain");
            }
        }
        for (index, route) in service.routes.iter().enumerate() {
            let index = index.to_compact_string();
            let at = |key| ["services", name, "routes", &index, key];
            let is_uppercase = !route.method.is_empty() && route.method.bytes().all(|b| b.is_ascii_uppercase());
            self.expect(is_uppercase, &at("method"), "an HTTP method in capitals");
            self.expect(route.path.starts_with('/'), &at("path"), "a path with a leading slash");
        }
    }

    fn check_model(&mut self, name: &str, model: &Model) {
        let at = |key| ["models", name, key];
        let service = self.manifest.services.get(&model.service);
        let is_model_service = service.is_some_and(|service| service.kind == ServiceKind::Model);
        self.expect(
            is_model_service,
            &at("service"),
            format_args!("a service of kind model, not {:?}", model.service.as_str()),
        );
        match model.versions.get(&model.current) {
            None => {
                let expected = format!("one of the model's versions, not {:?}", model.current.as_str());
                self.expect(false, &at("current"), expected);
            }
            Some(version) => {
                self.expect(
                    version.state != VersionState::Withdrawn,
                    &at("current"),
                    "a version that is not withdrawn",
                );
            }
        }
        self.expect((0.0..=1.0).contains(&model.prior_quality), &at("prior_quality"), "a share from 0 to 1");
        if let Some(plan) = &model.rollout {
            self.check_rollout_plan(name, model, plan);
        }
    }

    fn check_rollout_plan(&mut self, name: &str, model: &Model, plan: &RolloutPlan) {
        let at = |key| ["models", name, "rollout", key];
        match model.versions.get(&plan.version) {
            None => {
                let expected = format!("one of the model's versions, not {:?}", plan.version.as_str());
                self.expect(false, &at("version"), expected);
            }
            Some(version) => {
                self.expect(version.state == VersionState::Open, &at("version"), "a version whose state is open");
            }
        }
        self.expect(plan.version != model.current, &at("version"), "another version than the current one");
        let steps = &plan.steps_permille;
        let rising = steps.first().is_some_and(|first| *first > 0) && steps.is_sorted_by(|a, b| a < b);
        self.expect(rising && steps.last() == Some(&1000), &at("steps_permille"), "rising steps that end at 1000");
        self.expect((0.0..=1.0).contains(&plan.good_error_rate), &at("good_error_rate"), "a rate from 0 to 1");
        self.expect((0.0..=1.0).contains(&plan.bad_error_rate), &at("bad_error_rate"), "a rate from 0 to 1");
        self.expect(
            plan.bad_error_rate > plan.good_error_rate,
            &at("bad_error_rate"),
            format_args!("a rate above good_error_rate, which is {}", plan.good_error_rate),
        );
        self.expect(plan.slow_after.0 > 0, &at("slow_after"), "a time above 0 ms");
    }

    fn check_classes(&mut self) {
        for (name, class) in &self.manifest.classes {
            let at = ["classes", name.as_str(), "candidates"];
            self.expect(!class.candidates.is_empty(), &at, "at least one model");
            let mut seen = std::collections::BTreeSet::new();
            for (index, model) in class.candidates.iter().enumerate() {
                let index = index.to_compact_string();
                let at = ["classes", name.as_str(), "candidates", &index];
                let known = self.manifest.models.contains_key(model);
                self.expect(known, &at, format_args!("a model of this manifest, not {:?}", model.as_str()));
                self.expect(seen.insert(model), &at, format_args!("each model once, not {:?} again", model.as_str()));
            }
        }
    }

    fn check_customer(&mut self, id: &str, customer: &Customer) {
        let hash = &customer.api_key_sha256;
        let is_hash = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
        self.expect(is_hash, &["customers", id, "api_key_sha256"], "64 hexadecimal digits");
        self.expect(customer.weight > 0, &["customers", id, "weight"], "a weight above 0");
        for (name, versions) in &customer.models {
            let Some(model) = self.manifest.models.get(name) else {
                self.expect(false, &["customers", id, "models", name.as_str()], "a model of this manifest");
                continue;
            };
            for (index, version) in versions.iter().enumerate() {
                let index = index.to_compact_string();
                let at = ["customers", id, "models", name.as_str(), &index];
                let known = model.versions.contains_key(version);
                self.expect(known, &at, format_args!("a version of the model, not {:?}", version.as_str()));
            }
        }
        for (index, name) in customer.services.iter().enumerate() {
            let index = index.to_compact_string();
            let service = self.manifest.services.get(name);
            let plain = service.is_some_and(|service| service.kind == ServiceKind::Plain);
            let expected = format_args!("a service of kind plain, not {:?}", name.as_str());
            self.expect(plain, &["customers", id, "services", &index], expected);
        }
        for (name, target) in &customer.quality_targets {
            let at = ["customers", id, "quality_targets", name.as_str()];
            self.expect((0.0..=1.0).contains(target), &at, "a share from 0 to 1");
            let Some(class) = self.manifest.classes.get(name) else {
                self.expect(false, &at, "a class of this manifest");
                continue;
            };
            let usable = class.candidates.iter().any(|model| customer.models.contains_key(model));
            self.expect(usable, &at, "a class with a candidate that the customer may use");
        }
        if let Some(budget) = &customer.budget {
            self.expect(budget.cap.0 > 0, &["customers", id, "budget", "cap"], "a cap above 0");
            self.expect(!budget.period.is_empty(), &["customers", id, "budget", "period"], "the name of a period");
        }
    }

    fn check_key_hashes(&mut self) {
        let mut owners = BTreeMap::new();
        for (id, customer) in &self.manifest.customers {
            let hash = customer.api_key_sha256.to_ascii_lowercase();
            if let Some(other) = owners.insert(hash, id) {
                let at = ["customers", id.as_str(), "api_key_sha256"];
                self.expect(false, &at, format_args!("a key of its own, not the one of {other}"));
            }
        }
    }
}
