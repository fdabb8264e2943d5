//! Decides at which version of their software the targets of a service may go on with a stream.
//! Pure: no I/O, and the time is passed in.
//!
//! What two versions write does not fit together, and targets do not check it. Nothing that a caller
//! brings back tells the version, so it has to be known from elsewhere. A missing record proves
//! nothing: it may be lost, late, or at an agent that is not listed. Nor does a view with one version: it
//! may be older than the stream.
//!
//! | evidence of the version that began the stream | versions of the service | choice |
//! |---|---|---|
//! | a version | any | targets of that version |
//! | a leader has confirmed the versions since the stream was taken up | one | targets of that version |
//! | a leader has confirmed the versions since the stream was taken up | none or several | refused |
//! | no agent has a record | any | refused |
//! | not all agents have answered, and the others have no record | any | refused |
//! | the caller does not name the stream | any | refused |
//!
//! The versions are those that the control group has committed ([`ServiceVersions`]) and those that
//! this process has seen; both count for [`RECORD_MS`] after their last target is gone.
//!
//! It serves gateways, which take up streams that another attempt began, and the agents of entries,
//! which ask a target for the rest of a response ([`may_ask_for_rest`]).

use crate::{
    control::directory::TargetEntry,
    derives::record,
    units::{ServiceName, TargetVersion},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which the version of a stream is kept: longer than callers wait for a stream.
pub const RECORD_MS: u64 = 60_000;
/// Maximum number of versions of a service that are recorded: writers of other announcements may state
/// any number.
const MAX_VERSIONS: usize = 16;
/// Maximum number of services of which versions are recorded.
const MAX_SERVICES: usize = 1024;

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It is recorded, or this process sent the request to a target of this version.
    Began(TargetVersion),
    /// Since the stream was taken up, a leader has confirmed which versions the service has.
    Confirmed,
    /// All agents that were asked have answered, and none has a record.
    NotRecorded,
    /// Some agents have not answered, and the others have no record.
    Unanswered,
    /// The caller does not name the attempt that began it.
    Unnamed,
}

impl Evidence {
    /// Label of the metric.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Began(_) => "recorded",
            Self::Confirmed => "confirmed",
            Self::NotRecorded => "not-recorded",
            Self::Unanswered => "unanswered",
            Self::Unnamed => "unnamed",
        }
    }
}

/// The targets at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamChoice {
    /// Those of this version.
    Only(TargetVersion),
    /// None, as it is not known which version began the stream.
    Refused,
}

impl StreamChoice {
    /// Label of the metric.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Only(_) => "only",
            Self::Refused => "refused",
        }
    }

    /// Whether targets of this version may go on.
    pub fn allows(&self, version: &TargetVersion) -> bool {
        matches!(self, Self::Only(only) if only == version)
    }
}

/// Chooses the targets for a stream, from what is known of its beginning and the versions of its
/// service.
pub fn choose(evidence: &Evidence, versions: &BTreeSet<TargetVersion>) -> StreamChoice {
    let mut versions = versions.iter();
    match (evidence, versions.next(), versions.next()) {
        (Evidence::Began(version), ..) => StreamChoice::Only(version.clone()),
        // Even if another version starts while the stream waits for a slot.
        (Evidence::Confirmed, Some(version), None) => StreamChoice::Only(version.clone()),
        (Evidence::Confirmed, ..) => StreamChoice::Refused,
        (Evidence::NotRecorded | Evidence::Unanswered | Evidence::Unnamed, ..) => {
            StreamChoice::Refused
        }
    }
}

/// Returns whether the target at an address may be asked for the rest of a response: it is announced as
/// the run that began the response, or no longer announced. Targets know the requests of their own
/// run only, so what has not been replaced is safe to ask.
pub fn may_ask_for_rest(began: &AnnouncedRun, latest: Option<&AnnouncedRun>) -> bool {
    let choice = choose(&Evidence::Began(began.version.clone()), &BTreeSet::new());
    latest.is_none_or(|latest| {
        let is_same_run = latest.started_unix_ms == began.started_unix_ms;
        is_same_run && choice.allows(&latest.version)
    })
}

record! {
    /// The run of a target, as far as the target announces it.
    pub struct AnnouncedRun {
        /// The version of its software; empty if it states none.
        pub version: TargetVersion,
        /// When it started, if it states that.
        pub started_unix_ms: Option<u64>,
    }

    /// A version of a service that its targets run, or no longer run.
    pub struct VersionChange {
        /// The service.
        pub service: ServiceName,
        /// The version.
        pub version: TargetVersion,
        /// Whether a target runs it; otherwise none has for [`RECORD_MS`].
        pub runs: bool,
    }

    /// The versions of each service, part of the replicated state: a process that starts after the
    /// last target of a version has left learns of it from here.
    #[derive(Default)]
    pub struct ServiceVersions(BTreeMap<ServiceName, Vec<TargetVersion>>);
}

impl ServiceVersions {
    /// Applies a change.
    pub fn apply(&mut self, change: VersionChange) {
        match change.runs {
            true if self.lacks(&change.service, &change.version) => {
                let versions = self.0.entry(change.service).or_default();
                versions.push(change.version);
            }
            true => {}
            false => {
                if let Some(versions) = self.0.get_mut(&change.service) {
                    versions.retain(|version| *version != change.version);
                }
                self.0.retain(|_, versions| !versions.is_empty());
            }
        }
    }

    /// Whether the version of a service is not recorded, and there is room for it.
    fn lacks(&self, service: &ServiceName, version: &TargetVersion) -> bool {
        match self.0.get(service) {
            Some(versions) => versions.len() < MAX_VERSIONS && !versions.contains(version),
            None => self.0.len() < MAX_SERVICES,
        }
    }

    /// The versions of a service, the latest last.
    pub fn of(&self, service: &ServiceName) -> &[TargetVersion] {
        self.0.get(service).map_or(&[], Vec::as_slice)
    }

    /// The versions of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Vec<TargetVersion>)> {
        self.0.iter()
    }

    /// Whether no service has a version.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The changes that make these the versions that `history` has: those that are listed and not
    /// recorded, and those that are recorded and have not been seen within [`RECORD_MS`].
    pub fn changes_to(&self, history: &VersionHistory) -> Vec<VersionChange> {
        let change = |(service, version): (&ServiceName, &TargetVersion), runs| VersionChange {
            service: service.clone(),
            version: version.clone(),
            runs,
        };
        let seen = history.iter();
        let new = seen.filter(|(service, version)| self.lacks(service, version));
        let recorded = self.0.iter();
        let recorded = recorded
            .flat_map(|(service, versions)| versions.iter().map(move |version| (service, version)));
        let gone = recorded.filter(|(service, version)| !history.has(service, version));
        let new = new.map(|known| change(known, true));
        new.chain(gone.map(|known| change(known, false))).collect()
    }
}

/// The versions that each service runs, or ran within [`RECORD_MS`], with the time at which each was
/// last seen.
#[derive(Default)]
pub struct VersionHistory(BTreeMap<ServiceName, BTreeMap<TargetVersion, u64>>);

impl VersionHistory {
    /// Records the targets that are listed, and forgets versions that are gone for long.
    pub fn observe<'a>(&mut self, targets: impl Iterator<Item = &'a TargetEntry>, now_ms: u64) {
        for target in targets {
            self.note(&target.service, &target.version, now_ms);
        }
        self.0.retain(|_, versions| {
            versions.retain(|_, last_seen_ms| now_ms < *last_seen_ms + RECORD_MS);
            !versions.is_empty()
        });
    }

    /// Records versions that the control group has committed: they count as seen now.
    pub fn observe_committed(&mut self, versions: &ServiceVersions, now_ms: u64) {
        for (service, versions) in versions.iter() {
            for version in versions {
                self.note(service, version, now_ms);
            }
        }
    }

    /// Records a version that a target of the service runs.
    pub fn note(&mut self, service: &ServiceName, version: &TargetVersion, now_ms: u64) {
        let known = self.0.get_mut(service);
        if let Some(last_seen_ms) = known.and_then(|versions| versions.get_mut(version)) {
            *last_seen_ms = now_ms;
            return;
        }
        let versions = self.0.entry(service.clone()).or_default();
        versions.insert(version.clone(), now_ms);
    }

    /// Whether the service runs this version, or ran it lately.
    pub fn has(&self, service: &ServiceName, version: &TargetVersion) -> bool {
        let versions = self.0.get(service);
        versions.is_some_and(|versions| versions.contains_key(version))
    }

    /// Whether the service runs several versions, or ran them lately.
    pub fn has_several(&self, service: &ServiceName) -> bool {
        self.0
            .get(service)
            .is_some_and(|versions| versions.len() > 1)
    }

    /// The services that run several versions, or ran them lately.
    pub fn services_with_several(&self) -> BTreeSet<ServiceName> {
        let several = self.0.iter().filter(|(_, versions)| versions.len() > 1);
        several.map(|(service, _)| service.clone()).collect()
    }

    /// The versions of a service, for [`choose`].
    pub fn versions(&self, service: &ServiceName) -> BTreeSet<TargetVersion> {
        let versions = self.0.get(service).into_iter().flatten();
        versions.map(|(version, _)| version.clone()).collect()
    }

    fn iter(&self) -> impl Iterator<Item = (&ServiceName, &TargetVersion)> {
        let services = self.0.iter();
        services
            .flat_map(|(service, versions)| versions.keys().map(move |version| (service, version)))
    }
}
