//! The protocol that a deployment speaks at its borders, beside the product's own.

use crate::{control::ApiDialect, gateway::TrafficDialect};

/// What callers, targets and operators of a deployment say, decoded.
pub trait Dialect: ApiDialect + TrafficDialect + Default {}

impl<D: ApiDialect + TrafficDialect + Default> Dialect for D {}
