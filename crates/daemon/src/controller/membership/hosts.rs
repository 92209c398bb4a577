//! The platform's host list, kept in one section per failure domain, so that routers can pass on
//! only the sections that changed.

use std::collections::BTreeMap;

use eelgrasswell_core::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId},
    unit::Millis,
};
use eelgrasswell_proto::v1::{HostInfo, HostSection};

use crate::platform::{HostEntry, HostRole};

/// The host list as this router knows it.
#[derive(Default)]
pub struct Hosts {
    sections: BTreeMap<DomainId, Section>,
    by_id: HashMap<HostId, HostEntry>,
    /// Number of the last change to a section.
    changes: u64,
}

#[derive(Default)]
struct Section {
    /// Hosts in order of id.
    entries: Vec<HostEntry>,
    digest: u64,
    /// Time of this process's clock at which a router read the section at the platform.
    observed_at: Millis,
    /// Number of the last change to this section; zero while it has only been learned.
    changed: u64,
}

impl Hosts {
    /// Takes in the whole list as read at the platform at `now`; true when it differs. An empty
    /// list is taken for a fault of the platform, since this router's own host must be in it.
    pub fn observe(&mut self, list: Vec<HostEntry>, now: Millis) -> bool {
        if list.is_empty() {
            return false;
        }
        let mut by_domain: BTreeMap<DomainId, Vec<HostEntry>> =
            self.sections.keys().map(|domain| (domain.clone(), Vec::new())).collect();
        for entry in list {
            by_domain.entry(entry.domain.clone()).or_default().push(entry);
        }
        let mut changed = false;
        for (domain, entries) in by_domain {
            changed |= self.set(domain, entries, now);
        }
        changed
    }

    /// Takes in sections of another router; true when the list differs afterwards.
    pub fn merge(&mut self, sections: &[HostSection], now: Millis) -> bool {
        let mut changed = false;
        for section in sections.iter().filter(|section| section.complete) {
            let domain = DomainId::from(section.domain.as_str());
            let observed_at = now.saturating_sub(Millis(section.observed_ms_ago));
            if self.sections.get(&domain).is_some_and(|known| known.observed_at >= observed_at) {
                continue;
            }
            let entries = section.entries.iter().filter_map(|info| decode(info, &domain)).collect();
            changed |= self.set(domain, entries, observed_at);
        }
        changed
    }

    /// Number of the last change to a section that was known before.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Digest of the whole list. Failure domains without hosts do not count, since others may never
    /// have heard of them.
    pub fn digest(&self) -> u64 {
        let filled = self.sections.iter().filter(|(_, section)| !section.entries.is_empty());
        let digests = filled.map(|(domain, section)| stable_hash(&[domain.as_str(), &section.digest.to_string()]));
        digests.fold(0, u64::wrapping_add)
    }

    /// Digests and ages of all sections.
    pub fn digests(&self, now: Millis) -> Vec<HostSection> {
        self.sections.iter().map(|(domain, section)| section.describe(domain, now)).collect()
    }

    /// All sections, with the entries of those that changed after change number `since`.
    pub fn changed_since(&self, since: u64, now: Millis) -> Vec<HostSection> {
        let sections = self.sections.iter();
        sections
            .map(
                |(domain, section)| {
                    if section.changed > since { section.complete(domain, now) } else { section.describe(domain, now) }
                },
            )
            .collect()
    }

    /// All sections, with the entries of those that are newer here than in `theirs` and differ.
    pub fn newer_than(&self, theirs: &[HostSection], now: Millis) -> Vec<HostSection> {
        let theirs: BTreeMap<&str, &HostSection> = theirs.iter().map(|s| (s.domain.as_str(), s)).collect();
        let sections = self.sections.iter();
        sections
            .map(|(domain, section)| {
                let is_newer = theirs
                    .get(domain.as_str())
                    .is_none_or(|their| their.digest != section.digest && their.observed_ms_ago > section.age(now));
                if is_newer { section.complete(domain, now) } else { section.describe(domain, now) }
            })
            .collect()
    }

    /// The entry of a host.
    pub fn get(&self, id: &HostId) -> Option<&HostEntry> {
        self.by_id.get(id)
    }

    /// All entries with `role`.
    pub fn with_role(&self, role: HostRole) -> impl Iterator<Item = &HostEntry> {
        self.sections.values().flat_map(|section| &section.entries).filter(move |entry| entry.role == role)
    }

    fn set(&mut self, domain: DomainId, mut entries: Vec<HostEntry>, observed_at: Millis) -> bool {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = entries.iter().map(digest).fold(0, u64::wrapping_add);
        let is_known = self.sections.contains_key(&domain);
        let section = self.sections.entry(domain).or_default();
        section.observed_at = observed_at;
        if section.digest == digest {
            return false;
        }
        if is_known {
            self.changes += 1;
            section.changed = self.changes;
        }
        section.digest = digest;
        section.entries = entries;
        self.by_id = self
            .sections
            .values()
            .flat_map(|section| &section.entries)
            .map(|entry| (entry.id.clone(), entry.clone()))
            .collect();
        true
    }
}

impl Section {
    fn age(&self, now: Millis) -> u64 {
        now.saturating_sub(self.observed_at).0
    }

    fn complete(&self, domain: &DomainId, now: Millis) -> HostSection {
        HostSection { complete: true, entries: self.entries.iter().map(encode).collect(), ..self.describe(domain, now) }
    }

    fn describe(&self, domain: &DomainId, now: Millis) -> HostSection {
        HostSection {
            domain: domain.to_string(),
            digest: self.digest,
            observed_ms_ago: self.age(now),
            complete: false,
            entries: Vec::new(),
        }
    }
}

fn digest(entry: &HostEntry) -> u64 {
    let role = if entry.role == HostRole::Router { "router" } else { "agent" };
    let leaving = if entry.leaving { "leaving" } else { "" };
    stable_hash(&[entry.id.as_str(), role, &entry.address.to_string(), entry.service.as_str(), leaving])
}

fn encode(entry: &HostEntry) -> HostInfo {
    HostInfo {
        id: entry.id.to_string(),
        router: entry.role == HostRole::Router,
        address: entry.address.to_string(),
        service: entry.service.to_string(),
        leaving: entry.leaving,
    }
}

/// None when the address cannot be parsed.
fn decode(info: &HostInfo, domain: &DomainId) -> Option<HostEntry> {
    Some(HostEntry {
        id: info.id.as_str().into(),
        role: if info.router { HostRole::Router } else { HostRole::Agent },
        domain: domain.clone(),
        address: info.address.parse().ok()?,
        service: info.service.as_str().into(),
        leaving: info.leaving,
    })
}
