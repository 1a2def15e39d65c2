//! The command line: `serve`, `check`, `version`, `help`, and the tools for SNMP managers and operators.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use curlewdeck::config::{Config, ConfigError, EdgeConfig, EdgeError};
use curlewdeck::limits::Limits;
use curlewdeck::query::{self, Command};
use curlewdeck::reload::Reloader;
use curlewdeck::replication::tool;
use curlewdeck::snmp_tool;
use curlewdeck::startup::{self, Coordinator};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use thiserror::Error;

const HELP: &str = "\
curlewdeck: a coordinator of queries over many shards

    curlewdeck serve [--config FILE] [--edge FILE]    serve until SIGTERM; SIGUSR1 logs the counters,
                                                      SIGHUP reads FILE again for the settings and
                                                      the list's address
    curlewdeck check [--config FILE] [--edge FILE]    read the files and say whether they can be used
{QUERY}
{SNMP}
{GROUP}
    curlewdeck mib                                    write the agent's MIB
    curlewdeck version
    curlewdeck help

The configuration is the file that --config or LB_CONFIG names. The edge's
file turns the feature front and the management agent on; without --edge it is deploy/edge.toml, if that
is there. RUST_LOG sets the log's level.";

/// The default path of the edge file, relative to the folder in which the platform starts programs.
const DEFAULT_EDGE_FILE: &str = "deploy/edge.toml";

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";

/// The log filter if RUST_LOG is not set. The event loop of `may` is excluded, since it logs an error whenever a signal
/// interrupts its poller.
const DEFAULT_LOG_FILTER: &str = "info,may=warn,may::io::event_loop=off";

/// An error that ends a command; its message is printed in a single line.
type CommandError = Box<dyn Error>;

/// An error in the command line.
#[derive(Debug, Error)]
enum UsageError {
    /// An argument is neither a command nor an option of the command.
    #[error("'{0}' is not known, see 'curlewdeck help'")]
    UnknownArgument(String),
    /// Neither `--config` nor `LB_CONFIG` names a configuration file.
    #[error("no configuration: give --config FILE or set LB_CONFIG")]
    NoConfiguration,
}

/// An error that prevents a coordinator from serving.
#[derive(Debug, Error)]
enum ServeError {
    /// The configuration file is unreadable or invalid.
    #[error("{}: {source}", .file.display())]
    Config { file: PathBuf, source: ConfigError },
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The thread that reloads the configuration could not be started.
    #[error("cannot start the reload thread: {0}")]
    ReloadThread(#[source] std::io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("curlewdeck: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the subcommand; returns the exit status.
fn run() -> Result<u8, CommandError> {
    let mut args = pico_args::Arguments::from_env();
    let command = args.subcommand()?;
    if args.contains(["-h", "--help"]) {
        println!("{}", help());
        return Ok(0);
    }
    match command.as_deref() {
        Some("query") => {
            let query = Command::read(&mut args)?;
            expect_no_more(args)?;
            return Ok(query.run());
        }
        Some("snmp") => run_snmp(args),
        Some("group") => {
            let command = tool::Command::read(&mut args)?;
            expect_no_more(args)?;
            command.run(|file| load_edge(file).map_err(|e| e.to_string())).map_err(CommandError::from)
        }
        other => run_coordinator(other, args),
    }
    .map(|()| 0)
}

/// Runs a command of the SNMP manager: a query to an agent, or `listen` for notifications.
fn run_snmp(mut args: pico_args::Arguments) -> Result<(), CommandError> {
    if args.clone().finish().iter().any(|word| word == "listen") {
        // Consumes the word `listen`; its options follow.
        args.free_from_str::<String>()?;
        let listen = snmp_tool::listen(&mut args)?;
        expect_no_more(args)?;
        return Ok(listen()?);
    }
    let manager = snmp_tool::Command::read(&mut args)?;
    expect_no_more(args)?;
    Ok(manager.run()?)
}

/// Runs a command that uses the coordinator's configuration files, or prints static text.
fn run_coordinator(command: Option<&str>, mut args: pico_args::Arguments) -> Result<(), CommandError> {
    let config: Option<PathBuf> = args.opt_value_from_str("--config")?;
    let edge: Option<PathBuf> = args.opt_value_from_str("--edge")?;
    expect_no_more(args)?;
    match command {
        Some("serve") => {
            let file = config_file(config)?;
            serve(&file, load_config(&file)?, load_edge(edge)?)
        }
        Some("check") => check(&load_config(&config_file(config)?)?, &load_edge(edge)?),
        Some("mib") => {
            print!("{}", curlewdeck::mib::module().text());
            Ok(())
        }
        Some("version") => {
            println!("curlewdeck {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") | None => {
            println!("{}", help());
            Ok(())
        }
        Some(other) => Err(UsageError::UnknownArgument(other.to_string()).into()),
    }
}

/// Validates both files and prints a summary.
fn check(config: &Config, edge: &EdgeConfig) -> Result<(), CommandError> {
    edge.check(&config.deployment)?;
    Limits::within(config.platform_bounds(0))?;
    let state = |on| if on { "on" } else { "off" };
    println!(
        "the configuration can be used: {} classes, feature front {}, desk front {}, management agent {}",
        config.deployment.class_names.len(),
        state(edge.features.is_some()),
        state(edge.aggregation.is_some()),
        state(edge.snmp.is_some())
    );
    Ok(())
}

fn help() -> String {
    HELP.replace("{QUERY}", query::HELP).replace("{SNMP}", snmp_tool::HELP).replace("{GROUP}", tool::HELP)
}

fn expect_no_more(args: pico_args::Arguments) -> Result<(), UsageError> {
    match args.finish().first() {
        None => Ok(()),
        Some(extra) => Err(UsageError::UnknownArgument(extra.to_string_lossy().into_owned())),
    }
}

fn config_file(config: Option<PathBuf>) -> Result<PathBuf, UsageError> {
    let file = config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    file.ok_or(UsageError::NoConfiguration)
}

fn load_config(file: &Path) -> Result<Config, ServeError> {
    Config::load(file).map_err(|source| ServeError::Config { file: file.to_path_buf(), source })
}

fn load_edge(file: Option<PathBuf>) -> Result<EdgeConfig, EdgeError> {
    match file {
        Some(file) => EdgeConfig::load(&file),
        None if Path::new(DEFAULT_EDGE_FILE).exists() => EdgeConfig::load(Path::new(DEFAULT_EDGE_FILE)),
        None => Ok(EdgeConfig::default()),
    }
}

/// Serves until SIGTERM.
fn serve(file: &Path, config: Config, edge: EdgeConfig) -> Result<(), CommandError> {
    start_logging();
    // Installs the handlers first, so that no early signal terminates the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(ServeError::Signals)?;
    startup::set_up_workers(&Limits::within(config.platform_bounds(0))?);
    let coordinator = Arc::new(startup::start(config, edge)?);
    let reloader =
        Reloader::start(coordinator.clone(), file.to_path_buf()).map_err(ServeError::ReloadThread)?;
    handle_signals(signals, &coordinator, &reloader);
    log::info!("ends; counters:\n{}", coordinator.report());
    Ok(())
}

fn start_logging() {
    let filter = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter).format_timestamp_micros().init();
}

/// Handles signals until the coordinator has finished after SIGTERM. A reload is still possible until then, since the
/// address of discovery may change while the last queries are in flight.
fn handle_signals(mut signals: Signals, coordinator: &Coordinator, reloader: &Reloader) {
    let handle = signals.handle();
    thread::scope(|scope| {
        let mut is_finishing = false;
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => log::info!("counters:\n{}", coordinator.report()),
                SIGHUP => reloader.signal(),
                _ if is_finishing => {}
                _ => {
                    is_finishing = true;
                    let handle = handle.clone();
                    scope.spawn(move || {
                        coordinator.finish();
                        handle.close();
                    });
                }
            }
        }
    });
}
