//! Command-line arguments: one type per command, each with a `run` method.

use crate::{
    agent::{AdmissionAgent, Agent},
    commands::{
        self, CommandError,
        rollouts::{self, OutputFormat},
    },
    control::{
        ControlServer,
        orders::{EngineRole, ModelName, Order},
        rollouts::RolloutOrder,
    },
    dev,
    dialect::Dialect,
    entry::Entry,
    explain_log,
    gateway::Gateway,
    settings::{
        AdmissionSettings, AgentSettings, ControlSettings, EntrySettings, GatewaySettings, Settings,
    },
    signals::{self, SettingsWatch},
    standin::{Engine, EngineSettings, PlainService, PlainServiceSettings},
    telemetry::Telemetry,
    units::*,
};
use argh::FromArgs;
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Schedule requests to model engines and plain services, with a complete response
/// to each and load shedding by priority.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Entry(EntryCommand),
    Gateway(GatewayCommand),
    Admission(AdmissionCommand),
    Agent(AgentCommand),
    Control(ControlCommand),
    Check(CheckCommand),
    Apply(ApplyCommand),
    Get(GetCommand),
    Status(StatusCommand),
    Drain(DrainCommand),
    Order(OrderCommand),
    Rollout(RolloutCommand),
    Explain(ExplainCommand),
    Dev(DevCommand),
    StandInEngine(StandInEngineCommand),
    StandInPlain(StandInPlainCommand),
}

/// Run an entry, which accepts callers' requests and dispatches each to a target.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct EntryCommand {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run a gateway, which routes requests by host and path and forwards them to targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayCommand {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run the admission agent of a target, which grants slots of the target to gateways.
#[derive(FromArgs)]
#[argh(subcommand, name = "admission")]
struct AdmissionCommand {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run the agent of a target, which maintains the target's queue.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct AgentCommand {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run a control instance, which stores the document and the claims on its disk.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct ControlCommand {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Validate a document without putting it in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// Put a document in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyCommand {
    /// the document
    #[argh(positional)]
    file: PathBuf,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// the version on which the change is based (default: the version in force)
    #[argh(option)]
    expected: Option<DocumentVersion>,
    /// the id of the change; use the same one to retry if the response was lost
    #[argh(option)]
    change: Option<ChangeId>,
    /// wait until the document is in force in every process, and list those where it is not
    #[argh(switch)]
    wait: bool,
}

/// Print the document in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetCommand {
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
}

/// Print the state of the control group and of all processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Stop sending new work to a target; running work completes.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainCommand {
    /// the target
    #[argh(positional)]
    target: TargetName,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// end the drain
    #[argh(switch)]
    undo: bool,
}

/// Instruct an engine to load a model or to change its role.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
struct OrderCommand {
    /// the target
    #[argh(positional)]
    target: TargetName,
    /// the model, adapter or version to load
    #[argh(option)]
    model: Option<ModelName>,
    /// the role: whole, prefill or decode
    #[argh(option)]
    role: Option<EngineRole>,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
}

/// Move the traffic of a service to a new version of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct RolloutCommand {
    #[argh(subcommand)]
    command: RolloutSubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RolloutSubcommand {
    Start(RolloutStartCommand),
    Status(RolloutStatusCommand),
    Cancel(RolloutCancelCommand),
}

/// Order a rollout; the same order again has no effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct RolloutStartCommand {
    /// the service
    #[argh(option)]
    service: ServiceName,
    /// the version that its traffic is moved to
    #[argh(option)]
    to: TargetVersion,
    /// time from the order to the deadline, in seconds; may have a fraction
    #[argh(option)]
    duration_s: f64,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// text or json (default: text)
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Print the latest rollout of each service.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct RolloutStatusCommand {
    /// only this service
    #[argh(option)]
    service: Option<ServiceName>,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// text or json (default: text)
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Roll a rollout in progress back.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct RolloutCancelCommand {
    /// the service
    #[argh(option)]
    service: ServiceName,
    /// the RPC address of a control instance; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// text or json (default: text)
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Print the history of a request: its queues, each attempt and its verdict.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// the request id, from the header guavacove-request-id or as the caller sent it
    #[argh(positional)]
    request: String,
    /// the admin address of an entry; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// a file with JSON log lines of any processes, or - for standard input; may be repeated
    #[argh(option)]
    log: Vec<PathBuf>,
}

/// Run every role and stand-in targets in one process, for evaluation.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
struct DevCommand {
    /// the entry's port on 127.0.0.1 (default: 8080)
    #[argh(option, default = "8080")]
    port: u16,
}

/// Run a stand-in model engine, for tests.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in-engine")]
struct StandInEngineCommand {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the address of the agent to which the target announces itself
    #[argh(option)]
    announce: Option<SocketAddr>,
    /// the address to announce (default: the address it listens on)
    #[argh(option)]
    advertise: Option<SocketAddr>,
    /// the service to announce (default: drafts)
    #[argh(option, default = "ServiceName::from(\"drafts\")")]
    service: ServiceName,
    /// prompt tokens computed per second (default: 20000)
    #[argh(option, default = "20_000")]
    prefill_tokens_per_s: u64,
    /// tokens generated per second for each request (default: 200)
    #[argh(option, default = "200")]
    decode_tokens_per_s: u64,
    /// maximum number of requests in the batch (default: 16)
    #[argh(option, default = "16")]
    slots: usize,
    /// capacity of the KV cache in tokens (default: 32768)
    #[argh(option, default = "TokenCount(32_768)")]
    kv_tokens: TokenCount,
    /// delay of the load reports, in milliseconds (default: 1000)
    #[argh(option, default = "1000")]
    load_lag_ms: u64,
    /// reject orders with an outdated fencing number
    #[argh(switch)]
    checks_fencing: bool,
    /// capacity of the prefix cache in tokens (default: 65536)
    #[argh(option, default = "TokenCount(65_536)")]
    cache_tokens: TokenCount,
}

/// Run a stand-in plain service, for tests.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in-plain")]
struct StandInPlainCommand {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the address of the agent to which the target announces itself
    #[argh(option)]
    announce: Option<SocketAddr>,
    /// the service to announce (default: filings)
    #[argh(option, default = "ServiceName::from(\"filings\")")]
    service: ServiceName,
    /// duration of a request, in milliseconds (default: 10)
    #[argh(option, default = "10")]
    delay_ms: u64,
    /// maximum number of concurrent requests (default: 64)
    #[argh(option, default = "64")]
    slots: usize,
    /// close the connection instead of sending every nth response; 0 for never
    #[argh(option, default = "0")]
    break_every: u64,
}

/// Parses the command line and runs the command. The exit code is 0 for success, 1 for
/// a failure and 2 for invalid usage, settings or documents.
pub fn run<D: Dialect>() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (name, rest) = arguments.split_first().unwrap_or((&"guavacove", &[]));
    let arguments = match Arguments::from_args(&[name], rest) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!(
                "{}\nRun `guavacove --help` for the commands.",
                exit.output.trim_end()
            );
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(arguments.command.run::<D>()),
        Err(error) => Err(CommandError::Failed(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guavacove: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

impl Command {
    async fn run<D: Dialect>(self) -> Result<(), CommandError> {
        match self {
            Self::Entry(command) => command.run().await,
            Self::Gateway(command) => command.run(D::default()).await,
            Self::Admission(command) => command.run().await,
            Self::Agent(command) => command.run().await,
            Self::Control(command) => command.run(D::default()).await,
            Self::Check(command) => commands::check(&command.file),
            Self::Apply(command) => command.run().await,
            Self::Get(command) => commands::get(command.control).await,
            Self::Status(command) => commands::status(command.control, command.json).await,
            Self::Drain(DrainCommand {
                target,
                control,
                undo,
            }) => commands::order(control, target, Order::Drain(!undo)).await,
            Self::Order(command) => command.run().await,
            Self::Rollout(command) => command.command.run().await,
            Self::Explain(ExplainCommand {
                request,
                entry,
                log,
            }) => match log.is_empty() {
                true => commands::explain(entry, &request).await,
                false => explain_log::run(&log, &request),
            },
            Self::Dev(command) => dev::run(command.port).await,
            Self::StandInEngine(command) => command.run().await,
            Self::StandInPlain(command) => command.run().await,
        }
    }
}

impl EntryCommand {
    async fn run(self) -> Result<(), CommandError> {
        let settings = EntrySettings::read(&self.settings)?;
        let telemetry = Telemetry::install(&settings.telemetry, &settings.name.0);
        let watch = SettingsWatch::install(self.settings.clone());
        let entry = Entry::bind(&settings).await?;
        watch
            .run_until_stop(|settings| entry.update_settings(settings))
            .await;
        entry.shutdown().await;
        telemetry.flush();
        Ok(())
    }
}

impl AgentCommand {
    async fn run(self) -> Result<(), CommandError> {
        let settings = AgentSettings::read(&self.settings)?;
        let telemetry = Telemetry::install(&settings.telemetry, &settings.name.0);
        let watch = SettingsWatch::install(self.settings.clone());
        let agent = Agent::bind(&settings).await?;
        watch
            .run_until_stop(|settings| agent.update_settings(settings))
            .await;
        agent.shutdown().await;
        telemetry.flush();
        Ok(())
    }
}

impl GatewayCommand {
    async fn run(self, dialect: impl Dialect) -> Result<(), CommandError> {
        let settings = GatewaySettings::read(&self.settings)?;
        let telemetry = Telemetry::install(&settings.telemetry, &settings.name.0);
        let watch = SettingsWatch::install(self.settings.clone());
        let gateway = Gateway::bind(&settings, dialect).await?;
        watch
            .run_until_stop(|settings| gateway.update_settings(settings))
            .await;
        gateway.shutdown().await;
        telemetry.flush();
        Ok(())
    }
}

impl AdmissionCommand {
    async fn run(self) -> Result<(), CommandError> {
        let settings = AdmissionSettings::read(&self.settings)?;
        let telemetry = Telemetry::install(&settings.telemetry, &settings.name.0);
        let watch = SettingsWatch::install(self.settings.clone());
        let _admission_agent = AdmissionAgent::bind(&settings).await?;
        // None of its settings applies to a running agent.
        watch.run_until_stop(|_: &AdmissionSettings| {}).await;
        tracing::info!(name = %settings.name, "agent: stops");
        telemetry.flush();
        Ok(())
    }
}

impl ControlCommand {
    async fn run(self, dialect: impl Dialect) -> Result<(), CommandError> {
        let settings = ControlSettings::read(&self.settings)?;
        let process = format!("control-{}", settings.number);
        let telemetry = Telemetry::install(&settings.telemetry, &process);
        let watch = SettingsWatch::install(self.settings.clone());
        let mut control = ControlServer::spawn(&settings, dialect).await?;
        let update = control.settings_updater();
        tokio::select! {
            () = watch.run_until_stop(update) => {}
            () = control.failed() => {
                let message = "the replica stopped; see its last log line for the reason".to_string();
                return Err(CommandError::Failed(message));
            }
        }
        control.shutdown().await;
        telemetry.flush();
        Ok(())
    }
}

impl ApplyCommand {
    async fn run(self) -> Result<(), CommandError> {
        let Self {
            file,
            control,
            expected,
            change,
            wait,
        } = self;
        commands::apply(commands::ApplyArguments {
            file,
            control,
            expected,
            change,
            wait,
        })
        .await
    }
}

impl OrderCommand {
    async fn run(self) -> Result<(), CommandError> {
        let Self {
            target,
            model,
            role,
            control,
        } = self;
        if model.is_none() && role.is_none() {
            let message = "specify --model or --role".to_string();
            return Err(CommandError::Invalid(message));
        }
        let orders = model
            .map(Order::Load)
            .into_iter()
            .chain(role.map(Order::Role));
        for order in orders {
            commands::order(control.clone(), target.clone(), order).await?;
        }
        Ok(())
    }
}

impl RolloutSubcommand {
    async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Start(command) => {
                let order = RolloutOrder {
                    service: command.service,
                    to: command.to,
                    duration_ms: rollouts::duration_ms(command.duration_s)?,
                };
                rollouts::start(command.control, order, command.format).await
            }
            Self::Status(command) => {
                rollouts::status(command.control, command.service, command.format).await
            }
            Self::Cancel(command) => {
                rollouts::cancel(command.control, command.service, command.format).await
            }
        }
    }
}

impl StandInEngineCommand {
    async fn run(self) -> Result<(), CommandError> {
        let settings = EngineSettings {
            announce: self.announce,
            advertise: self.advertise,
            checks_fencing: self.checks_fencing,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_tokens_per_s: self.decode_tokens_per_s,
            slots: self.slots,
            kv_tokens: self.kv_tokens,
            cache_tokens: self.cache_tokens,
            load_lag_ms: self.load_lag_ms,
            ..EngineSettings::new(self.listen, self.service)
        };
        let engine = Engine::bind(settings).await.map_err(CommandError::failed)?;
        signals::stop_requested().await;
        engine.shutdown().await;
        Ok(())
    }
}

impl StandInPlainCommand {
    async fn run(self) -> Result<(), CommandError> {
        let Self {
            listen,
            announce,
            service,
            delay_ms,
            slots,
            break_every,
        } = self;
        let settings = PlainServiceSettings {
            listen,
            announce,
            service,
            delay_ms,
            slots,
            break_every,
        };
        let plain = PlainService::bind(settings)
            .await
            .map_err(CommandError::failed)?;
        signals::stop_requested().await;
        plain.shutdown().await;
        Ok(())
    }
}
