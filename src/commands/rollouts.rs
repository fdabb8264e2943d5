//! The operators' commands that concern rollouts.

use super::{CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, CommandError, control_client};
use crate::{
    control::{ControlClient, rollouts::RolloutOrder, rpc::ControlRpcClient},
    rollout::{PPM_PER_UNIT, Rollout, RolloutStage},
    units::*,
};
use std::{fmt, net::SocketAddr, str::FromStr};

/// How a command prints its result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text} is neither text nor json")),
        }
    }
}

impl fmt::Display for RolloutStage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Exposing { share_ppm } => {
                let percent = *share_ppm as f64 * 100.0 / PPM_PER_UNIT as f64;
                write!(f, "exposing {percent} % of requests")
            }
            Self::CuttingOver => f.write_str("cutting over"),
            Self::Completed => f.write_str("completed"),
            Self::RolledBack { reason } => write!(f, "rolled back: {reason}"),
        }
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let from: Vec<&str> = self.from.iter().map(|version| version.0.as_str()).collect();
        let from = match from.is_empty() {
            true => "no known version".into(),
            false => from.join(", "),
        };
        write!(
            f,
            "{} from {from} to {}: {} ({} of {} ms after the order)",
            self.service, self.to, self.stage, self.stage_at_ms, self.duration_ms
        )
    }
}

/// Converts a duration of the command line.
///
/// # Errors
/// Fails if it is not above 0.
pub fn duration_ms(seconds: f64) -> Result<u64, CommandError> {
    match seconds > 0.0 && seconds.is_finite() {
        true => Ok(((seconds * 1000.0).round() as u64).max(1)),
        false => Err(CommandError::Invalid(format!(
            "the duration {seconds} s is not above 0"
        ))),
    }
}

async fn read(client: &ControlClient) -> Result<Vec<Rollout>, CommandError> {
    let call = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| async move {
        client.rollouts().await
    });
    Ok(call.await?)
}

fn print(rollouts: &[Rollout], format: OutputFormat) -> Result<(), CommandError> {
    match format {
        OutputFormat::Json => {
            let json = serde_json::to_string_pretty(rollouts).map_err(CommandError::failed)?;
            println!("{json}");
        }
        OutputFormat::Text => {
            for rollout in rollouts {
                println!("{rollout}");
            }
        }
    }
    Ok(())
}

/// Orders a rollout and prints it.
///
/// # Errors
/// Fails if the order is not valid, if another rollout of the service is in progress, or if no leader
/// responds.
pub async fn start(
    control: Vec<SocketAddr>,
    order: RolloutOrder,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let client = control_client(control)?;
    let call = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| {
        let order = order.clone();
        async move { client.start_rollout(order).await }
    });
    call.await?;
    let mut rollouts = read(&client).await?;
    rollouts.retain(|rollout| rollout.service == order.service);
    print(&rollouts, format)
}

/// Prints the latest rollout of a service, or of each service.
///
/// # Errors
/// Fails if the service has no rollout, or if no leader responds.
pub async fn status(
    control: Vec<SocketAddr>,
    service: Option<ServiceName>,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let mut rollouts = read(&control_client(control)?).await?;
    if let Some(service) = service {
        rollouts.retain(|rollout| rollout.service == service);
        if rollouts.is_empty() {
            let message = format!("there is no rollout of {service}");
            return Err(CommandError::Failed(message));
        }
    }
    print(&rollouts, format)
}

/// Rolls the rollout of a service back and prints it.
///
/// # Errors
/// Fails if there is none, if it is completed, or if no leader responds.
pub async fn cancel(
    control: Vec<SocketAddr>,
    service: ServiceName,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let client = control_client(control)?;
    let call = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| {
        let service = service.clone();
        async move { client.cancel_rollout(service).await }
    });
    call.await?;
    let mut rollouts = read(&client).await?;
    rollouts.retain(|rollout| rollout.service == service);
    let is_completed = |rollout: &Rollout| rollout.stage == RolloutStage::Completed;
    print(&rollouts, format)?;
    match rollouts.iter().any(is_completed) {
        true => Err(CommandError::Failed(format!(
            "the rollout of {service} was completed first"
        ))),
        false => Ok(()),
    }
}
