//! A sidecar: takes the requests of the application beside it and sends each to an upstream.
// `listener` and `tcp_info` have the lines that are allowed.
#![deny(unsafe_code)]

mod accept;
mod answer;
mod arrivals;
mod bans;
mod bodies;
mod budget;
mod calls;
mod client;
mod config;
mod connection;
mod control;
mod discovery;
mod driver;
mod fleet;
mod framing;
mod handle;
mod heartbeat;
mod idle;
mod instances;
mod leaving;
mod life;
mod list;
mod listener;
mod log_limit;
mod metrics;
mod peer;
mod pieces;
mod pool;
mod read_sizes;
mod recent_ids;
mod reply;
mod server;
mod shared_ids;
mod shortage;
mod starts;
mod system;
mod tcp_info;
mod turns;
mod upstream;
mod write_gate;

use bans::Bans;
use budget::Budget;
use clap::Parser;
use config::{Config, ConfigError};
use control::Control;
use driver::Driver;
use handle::{Happening, Shutdown};
use heartbeat::Heartbeat;
use life::{Life, Presence};
use listener::ListenError;
use metrics::Metrics;
use micapier::resources::Limits;
use pool::ConnectionPool;
use recent_ids::RecentIds;
use server::{ClientLimits, Server};
use shared_ids::SharedIds;
use std::env;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tracing_subscriber::EnvFilter;
use upstream::Upstreams;

/// Descriptors for all that is no connection of the application or to upstreams: the listener, discovery, logs.
const RESERVED: usize = 16;
/// What is logged where `RUST_LOG` says nothing, or what can't be read.
const LOGGED: &str = "warn,juniperspoke=info";
/// After SIGTERM newcomers come for so long at least, and none for so long means that they have stopped.
const NEWCOMERS: Duration = Duration::from_millis(500);
const QUIET: Duration = Duration::from_millis(250);
/// How often an ending sidecar looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);
/// SIGKILL follows SIGTERM after the longest deadline, of which no more than this counts, and the grace.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// What comes later than this after SIGTERM is owed its answer before SIGKILL.
const OWED_AFTER: Duration = KILL_GRACE;
/// New connections are accepted until so long before SIGKILL. Guards against one who asks without end whether the
/// process is still there.
const LISTEN_MARGIN: Duration = Duration::from_millis(100);
/// A process that nobody kills ends by itself after this time, whatever a peer holds open.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// The sidecar beside an application: sends each of its requests to an upstream. What it is told at its start
/// comes from the environment.
#[derive(Parser)]
#[command(name = "juniperspoke", version, after_help = ENVIRONMENT)]
struct Args {}

const ENVIRONMENT: &str = "\
Environment:
  BALANCER_CONFIG     The JSON configuration's file; has to be set
  BALANCER_LISTEN     Where clients call, as IP:PORT; wins over the file, as the next three do
  BALANCER_DISCOVERY  Where discovery is, as IP:PORT
  BALANCER_NAME       This sidecar's name
  BALANCER_CONTROL    Where operators call, as IP:PORT
  BALANCER_LISTEN_FD  The descriptor of the clients' socket, where the platform holds it
  RUST_LOG            What is logged, such as warn or juniperspoke=debug; info and above if unset
  TMPDIR              Where upstreams out by hand are kept";

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("starting: {0}")]
    System(#[from] io::Error),
}

/// At SIGHUP the file may name another address of discovery. One that can't be read changes nothing.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::discovery_now() {
            Ok(addr) => {
                tracing::info!("discovery is at {addr}");
                discovery.send_replace(addr);
            }
            Err(error) => tracing::warn!("reload: {error}"),
        }
    }
}

/// The earliest SIGKILL after SIGTERM. Deadlines that the settings don't name are long.
fn kill_after(config: &Config) -> Duration {
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let counted = if longest.is_zero() { LONGEST_DEADLINE } else { longest.min(LONGEST_DEADLINE) };
    counted + KILL_GRACE
}

/// Since when clients may wait at the listener of a process that starts now. Where it is inherited, another process may
/// have left some; those that have waited for longer than the longest deadline have left.
fn none_came_by(is_inherited: bool) -> Instant {
    let now = Instant::now();
    let by = if is_inherited { now.checked_sub(LONGEST_DEADLINE) } else { None };
    by.unwrap_or(now)
}

/// What this sidecar may hold. Where the platform holds the socket, an upgrade's other process may run beside this one.
fn limits(config: &Config, is_inherited: bool) -> Limits {
    let of_control = if config.control.is_some() { control::PLACES } else { 0 };
    let of_fleet = if config.fleet.is_some() { fleet::PLACES } else { 0 };
    Limits {
        descriptors: config.sockets,
        memory: config.memory,
        reserved: RESERVED + of_control + of_fleet,
        processes: if is_inherited { 2 } else { 1 },
    }
}

/// What other processes of this sidecar have left. Without the file it serves all the same.
fn open_shared_ids(dir: &Path, name: &str) -> Option<SharedIds> {
    let ids = SharedIds::open(dir, name);
    ids.inspect_err(|error| tracing::warn!(%error, "ids are not shared with other processes")).ok()
}

async fn run(inherited: Option<TcpListener>) -> Result<(), StartError> {
    let none_by = none_came_by(inherited.is_some());
    let (mut term, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let config = Arc::new(Config::from_env()?);
    let shared = inherited.is_some();
    let control = match config.control {
        Some(addr) => Some(listener::bind("control", addr).await?),
        None => None,
    };
    let listener = match inherited {
        Some(listener) => listener::wrap(listener)?,
        None => listener::bind("listen", config.listen).await?,
    };
    let division = limits(&config, shared).divide();
    tracing::info!(
        clients = division.clients,
        upstreams = division.upstreams,
        body_bytes = division.bodies,
        "places for connections, and room for bodies"
    );
    let budget = Budget::new(division.bodies);
    let (keep_alive, connect_timeout) = (config.settings.keep_alive, config.surroundings.connect_timeout);
    let pool = ConnectionPool::new(division.upstreams, keep_alive, connect_timeout);
    let metrics = Metrics::new(&config.surroundings.classes);
    let upstreams = Upstreams::new(pool, metrics.clone(), budget.clone());
    let subscribe = Arc::new(Notify::new());
    let dark = config.fleet.as_ref().map(|_| Arc::new(Notify::new()));
    let (driver, handle) = Driver::new(config.clone(), upstreams, subscribe.clone(), dark.clone());
    let known = match list::read(&config.known, &config.surroundings) {
        Ok(known) => Some(known),
        Err(error) => {
            tracing::warn!("{}: starting without a known list: {error}", config.name);
            None
        }
    };
    let (dir, name) = (env::temp_dir(), config::file_name(&config.name));
    let (_presence, beside) = if shared { Presence::enter(&dir, &name) } else { (Presence::none(), false) };
    // Beside a predecessor the whole list is asked for: a watch says nothing until there is something new.
    let revision = known.as_ref().map(|known| known.revision).filter(|_| !beside);
    let bans = Bans::open(&dir, &name);
    let shared_ids = if shared { open_shared_ids(&dir, &name) } else { None };
    let life = Arc::new(Life::new());
    let heartbeat = Heartbeat::new();
    tokio::spawn(heartbeat.clone().beat(metrics.clone()));
    let server = Server::new(
        config.clone(),
        handle.clone(),
        life.clone(),
        metrics.clone(),
        ClientLimits { connections: division.clients, budget },
        RecentIds::new(shared_ids),
        heartbeat.clone(),
    );
    let mut operators = None;
    if let Some(listener) = control {
        tracing::info!("{}: control on {}", config.name, listener.local_addr()?);
        let control = Control::new(life.clone(), metrics, handle.clone(), bans.clone());
        operators = Some(tokio::spawn(control.listen(listener)));
    }
    let mut driving = tokio::spawn(driver.run(known, beside));
    // Before the first request: the driver takes what it is told in order.
    tokio::spawn(bans.follow(shared, handle.clone()));
    let (moved, at) = watch::channel(config.discovery);
    tokio::spawn(reload(hangup, moved));
    tokio::spawn(discovery::follow(config.clone(), at, revision, subscribe, handle.clone()));
    if let Some(dark) = dark {
        fleet::start(config.clone(), handle.clone(), dark, shared)?;
    }
    tracing::info!("{}: listening on {}", config.name, listener.local_addr()?);
    let listening = tokio::spawn({
        let (server, handle) = (server.clone(), handle.clone());
        async move {
            // Until then whoever comes is the predecessor's.
            while beside && !handle.is_ready() {
                sleep(LOOK).await;
            }
            server.listen(listener, none_by).await;
        }
    });
    tokio::select! {
        _ = term.recv() => {}
        ended = &mut driving => {
            return Err(io::Error::other(format!("the driver ended: {ended:?}")).into());
        }
    }
    let heard_at = Instant::now();
    // It may have come at any time since the event loop last looked.
    let not_before = heartbeat.looked_at();
    let kill_at = not_before + kill_after(&config);
    let shutdown = Shutdown { owed_after: not_before + OWED_AFTER, answer_by: life.end(kill_at) };
    handle.tell(Happening::Ending(shutdown));
    let kill_after = kill_at.saturating_duration_since(heard_at);
    tracing::info!(?kill_after, connections = server.connections(), "SIGTERM: ending");
    let listen_for = kill_after.saturating_sub(LISTEN_MARGIN);
    // Newcomers to a socket that the platform holds are its other process's; nobody else has those to this one's.
    if shared {
        listening.abort();
    }
    let over = || if shared { server.is_empty() } else { server.is_quiet(QUIET) };
    while !shared && heard_at.elapsed() < NEWCOMERS || heard_at.elapsed() < listen_for && !over() {
        sleep(LOOK).await;
    }
    // What is owed then has its time: an end over it would lose what SIGKILL may find unanswered.
    tracing::info!(after = ?heard_at.elapsed(), connections = server.connections(), "accepts no more connections");
    life.close_all();
    server.stop();
    // The next process at these addresses waits for both; where another ran beside this one, it has a door of its own.
    operators.filter(|_| !shared).inspect(JoinHandle::abort);
    while heard_at.elapsed() < END_TIMEOUT && !(listening.is_finished() && server.is_empty()) {
        sleep(LOOK).await;
    }
    tracing::info!(after = ?heard_at.elapsed(), connections = server.connections(), "ended");
    Ok(())
}

fn main() -> ExitCode {
    Args::parse();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(LOGGED));
    // A log that nobody can write to any more is no reason to end.
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).log_internal_errors(false);
    log.with_env_filter(filter).init();
    let inherited = match listener::inherited() {
        Ok(inherited) => inherited,
        Err(error) => {
            tracing::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(inherited)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
