//! Decides which of two entries holds the name or the address that both claim. Pure: no I/O and no
//! clock.
//!
//! An entry for a service that the document in force does not name is of no use to any route. It may
//! come from another writer, so it takes no place from a target of a named service.
//!
//! | service of the new entry | service of the holder | the new entry |
//! |---|---|---|
//! | named | not named | takes the place, whatever the versions |
//! | not named | named | changes nothing |
//! | named | named | takes the place if its version is later |
//! | not named | not named | takes the place if its version is later |

use crate::{document::Policy, units::*};
use std::{collections::BTreeSet, sync::Arc};

/// The services that the document in force names. All are, as long as no document is known: targets
/// announce themselves before the first document is accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedServices(Option<Arc<BTreeSet<ServiceName>>>);

impl NamedServices {
    /// Returns the services of a document; all, if it is the one of version 0.
    pub fn of(policy: &Policy) -> Self {
        let has_document = policy.version > DocumentVersion(0);
        Self(has_document.then(|| Arc::new(policy.service_names().cloned().collect())))
    }

    /// Returns whether a service is named.
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.0.as_ref().is_none_or(|names| names.contains(service))
    }

    /// Returns how an entry for one service stands to the holder of its name or address.
    pub fn precedence(&self, service: &ServiceName, holder: &ServiceName) -> Precedence {
        match (self.contains(service), self.contains(holder)) {
            (true, false) => Precedence::Holds,
            (false, true) => Precedence::Yields,
            (true, true) | (false, false) => Precedence::ByVersion,
        }
    }
}

impl FromIterator<ServiceName> for NamedServices {
    fn from_iter<I: IntoIterator<Item = ServiceName>>(names: I) -> Self {
        Self(Some(Arc::new(names.into_iter().collect())))
    }
}

/// How an entry stands to the holder of its name or address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// It takes the place.
    Holds,
    /// It changes nothing.
    Yields,
    /// The later version holds.
    ByVersion,
}
