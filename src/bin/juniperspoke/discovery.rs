//! The list of upstreams: one whole list at first, then watches.

use crate::config::Config;
use crate::handle::{Handle, Happening};
use crate::instances::Instances;
use crate::list::{self, ListError, News};
use crate::upstream::{OpenError, TcpConnection};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use micapier::api::Discovery;
use micapier::settings::Surroundings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long a watch may wait. An agent beside the sidecar costs nothing to ask, and one that has gone silent is
/// noticed sooner; a service that works through its calls in turn is asked seldom.
const WATCH_PUSHED: Duration = Duration::from_secs(2);
const WATCH_ASKED: Duration = Duration::from_secs(20);
/// A call has failed when its answer is so late. One service for all may make calls wait in turn.
const PATIENCE_PUSHED: Duration = Duration::from_secs(1);
const PATIENCE_ASKED: Duration = Duration::from_secs(3);
/// Waits after calls that failed. All are inside the 200 ms in which a watch goes on, since what an agent has
/// counts as told; where discovery is asked, the module says when to ask again.
const BACKOFF: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(160);
/// The wait after a call that failed where discovery has moved and not answered yet: what it has to tell counts
/// as told some seconds after the move, sooner than the module would ask again.
const MOVED_AGAIN: Duration = Duration::from_millis(250);
/// A list is larger than a request's body: some hundred bytes for each upstream.
const MAX_LIST: usize = 4 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("no answer in time")]
    Silent,
    #[error("no connection: {0}")]
    Connect(OpenError),
    #[error("the call broke: {0}")]
    Http(#[from] hyper::Error),
    #[error("the answer broke or is too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    List(#[from] ListError),
    #[error("an instance behind: revision {0} where {1} was taken")]
    Behind(u64, u64),
}

/// What comes before the next call.
enum Pause {
    TillSubscribed,
    For(Duration),
}

/// Waits for discovery to move, for ever where nobody is left to tell of it.
async fn moved(at: &mut watch::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// The instances of a replicated list service and what was taken from them: an answer older than that is refused
/// as a failure is.
struct Replicated {
    instances: Instances,
    /// The revision last taken from the service; the known list of the start may count otherwise.
    floor: Option<u64>,
    /// Answers in a row that were behind the floor or called the revision asked for one from the future.
    refusals: usize,
}

impl Replicated {
    fn new(all: Vec<SocketAddr>, seed: u64) -> Option<Replicated> {
        Instances::new(all, seed).map(|instances| Replicated { instances, floor: None, refusals: 0 })
    }

    /// Whether a list of this revision may be taken: never one older than the last taken, unless each instance
    /// in turn has refused what the sidecar holds, since then the service has begun to count anew.
    fn takes(&self, revision: u64) -> bool {
        self.floor.is_none_or(|floor| revision >= floor) || self.refusals >= self.instances.count()
    }

    fn took(&mut self, revision: u64) {
        (self.floor, self.refusals) = (Some(revision), 0);
        self.instances.answered();
    }
}

/// Follows the list for good. Where discovery is asked, a watch begins when the module subscribes.
/// The first one goes on from the known list, if there is one. When discovery moves, the whole list is asked
/// for at once, since it may count anew at its new address. Where the configuration names the instances of a
/// replicated list service, they are asked instead, and a list older than the one held is never taken: they all
/// count alike, and one that is behind has not yet applied what another told.
pub async fn follow(
    config: Arc<Config>, mut at: watch::Receiver<SocketAddr>, known: Option<u64>, subscribe: Arc<Notify>,
    driver: Handle,
) {
    let asked = config.settings.discovery != Discovery::Pushed;
    let (wait, patience) =
        if asked { (WATCH_ASKED, PATIENCE_ASKED) } else { (WATCH_PUSHED, PATIENCE_PUSHED) };
    let (mut held, mut backoff, mut connection, mut has_moved) = (known, BACKOFF, None, false);
    let mut pause = asked.then_some(Pause::TillSubscribed);
    let mut replicated = Replicated::new(config.discovery_peers.clone(), config.seed);
    let mut addr = *at.borrow_and_update();
    if let Some(replicated) = &replicated {
        addr = replicated.instances.current();
    }
    loop {
        let next = async {
            match &pause {
                Some(Pause::TillSubscribed) => subscribe.notified().await,
                Some(Pause::For(time)) => sleep(*time).await,
                None => {}
            }
            let patience = patience + if held.is_some() { wait } else { Duration::ZERO };
            let called = Instant::now();
            let call = call(&mut connection, addr, &config.surroundings, held, wait);
            (called, timeout(patience, call).await.unwrap_or(Err(DiscoveryError::Silent)))
        };
        let (called, answer) = tokio::select! {
            biased;
            () = moved(&mut at) => {
                addr = *at.borrow_and_update();
                (held, backoff, connection, has_moved, pause) = (None, BACKOFF, None, true, None);
                continue;
            }
            answered = next => answered,
        };
        pause = None;
        let answer = answer.and_then(|news| match &mut replicated {
            Some(replicated) if !replicated.takes(news.revision) => {
                replicated.refusals += 1;
                Err(DiscoveryError::Behind(news.revision, replicated.floor.unwrap_or_default()))
            }
            _ => Ok(news),
        });
        match answer {
            // Guards against changes to a list other than the one held: the whole list is asked for.
            Ok(news) if !news.complete && held.is_some_and(|held| news.revision < held) => held = None,
            // A whole list counts whatever its number: discovery may have begun to count anew.
            Ok(news) => {
                if let Some(replicated) = &mut replicated {
                    replicated.took(news.revision);
                }
                let nothing_new = held == Some(news.revision) && called.elapsed() < BACKOFF_MOST;
                (held, backoff, has_moved) = (Some(news.revision), BACKOFF, false);
                driver.tell(Happening::List(news));
                // Guards against asking without a pause where a watch doesn't wait.
                pause = nothing_new.then_some(Pause::For(BACKOFF_MOST));
            }
            Err(error) => {
                if backoff == BACKOFF {
                    tracing::warn!("discovery: {error}");
                }
                connection = None;
                if backoff == BACKOFF || asked {
                    driver.tell(Happening::ListFailed);
                }
                pause = Some(match (asked, has_moved) {
                    // The module says when to ask again.
                    (true, false) => Pause::TillSubscribed,
                    (true, true) => Pause::For(MOVED_AGAIN),
                    (false, _) => Pause::For(backoff),
                });
                backoff = (backoff * 2).min(BACKOFF_MOST);
                if let Some(replicated) = &mut replicated {
                    // The revision held is from the future there: the whole list is asked for.
                    if matches!(error, DiscoveryError::Status(StatusCode::BAD_REQUEST)) {
                        (held, replicated.refusals) = (None, replicated.refusals + 1);
                    }
                    let wait = replicated.instances.failed();
                    addr = replicated.instances.current();
                    if !asked {
                        pause = Some(Pause::For(wait));
                    }
                }
            }
        }
    }
}

async fn call(
    kept: &mut Option<TcpConnection<Empty<Bytes>>>, addr: SocketAddr, names: &Surroundings,
    held: Option<u64>, wait: Duration,
) -> Result<News, DiscoveryError> {
    let mut connection = match kept.take() {
        Some(kept) if !kept.sender.is_closed() => kept,
        _ => TcpConnection::open(addr, ()).await.map_err(DiscoveryError::Connect)?,
    };
    let uri = match held {
        Some(revision) => format!("/registry/instances?index={revision}&wait={}", wait.as_millis()),
        None => "/registry/instances".to_owned(),
    };
    let request = Request::get(uri).header("Host", addr.to_string()).body(Empty::new());
    let request = request.map_err(|_| ListError("address"))?;
    connection.sender.ready().await?;
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_LIST).collect().await.map_err(DiscoveryError::Body)?;
    if status != StatusCode::OK {
        return Err(DiscoveryError::Status(status));
    }
    *kept = Some(connection);
    let news = list::read(&serde_json::from_slice(&body.to_bytes())?, names)?;
    // Guards against asking for the whole list without a pause when changes are all that comes.
    if held.is_none() && !news.complete {
        return Err(ListError("all of its lines").into());
    }
    Ok(news)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::instances::tests::peers;

    #[test]
    fn a_list_older_than_the_one_taken_is_refused_until_every_instance_has_said_so() {
        let mut replicated = Replicated::new(peers(3), 1).expect("peers");
        assert!(replicated.takes(5), "the known list of the start may count otherwise");
        replicated.took(5);
        assert!(replicated.takes(5) && !replicated.takes(4));
        replicated.refusals = 2;
        assert!(!replicated.takes(4), "two of three may be behind");
        replicated.refusals = 3;
        assert!(replicated.takes(4), "all three count anew");
    }
}
