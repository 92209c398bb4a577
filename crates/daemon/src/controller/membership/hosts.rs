//! The platform's host list, divided into one section per failure domain, so that routers can send
//! each other only the sections that have changed.

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
pub struct HostList {
    sections: BTreeMap<DomainId, Section>,
    by_id: HashMap<HostId, HostEntry>,
    /// Sequence number of the last change to a section.
    last_change: u64,
}

#[derive(Default)]
struct Section {
    /// Hosts in order of id.
    entries: Vec<HostEntry>,
    digest: u64,
    /// Time on this process's clock at which a router read the section from the platform.
    observed_at: Millis,
    /// Sequence number of the last change to this section; zero if it has not changed since this
    /// router first received it.
    last_change: u64,
}

impl HostList {
    /// Replaces the list by the one that the platform returned at `read_at`; returns whether it has
    /// changed. An empty list is ignored as a fault of the platform, since this router's own host must
    /// be on it.
    pub fn replace(&mut self, list: Vec<HostEntry>, read_at: Millis) -> bool {
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
            changed |= self.set_section(domain, entries, read_at);
        }
        changed
    }

    /// Merges those of another router's sections that are newer than this router's; returns whether the
    /// list has changed.
    pub fn merge(&mut self, sections: &[HostSection], now: Millis) -> bool {
        let mut changed = false;
        for section in sections.iter().filter(|section| section.complete) {
            let domain = DomainId::from(section.domain.as_str());
            let observed_at = now.saturating_sub(Millis(section.observed_ms_ago));
            if self.sections.get(&domain).is_some_and(|known| known.observed_at >= observed_at) {
                continue;
            }
            let entries = section.entries.iter().filter_map(|info| decode(info, &domain)).collect();
            changed |= self.set_section(domain, entries, observed_at);
        }
        changed
    }

    /// Sequence number of the last change to a section. Receiving a section for the first time does not
    /// count as a change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Digest of the whole list. Failure domains without hosts are left out, since other routers may
    /// not know them.
    pub fn digest(&self) -> u64 {
        let non_empty = self.sections.iter().filter(|(_, section)| !section.entries.is_empty());
        let digests = non_empty.map(|(domain, section)| stable_hash(&[domain.as_str(), &section.digest.to_string()]));
        digests.fold(0, u64::wrapping_add)
    }

    /// All sections, with their digests and ages only.
    pub fn section_digests(&self, now: Millis) -> Vec<HostSection> {
        self.sections.iter().map(|(domain, section)| section.without_entries(domain, now)).collect()
    }

    /// All sections, with the entries of those that changed after change number `since`.
    pub fn changed_since(&self, since: u64, now: Millis) -> Vec<HostSection> {
        let sections = self.sections.iter();
        sections
            .map(|(domain, section)| {
                if section.last_change > since {
                    section.with_entries(domain, now)
                } else {
                    section.without_entries(domain, now)
                }
            })
            .collect()
    }

    /// All sections, with the entries of those that are missing in `peer_sections` or are newer and differ.
    pub fn newer_than(&self, peer_sections: &[HostSection], now: Millis) -> Vec<HostSection> {
        let peer_sections: BTreeMap<&str, &HostSection> =
            peer_sections.iter().map(|section| (section.domain.as_str(), section)).collect();
        let sections = self.sections.iter();
        sections
            .map(|(domain, section)| {
                let is_newer = peer_sections
                    .get(domain.as_str())
                    .is_none_or(|peer| peer.digest != section.digest && peer.observed_ms_ago > section.age_ms(now));
                if is_newer { section.with_entries(domain, now) } else { section.without_entries(domain, now) }
            })
            .collect()
    }

    /// The entry of host `id`.
    pub fn get(&self, id: &HostId) -> Option<&HostEntry> {
        self.by_id.get(id)
    }

    /// All entries with `role`.
    pub fn with_role(&self, role: HostRole) -> impl Iterator<Item = &HostEntry> {
        self.sections.values().flat_map(|section| &section.entries).filter(move |entry| entry.role == role)
    }

    /// Replaces the section of `domain`; returns whether its entries have changed.
    fn set_section(&mut self, domain: DomainId, mut entries: Vec<HostEntry>, observed_at: Millis) -> bool {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = entries.iter().map(entry_digest).fold(0, u64::wrapping_add);
        let is_known = self.sections.contains_key(&domain);
        let section = self.sections.entry(domain).or_default();
        section.observed_at = observed_at;
        if section.digest == digest {
            return false;
        }
        if is_known {
            self.last_change += 1;
            section.last_change = self.last_change;
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
    fn age_ms(&self, now: Millis) -> u64 {
        now.saturating_sub(self.observed_at).0
    }

    fn with_entries(&self, domain: &DomainId, now: Millis) -> HostSection {
        let entries = self.entries.iter().map(encode).collect();
        HostSection { complete: true, entries, ..self.without_entries(domain, now) }
    }

    fn without_entries(&self, domain: &DomainId, now: Millis) -> HostSection {
        HostSection {
            domain: domain.to_string(),
            digest: self.digest,
            observed_ms_ago: self.age_ms(now),
            complete: false,
            entries: Vec::new(),
        }
    }
}

fn entry_digest(entry: &HostEntry) -> u64 {
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

/// Decodes an entry of the section of `domain`. None if the address cannot be parsed.
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
