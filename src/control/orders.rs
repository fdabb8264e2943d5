//! Orders to targets, kept as the state that each target is to be in.

use crate::derives::{name, record};
use std::fmt;

name! {
    /// Names a model, an adapter or a version that an engine can load.
    ModelName
}

record! {
    /// What an engine does for others.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum EngineRole {
        /// Computes prompts and generates tokens.
        Whole,
        /// Computes prompts.
        Prefill,
        /// Generates tokens.
        Decode,
    }

    /// The state that a target is to be in.
    #[derive(Default)]
    pub struct TargetOrders {
        /// Whether it is to take no new work.
        pub draining: bool,
        /// The model that it is to load.
        pub model: Option<ModelName>,
        /// The role that it is to have.
        pub role: Option<EngineRole>,
    }

    /// One order; it changes a part of the state.
    pub enum Order {
        /// Starts or ends a drain.
        Drain(bool),
        /// Loads a model.
        Load(ModelName),
        /// Changes the role.
        Role(EngineRole),
    }
}

/// A role that is not known.
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
    /// Changes a part of the state.
    pub fn take(&mut self, order: Order) {
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
