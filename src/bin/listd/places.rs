//! Places for connections. Some are kept for what the other instances call: were raft's heartbeats and a planner's
//! requests to wait behind a crowd of clients, the crowd would cost an election besides.

use hyper::Method;
use std::sync::{Arc, OnceLock};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// Places that clients can't take: for each of some other instances one for each kind of raft's calls, and one each
/// for reports and a request that is passed on.
const KEPT: usize = 32;

/// All places of the instance.
pub struct Places {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
}

/// One connection's.
pub struct Place {
    _place: OwnedSemaphorePermit,
    clients: Arc<Semaphore>,
    /// Its place among the clients', from the first call of a client on.
    client: OnceLock<OwnedSemaphorePermit>,
}

impl Places {
    /// So many, of which [`KEPT`], half at most, are not for clients.
    pub fn new(count: usize) -> Places {
        let clients = count - KEPT.min(count / 2);
        Places { all: Arc::new(Semaphore::new(count)), clients: Arc::new(Semaphore::new(clients)) }
    }

    /// Waits for a place for the next connection. One that says nothing gives it up soon.
    ///
    /// # Errors
    /// Never while the places are there.
    pub async fn next(&self) -> Result<Place, AcquireError> {
        let _place = self.all.clone().acquire_owned().await?;
        Ok(Place { _place, clients: self.clients.clone(), client: OnceLock::new() })
    }
}

impl Place {
    /// Whether a call may be served on the connection: an instance's always, a client's while there is a place.
    pub fn admits(&self, method: &Method, path: &str) -> bool {
        if is_of_an_instance(method, path) || self.client.get().is_some() {
            return true;
        }
        self.clients.clone().try_acquire_owned().is_ok_and(|place| self.client.set(place).is_ok())
    }
}

fn is_of_an_instance(method: &Method, path: &str) -> bool {
    path.starts_with("/raft/")
        || path == crate::fleet_node::PROPOSE_PATH
        || path == crate::fleet_node::REPORTS_PATH && method == Method::GET
}
