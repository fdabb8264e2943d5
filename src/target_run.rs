//! Decides whether the run of a target that wrote a response is still there after the response has
//! ended. Pure: no I/O and no clock.
//!
//! An address and a name outlive a run: another process may listen at the address, and a target
//! that starts again may keep its name. What accepts a connection is the run that wrote the
//! response only as far as the target says so, and the directory knows of no other one.
//!
//! | the address | the directory lists | the run |
//! |---|---|---|
//! | refuses connections | any | is gone |
//! | is not reached, or does not answer in time | any | is unknown |
//! | answers with another name or start | any | is gone |
//! | answers with the start of the run | any | is present |
//! | answers with its name, or cannot be asked | a later run of the target or at its address | is gone |
//! | answers with its name, or cannot be asked | any other | is present |
//! | answers without a name or a start | a later run of the target or at its address | is gone |
//! | answers without a name or a start | any other | is unknown |

use crate::{control::directory::TargetEntry, derives::record, units::*};

record! {
    /// One run of a target, from its start to its end.
    #[derive(PartialOrd, Ord, derive_more::Display)]
    #[display("{name} of {started_unix_ms}")]
    pub struct TargetRun {
        /// Name of the target.
        pub name: TargetName,
        /// When the run began, by the target's clock.
        pub started_unix_ms: u64,
    }

    /// What the process at an address says of the run that it is.
    #[derive(Default)]
    pub struct RunStatement {
        /// Name of its target.
        pub name: Option<TargetName>,
        /// When the run began, by the target's clock.
        pub started_unix_ms: Option<u64>,
    }

    /// What came of asking an address which run is there.
    pub enum AddressCheck {
        /// It refused a connection.
        Refused,
        /// It accepted none, or did not answer in time.
        NotReached,
        /// It accepted a connection. Its service has no path to ask at.
        Accepted,
        /// It answered that it is another target than the one that the question names.
        IsAnother,
        /// It answered.
        Answered(RunStatement),
    }

    /// What the directory lists under the name and at the address of a run.
    #[derive(Copy)]
    pub enum Listing {
        /// A later run of the target, or another target that began later.
        LaterRun,
        /// Any other state.
        NoLaterRun,
    }

    /// What is known of a run after a response that ended with its connection.
    #[derive(Copy)]
    pub enum RunAfter {
        /// It is there.
        Present,
        /// It has ended, or another one has its address.
        Gone,
        /// It was not reached, or it cannot be told from a later one.
        Unknown,
    }
}

impl TargetRun {
    /// Returns the run that an entry of the directory describes.
    pub fn of(entry: &TargetEntry) -> Self {
        Self {
            name: entry.name.clone(),
            started_unix_ms: entry.started_unix_ms,
        }
    }

    /// Returns whether this entry is a later run of the target, or a later one at its address.
    pub fn is_succeeded_by(&self, address: std::net::SocketAddr, entry: &TargetEntry) -> bool {
        let takes_its_place = entry.name == self.name || entry.address == address;
        takes_its_place && entry.started_unix_ms > self.started_unix_ms
    }
}

impl AddressCheck {
    /// Returns whether the directory decides, too.
    pub fn needs_directory(&self) -> bool {
        match self {
            Self::Refused | Self::NotReached | Self::IsAnother => false,
            Self::Accepted => true,
            Self::Answered(stated) => stated.started_unix_ms.is_none(),
        }
    }
}

impl RunAfter {
    /// Label of the metric.
    pub fn label(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::Gone => "gone",
            Self::Unknown => "unknown",
        }
    }
}

impl RunStatement {
    fn is_of_another(&self, run: &TargetRun) -> bool {
        let has_other_name = self.name.as_ref().is_some_and(|name| *name != run.name);
        let has_other_start = self
            .started_unix_ms
            .is_some_and(|started| started != run.started_unix_ms);
        has_other_name || has_other_start
    }

    /// Returns whether it says nothing by which a run can be recognized.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Returns what is known of a run after its response has ended.
pub fn judge(run: &TargetRun, check: &AddressCheck, listing: Listing) -> RunAfter {
    match (check, listing) {
        (AddressCheck::Refused | AddressCheck::IsAnother, _) => RunAfter::Gone,
        (AddressCheck::NotReached, _) => RunAfter::Unknown,
        (AddressCheck::Answered(stated), _) if stated.is_of_another(run) => RunAfter::Gone,
        (AddressCheck::Answered(stated), _) if stated.started_unix_ms.is_some() => {
            RunAfter::Present
        }
        (AddressCheck::Answered(_) | AddressCheck::Accepted, Listing::LaterRun) => RunAfter::Gone,
        (AddressCheck::Answered(stated), Listing::NoLaterRun) if stated.is_empty() => {
            RunAfter::Unknown
        }
        (AddressCheck::Answered(_) | AddressCheck::Accepted, Listing::NoLaterRun) => {
            RunAfter::Present
        }
    }
}
