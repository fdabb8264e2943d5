//! Operators' commands.

pub mod rollouts;

use crate::{
    agent::{AdmissionAgentStartError, AgentStartError},
    control::{
        ControlClient,
        client::ControlCallError,
        members::{ProcessLoad, ProcessRole},
        orders::Order,
        rpc::{ApplyReply, ControlError, ControlRpcClient, StatusReply},
        server::ControlStartError,
    },
    document::Policy,
    entry::EntryStartError,
    gateway::GatewayStartError,
    settings::SettingsError,
    units::*,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::{net::TcpStream, time::Instant};

/// Timeout of one RPC attempt.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Timeout of a command, including all attempts to reach the leader.
const COMMAND_TIMEOUT_MS: u64 = 10_000;
/// Timeout of `apply --wait`.
const IN_FORCE_TIMEOUT_MS: u64 = 10_000;
/// Polling interval of `apply --wait`.
const IN_FORCE_POLL_INTERVAL_MS: u64 = 50;

/// Error of a command.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum CommandError {
    /// See [`SettingsError`].
    Settings(SettingsError),
    /// See [`EntryStartError`].
    Entry(EntryStartError),
    /// See [`GatewayStartError`].
    Gateway(GatewayStartError),
    /// See [`AdmissionAgentStartError`].
    Admission(AdmissionAgentStartError),
    /// See [`AgentStartError`].
    Agent(AgentStartError),
    /// See [`ControlStartError`].
    Control(ControlStartError),
    /// See [`ControlCallError`].
    Call(ControlCallError),
    /// The usage or the input is invalid.
    #[from(ignore)]
    #[error(ignore)]
    Invalid(String),
    /// The command failed for another reason.
    #[from(ignore)]
    #[error(ignore)]
    Failed(String),
}

impl CommandError {
    /// Wraps another error as [`Self::Failed`].
    pub fn failed(error: impl fmt::Display) -> Self {
        Self::Failed(error.to_string())
    }

    /// Exit code: 2 for invalid usage, settings or documents, 1 otherwise.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_)
            | Self::Invalid(_)
            | Self::Call(ControlCallError::Refused(
                ControlError::Invalid(_) | ControlError::InvalidRollout(_),
            )) => 2,
            _ => 1,
        }
    }
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file)
        .map_err(|error| CommandError::Invalid(format!("{}: {error}", file.display())))
}

fn control_client(control: Vec<SocketAddr>) -> Result<ControlClient, CommandError> {
    match control.is_empty() {
        true => {
            let message = "name a control instance with --control ADDRESS".to_string();
            Err(CommandError::Invalid(message))
        }
        false => Ok(ControlClient::new(control)),
    }
}

/// Validates a document.
///
/// # Errors
/// Fails with every validation error, each with its line.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let yaml = read_file(file)?;
    Policy::compile(DocumentVersion(0), &yaml).map_err(|errors| {
        let lines = errors.0.iter().map(|error| {
            format!(
                "{}:{}: {}: {}",
                file.display(),
                error.line,
                error.path,
                error.message
            )
        });
        CommandError::Invalid(lines.collect::<Vec<String>>().join("\n"))
    })?;
    println!("{}: valid", file.display());
    Ok(())
}

/// Arguments of [`apply`].
pub struct ApplyArguments {
    /// File of the document.
    pub file: PathBuf,
    /// RPC addresses of control instances.
    pub control: Vec<SocketAddr>,
    /// Version on which the change is based; the one in force if `None`.
    pub expected: Option<DocumentVersion>,
    /// Id that makes retries of the change idempotent; random if `None`.
    pub change: Option<ChangeId>,
    /// Whether to wait until the document is in force in every process.
    pub wait: bool,
}

/// Puts a document in force.
///
/// # Errors
/// Fails if the document is invalid, if a conflicting change was accepted first, or if no
/// leader responds.
pub async fn apply(arguments: ApplyArguments) -> Result<(), CommandError> {
    let ApplyArguments {
        file,
        control,
        expected,
        change,
        wait,
    } = arguments;
    check(&file)?;
    let yaml = read_file(&file)?;
    let client = control_client(control)?;
    let change = change.unwrap_or_else(|| ChangeId(RequestId::random().to_string()));
    let expected = match expected {
        Some(expected) => expected,
        None => {
            let get = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| async move {
                client.get().await
            });
            get.await?.version
        }
    };
    let reply = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| {
        let (change, yaml) = (change.clone(), yaml.clone());
        async move { client.apply(change, expected, yaml).await }
    });
    let reply = reply.await.map_err(|error| match error {
        ControlCallError::Unavailable(_) => CommandError::Failed(format!(
            "{error}; the change may have been accepted. Retry with --change {change} --expected \
             {expected}"
        )),
        refused => refused.into(),
    })?;
    match reply {
        ApplyReply::Applied(version) => {
            println!("accepted as version {version} (change {change})");
            match wait {
                true => wait_until_in_force(&client, version).await,
                false => Ok(()),
            }
        }
        ApplyReply::Lost { current, winner } => Err(CommandError::Failed(format!(
            "not accepted: version {expected} is no longer in force; version {current} from change \
             {winner} is. Get it, redo your change on top of it, and apply again."
        ))),
        ApplyReply::ChangeReused => Err(CommandError::Failed(format!(
            "not accepted: the change id {change} was already used for another document"
        ))),
    }
}

/// Waits until a version is in force in every process.
async fn wait_until_in_force(
    client: &ControlClient,
    version: DocumentVersion,
) -> Result<(), CommandError> {
    let started = Instant::now();
    loop {
        let status = read_status(client).await?;
        let outdated: Vec<String> = status
            .processes
            .iter()
            .filter(|process| process.document_version < version)
            .map(|process| {
                let current = process.document_version;
                format!("{} has version {current}", process.member.name)
            })
            .collect();
        let elapsed = started.elapsed();
        if outdated.is_empty() {
            let count = status.processes.len();
            println!(
                "in force in all {count} processes after {} ms",
                elapsed.as_millis()
            );
            return Ok(());
        }
        if elapsed > Duration::from_millis(IN_FORCE_TIMEOUT_MS) {
            let message = format!("not in force everywhere: {}", outdated.join(", "));
            return Err(CommandError::Failed(message));
        }
        tokio::time::sleep(Duration::from_millis(IN_FORCE_POLL_INTERVAL_MS)).await;
    }
}

async fn read_status(client: &ControlClient) -> Result<StatusReply, CommandError> {
    let status = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| async move {
        client.status().await
    });
    Ok(status.await?)
}

/// Prints the document in force.
///
/// # Errors
/// Fails if no leader responds.
pub async fn get(control: Vec<SocketAddr>) -> Result<(), CommandError> {
    let client = control_client(control)?;
    let get = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| async move {
        client.get().await
    });
    let document = get.await?;
    println!(
        "# version {} (change {})",
        document.version, document.change
    );
    print!("{}", document.yaml);
    Ok(())
}

/// Prints the state of the control group and of all processes.
///
/// # Errors
/// Fails if no leader responds.
pub async fn status(control: Vec<SocketAddr>, json: bool) -> Result<(), CommandError> {
    let status = read_status(&control_client(control)?).await?;
    match json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&status).unwrap_or_default()
        ),
        false => print!("{status}"),
    }
    Ok(())
}

impl fmt::Display for ProcessLoad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.running > 0 {
            write!(f, ", {} in progress", self.running)?;
        }
        for (tier, count) in &self.waiting {
            write!(f, ", {count} {tier} waiting")?;
        }
        Ok(())
    }
}

impl fmt::Display for StatusReply {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "leader {} in term {}, entry {}",
            self.leader, self.term, self.commit_index
        )?;
        for replica in &self.replicas {
            let kind = if replica.voter { "voter" } else { "learner" };
            writeln!(
                f,
                "  replica {} ({kind}) holds entry {}",
                replica.id, replica.match_index
            )?;
        }
        writeln!(
            f,
            "document version {}, {} claims",
            self.document_version, self.claims
        )?;
        for process in &self.processes {
            let (member, version) = (&process.member, process.document_version);
            let role = match member.role {
                ProcessRole::Entry => "entry",
                ProcessRole::Gateway => "gateway",
                ProcessRole::Agent => "agent",
            };
            let target = match &member.target {
                Some(target) if target.leaving => format!(", {} (leaving)", target.service),
                Some(target) => format!(", {}", target.service),
                None => String::new(),
            };
            writeln!(
                f,
                "  {role} {} in {} at {}, version {version}{target}{}",
                member.name, member.failure_domain, member.address, process.load
            )?;
        }
        for (target, orders) in &self.orders {
            writeln!(f, "  ordered: {target}: {orders}")?;
        }
        Ok(())
    }
}

/// Prints the history of a request from the first of the given entries that has it.
///
/// # Errors
/// Fails if none of them has it.
pub async fn explain(entries: Vec<SocketAddr>, request: &str) -> Result<(), CommandError> {
    let request: RequestId = request
        .parse()
        .map_err(|error| CommandError::Invalid(format!("{request}: {error}")))?;
    if entries.is_empty() {
        let message = "name the admin address of an entry with --entry ADDRESS".to_string();
        return Err(CommandError::Invalid(message));
    }
    for entry in entries {
        if let Some(history) = fetch_history(entry, request).await {
            print!("{history}");
            return Ok(());
        }
    }
    let message = format!("request {request} is unknown to all given entries");
    Err(CommandError::Failed(message))
}

async fn fetch_history(entry: SocketAddr, request: RequestId) -> Option<String> {
    let stream = TcpStream::connect(entry).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let query = Request::get(format!("/requests/{request}"))
        .header("host", entry.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = sender.send_request(query).await.ok()?;
    let is_found = response.status().is_success();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    is_found.then(|| String::from_utf8_lossy(&body).into_owned())
}

/// Changes the desired state of a target.
///
/// # Errors
/// Fails if no leader responds.
pub async fn order(
    control: Vec<SocketAddr>,
    target: TargetName,
    order: Order,
) -> Result<(), CommandError> {
    let client = control_client(control)?;
    let call = client.call(CALL_TIMEOUT_MS, COMMAND_TIMEOUT_MS, |client| {
        let (target, order) = (target.clone(), order.clone());
        async move { client.order(target, order).await }
    });
    call.await?;
    match order {
        Order::Drain(true) => println!("{target} takes no new work"),
        Order::Drain(false) => println!("{target} takes work again"),
        Order::Load(model) => println!("{target} is to load {model}"),
        Order::Role(role) => println!("{target} is to have the role {role}"),
    }
    Ok(())
}
