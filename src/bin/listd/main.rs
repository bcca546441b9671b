//! The list service: serves discovery's list of upstreams and sidecars, with revisions, watches and leases.

mod config;
mod durable;
mod duty;
mod fleet;
mod fleet_http;
mod fleet_node;
mod http;
mod maintenance;
mod metrics;
mod node;
mod peers;
mod places;
mod planner;
mod replica;
mod store;
mod windows_http;
mod windows_node;

use clap::Parser;
use config::{Args, Config};
use duty::DutyKeeper;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::Node;
use places::Places;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;
use tracing_subscriber::EnvFilter;

/// How often lapsed leases are looked for: a tenth of the shortest grace that makes sense.
const EXPIRY_TICK: Duration = Duration::from_millis(100);
/// What is logged where `RUST_LOG` says nothing, or what can't be read: raft tells of each election and snapshot
/// as information, which drowns the service's own lines.
const QUIET: &str = "warn,listd=info";
/// A caller that has not sent a whole head by then is none.
const HEAD_PATIENCE: Duration = Duration::from_secs(5);
/// The pause after a connection that could not be taken: a failure that lasts is met ten times a second.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(QUIET));
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).with_env_filter(filter).init();
    let args = Args::parse();
    let config = match Config::load(&args) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(%error, "no configuration");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "no runtime");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "stopped");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind(config.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (members, limits) = (config.members()?, config.limits());
    let fleet_is_on = config.fleet.is_on();
    let node = Arc::new(Node::start(config.id, members, &config.data, limits, config.fleet).await?);
    tracing::info!(listen = %listener.local_addr()?, id = config.id, data = %config.data.display(), "serving");
    let lead = node.clone();
    let raft = node.raft.wait(None);
    let duty = DutyKeeper::new(node.clone(), fleet::PLANNER, config.id);
    // Ends after a SIGTERM, once the duty is released.
    let duties = async {
        let keep = async {
            if fleet_is_on {
                tokio::select! {
                    () = duty.run() => {}
                    () = planner::run(&node, &duty) => {}
                }
            }
        };
        let stop = async {
            terminate.recv().await;
            tracing::info!("stopping");
            duty.drain();
        };
        tokio::join!(keep, stop);
    };
    tokio::select! {
        result = accept(listener, node.clone(), config.max_connections) => result,
        () = lead.lead(EXPIRY_TICK) => Ok(()),
        () = lead.keep_in_touch() => Err("raft reports nothing more".into()),
        fatal = raft.state(openraft::ServerState::Shutdown, "raft") => {
            Err(format!("raft stopped: {fatal:?}").into())
        }
        () = duties => Ok(()),
    }
}

async fn accept(
    listener: TcpListener, node: Arc<Node>, places: usize,
) -> Result<(), Box<dyn std::error::Error>> {
    let (places, mut failing) = (Places::new(places), false);
    loop {
        let place = Arc::new(places.next().await?);
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                // Without it answers are merely slower.
                drop(stream.set_nodelay(true));
                stream
            }
            // Guards against ending where descriptors are short for a while or a caller breaks off.
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "no connection is taken");
                }
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (node, place) = (node.clone(), place.clone());
                async move {
                    let admitted = place.admits(request.method(), request.uri().path());
                    let answer = if admitted { http::serve(node, request).await } else { http::no_place() };
                    Ok::<_, std::convert::Infallible>(answer)
                }
            });
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEAD_PATIENCE);
            // A caller that breaks off is no failure of the service.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
