//! The command line: `serve`, `check`, `version`, `help`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use curlewdeck::config::{Config, Edge};
use curlewdeck::limits::Limits;
use curlewdeck::query::{self, Command};
use curlewdeck::reload::Reloader;
use curlewdeck::replication::tool;
use curlewdeck::snmp_tool;
use curlewdeck::startup;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

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

/// The edge's file, from the folder that the platform starts programs in.
const EDGE: &str = "deploy/edge.toml";

fn main() -> ExitCode {
    match run() {
        Ok(status) => ExitCode::from(status),
        Err(message) => {
            eprintln!("curlewdeck: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the subcommand; returns the exit status.
fn run() -> Result<u8, String> {
    let mut args = pico_args::Arguments::from_env();
    let command = args.subcommand().map_err(|e| e.to_string())?;
    if args.contains(["-h", "--help"]) {
        println!("{}", help());
        return Ok(0);
    }
    match command.as_deref() {
        Some("query") => {
            let query = Command::read(&mut args)?;
            no_more(args)?;
            return Ok(query.run());
        }
        Some("snmp") => run_snmp(args),
        Some("group") => {
            let command = tool::Command::read(&mut args)?;
            no_more(args)?;
            command.run(load_edge)
        }
        other => run_coordinator(other, args),
    }
    .map(|()| 0)
}

/// The commands of a manager: those that ask an agent, and the one that listens for notifications.
fn run_snmp(mut args: pico_args::Arguments) -> Result<(), String> {
    if args.clone().finish().iter().any(|word| word == "listen") {
        // The word itself; then its own options.
        args.free_from_str::<String>().map_err(|e| e.to_string())?;
        let listen = snmp_tool::listen(&mut args)?;
        no_more(args)?;
        return listen();
    }
    let manager = snmp_tool::Command::read(&mut args)?;
    no_more(args)?;
    manager.run()
}

/// The commands that take the coordinator's own files.
fn run_coordinator(command: Option<&str>, mut args: pico_args::Arguments) -> Result<(), String> {
    let config: Option<PathBuf> = args.opt_value_from_str("--config").map_err(|e| e.to_string())?;
    let edge: Option<PathBuf> = args.opt_value_from_str("--edge").map_err(|e| e.to_string())?;
    no_more(args)?;
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
        Some(other) => Err(format!("'{other}' is not known, see 'curlewdeck help'")),
    }
}

/// Says whether the files can be used.
fn check(config: &Config, edge: &Edge) -> Result<(), String> {
    edge.check(&config.info)?;
    Limits::within(config.platform(0))?;
    let state = |on| if on { "on" } else { "off" };
    println!(
        "the configuration can be used: {} classes, feature front {}, desk front {}, management agent {}",
        config.info.class_names.len(),
        state(edge.ogc.is_some()),
        state(edge.desk.is_some()),
        state(edge.snmp.is_some())
    );
    Ok(())
}

fn help() -> String {
    HELP.replace("{QUERY}", query::HELP).replace("{SNMP}", snmp_tool::HELP).replace("{GROUP}", tool::HELP)
}

fn no_more(args: pico_args::Arguments) -> Result<(), String> {
    match args.finish().first() {
        None => Ok(()),
        Some(extra) => Err(format!("'{}' is not known, see 'curlewdeck help'", extra.to_string_lossy())),
    }
}

fn config_file(config: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = config.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    path.ok_or_else(|| "no configuration: give --config FILE or set LB_CONFIG".to_string())
}

fn load_config(file: &Path) -> Result<Config, String> {
    Config::load(file).map_err(|e| format!("{}: {e}", file.display()))
}

fn load_edge(edge: Option<PathBuf>) -> Result<Edge, String> {
    match edge {
        Some(path) => Edge::load(&path),
        None if Path::new(EDGE).exists() => Edge::load(Path::new(EDGE)),
        None => Ok(Edge::default()),
    }
}

/// Serves until SIGTERM.
fn serve(file: &Path, config: Config, edge: Edge) -> Result<(), String> {
    // Each signal interrupts the poller, and may logs that as an error of its own each time.
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,may=warn,may::io::event_loop=off"),
    )
    .format_timestamp_micros()
    .init();
    // Before anything else, so that no signal finds the process unprepared.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    startup::set_up_workers(&Limits::within(config.platform(0))?);
    let coordinator = Arc::new(startup::start(config, edge)?);
    let reloader = Reloader::start(coordinator.clone(), file.to_path_buf())
        .map_err(|e| format!("no thread to read the configuration: {e}"))?;
    let (coordinator, handle) = (&coordinator, signals.handle());
    // Signals are heard to the end: the list's service may move while the last queries are finished.
    thread::scope(|scope| {
        let mut ending = false;
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => log::info!("counters:\n{}", coordinator.report()),
                SIGHUP => reloader.signal(),
                _ if ending => {}
                _ => {
                    ending = true;
                    let handle = handle.clone();
                    scope.spawn(move || {
                        coordinator.finish();
                        handle.close();
                    });
                }
            }
        }
    });
    log::info!("ends; counters:\n{}", coordinator.report());
    Ok(())
}
