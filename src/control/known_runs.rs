//! What a directory remembers of the runs under one name. Pure: no I/O and no clock.
//!
//! It is remembered for each service by itself, so that an entry for a service that the document does
//! not name neither replaces nor outranks what is known of a target's runs:
//!
//! | service of an announcement | it is compared with the runs of |
//! |---|---|
//! | named | named services, and those known from a departure only |
//! | not named | any service |

use super::{directory::AnnouncementVersion, precedence::NamedServices};
use crate::units::ServiceName;

/// Maximum number of services under one name: other writers may use any number.
const MAX_SERVICES: usize = 8;

/// The latest run of a service.
#[derive(Clone, Debug)]
struct KnownRun {
    /// `None` if it is known from a departure only.
    service: Option<ServiceName>,
    version: AnnouncementVersion,
    state: RunState,
}

/// Whether a run is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Listed,
    /// It is not, although it has not withdrawn; with the highest version announced since.
    Absent(Option<AnnouncementVersion>),
    /// One of another service is listed in its place.
    Replaced,
    /// It has departed.
    Departed,
}

/// The latest runs under one name, one for each service.
#[derive(Clone, Debug, Default)]
pub struct KnownRuns(Vec<KnownRun>);

impl KnownRun {
    fn is_absent(&self) -> bool {
        matches!(self.state, RunState::Absent(_))
    }

    fn has_standing(&self, services: &NamedServices) -> bool {
        let service = self.service.as_ref();
        service.is_none_or(|service| services.contains(service))
    }

    /// Whether it is compared with the announcements of a service.
    fn counts_for(&self, service: &ServiceName, services: &NamedServices) -> bool {
        !services.contains(service) || self.has_standing(services)
    }
}

impl KnownRuns {
    /// Returns whether a run of a named service is remembered.
    pub fn have_standing(&self, services: &NamedServices) -> bool {
        self.0.iter().any(|run| run.has_standing(services))
    }

    /// The latest version that announcements of a service are compared with.
    pub fn latest_for(
        &self,
        service: &ServiceName,
        services: &NamedServices,
    ) -> Option<AnnouncementVersion> {
        let runs = self.0.iter();
        let runs = runs.filter(|run| run.counts_for(service, services));
        runs.map(|run| run.version).max()
    }

    /// The latest version of named services; if there is none, of any.
    pub fn latest(&self, services: &NamedServices) -> Option<AnnouncementVersion> {
        let runs = self.0.iter();
        let latest = runs.max_by_key(|run| (run.has_standing(services), run.version));
        latest.map(|run| run.version)
    }

    /// The version of the run that is listed.
    pub fn listed(&self) -> Option<AnnouncementVersion> {
        let mut runs = self.0.iter();
        let listed = runs.find(|run| run.state == RunState::Listed);
        listed.map(|run| run.version)
    }

    /// Remembers the run that is listed from now on, and forgets absent ones that it does not yield to
    /// any more.
    pub fn list(
        &mut self,
        service: &ServiceName,
        version: AnnouncementVersion,
        services: &NamedServices,
    ) {
        self.0.retain(|run| {
            let is_above = run.is_absent() && run.version >= version;
            !(is_above && run.counts_for(service, services))
        });
        for run in &mut self.0 {
            if run.state == RunState::Listed {
                run.state = RunState::Replaced;
            }
        }
        self.set(Some(service), version, RunState::Listed, services);
    }

    /// Remembers a run that is not listed, although it has not withdrawn.
    pub fn pass_over(
        &mut self,
        service: &ServiceName,
        version: AnnouncementVersion,
        services: &NamedServices,
    ) {
        self.set(Some(service), version, RunState::Absent(None), services);
    }

    /// Remembers a departure or a return, of which no service is known.
    pub fn raise(&mut self, version: AnnouncementVersion, services: &NamedServices) {
        let known = self.0.iter().find(|run| run.service.is_none());
        let version = known.map_or(version, |run| run.version.max(version));
        self.set(None, version, RunState::Departed, services);
    }

    fn set(
        &mut self,
        service: Option<&ServiceName>,
        version: AnnouncementVersion,
        state: RunState,
        services: &NamedServices,
    ) {
        self.0.retain(|run| run.service.as_ref() != service);
        if self.0.len() >= MAX_SERVICES {
            let runs = self.0.iter().enumerate();
            let least = runs.min_by_key(|(_, run)| {
                let has_departed = run.state == RunState::Departed;
                (run.has_standing(services), has_departed, run.version)
            });
            if let Some(least) = least.map(|(index, _)| index) {
                self.0.remove(least);
            }
        }
        self.0.push(KnownRun {
            service: service.cloned(),
            version,
            state,
        });
    }

    /// Notes that the listed run is not listed any more, although it has not withdrawn.
    pub fn note_absence(&mut self) {
        for run in &mut self.0 {
            if run.state == RunState::Listed {
                run.state = RunState::Absent(None);
            }
        }
    }

    /// Notes that the target has withdrawn: no announcement of a run that is known lists it.
    pub fn withdraw(&mut self) {
        for run in &mut self.0 {
            run.version.sequence = u64::MAX;
            run.state = RunState::Departed;
        }
    }

    /// Returns whether an announcement is not above the runs that it is compared with, and each of
    /// these is absent: the next one lists it.
    pub fn are_absent_for(
        &self,
        service: &ServiceName,
        version: AnnouncementVersion,
        services: &NamedServices,
    ) -> bool {
        let runs = self.0.iter();
        let runs = runs.filter(|run| run.counts_for(service, services));
        let mut above = runs.filter(|run| version <= run.version).peekable();
        above.peek().is_some() && above.all(KnownRun::is_absent)
    }

    /// Records the version of an announcement for absent runs; returns whether it is above that of an
    /// earlier one for each run that it is not above itself.
    pub fn is_second(
        &mut self,
        service: &ServiceName,
        version: AnnouncementVersion,
        services: &NamedServices,
    ) -> bool {
        let runs = self.0.iter_mut();
        let runs = runs.filter(|run| run.counts_for(service, services));
        let mut is_second = true;
        for run in runs.filter(|run| version <= run.version) {
            let RunState::Absent(latest) = &mut run.state else {
                is_second = false;
                continue;
            };
            is_second &= latest.is_some_and(|latest| version > latest);
            *latest = Some(latest.map_or(version, |latest| latest.max(version)));
        }
        is_second
    }
}
