//! Protocol dialect of a deployment: its mapping of external headers and API requests.

use crate::{control::ApiDialect, gateway::TrafficDialect};

/// Decoding of the requests and headers of callers, targets and operators.
pub trait Dialect: ApiDialect + TrafficDialect + Default {}

impl<D: ApiDialect + TrafficDialect + Default> Dialect for D {}
