//! The list service: serves discovery's list of upstreams and sidecars, with revisions, watches and leases.

mod config;
mod durable;
mod http;
mod node;
mod store;

use clap::Parser;
use config::{Args, Config};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::Node;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use store::Command;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// How often lapsed leases are looked for: a tenth of the shortest grace that makes sense.
const EXPIRY_TICK: Duration = Duration::from_millis(100);
/// A caller that has not sent a whole head by then is none.
const HEAD_PATIENCE: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).init();
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
    let node = Arc::new(Node::open(&config.data, config.limits())?);
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!(listen = %listener.local_addr()?, data = %config.data.display(), "serving");
    let expiry = tokio::spawn(expire(node.clone()));
    tokio::select! {
        result = accept(listener, node.clone(), config.max_connections) => result,
        result = expiry => Err(format!("leases: {result:?}").into()),
        () = node.failed() => Err("the disk failed; memory is ahead of it".into()),
    }
}

async fn accept(
    listener: TcpListener, node: Arc<Node>, places: usize,
) -> Result<(), Box<dyn std::error::Error>> {
    let places = Arc::new(Semaphore::new(places));
    loop {
        let place = places.clone().acquire_owned().await?;
        let (stream, _) = listener.accept().await?;
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let node = node.clone();
                async move { Ok::<_, std::convert::Infallible>(http::serve(node, request).await) }
            });
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEAD_PATIENCE);
            // A caller that breaks off is no failure of the service.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
            drop(place);
        });
    }
}

/// Tombstones the entries whose lease lapsed past the grace.
async fn expire(node: Arc<Node>) {
    let mut tick = tokio::time::interval(EXPIRY_TICK);
    loop {
        tick.tick().await;
        if node.due() {
            // A failing disk stops the instance through `failed`.
            let _ = node.write(&Command::Expire { now_ms: node.now_ms() });
        }
    }
}
