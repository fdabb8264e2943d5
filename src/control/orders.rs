//! Orders to targets, stored as the desired state of each target.

use crate::derives::{name, record};
use std::fmt;

name! {
    /// The name of a model, an adapter or a version that an engine can load.
    ModelName
}

record! {
    /// The phases of inference that an engine performs.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum EngineRole {
        /// Prefill and decode.
        Whole,
        /// Prefill only.
        Prefill,
        /// Decode only.
        Decode,
    }

    /// The desired state of a target: the result of all orders to it.
    #[derive(Default)]
    pub struct TargetOrders {
        /// Whether it is to accept no new requests.
        pub draining: bool,
        /// The model to load.
        pub model: Option<ModelName>,
        /// The role to assume.
        pub role: Option<EngineRole>,
    }

    /// An order; changes one field of the desired state.
    pub enum Order {
        /// Starts or ends a drain.
        Drain(bool),
        /// Loads a model.
        Load(ModelName),
        /// Changes the role.
        Role(EngineRole),
    }
}

/// The error for an unknown engine role.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a role is whole, prefill or decode")]
pub struct ParseEngineRoleError;

impl std::str::FromStr for EngineRole {
    type Err = ParseEngineRoleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "whole" => Ok(Self::Whole),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(ParseEngineRoleError),
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "whole",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

impl TargetOrders {
    /// Applies an order.
    pub fn apply(&mut self, order: Order) {
        match order {
            Order::Drain(draining) => self.draining = draining,
            Order::Load(model) => self.model = Some(model),
            Order::Role(role) => self.role = Some(role),
        }
    }
}

impl fmt::Display for TargetOrders {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut parts = Vec::new();
        parts.extend(self.draining.then(|| "drained".to_string()));
        parts.extend(self.model.as_ref().map(|model| format!("model {model}")));
        parts.extend(self.role.as_ref().map(|role| format!("role {role}")));
        f.write_str(&parts.join(", "))
    }
}
