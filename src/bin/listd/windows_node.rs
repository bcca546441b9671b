//! The instance's part in maintenance windows: it picks slots where it leads.

use crate::fleet::{FleetError, FleetRequest};
use crate::maintenance::MaintenanceRequest;
use crate::node::{Node, WriteError};
use crate::store::{Member, Phase, StoreError};
use micapier::fleet::capacity::{Server, capacity};
use micapier::fleet::slots::Limits;
use micapier::fleet::window::WindowRequest;

/// How often a slot is picked anew where another request took it first.
const PICKS: usize = 3;

impl Node {
    /// The limits of windows by this instance's configuration and its list: all servers that a site has, since those
    /// that are down today are up in a week.
    pub fn window_limits(&self) -> Limits {
        Limits::new(&self.fleet, &capacity(&self.fleet, &self.servers(), self.unix_ms()).normal)
    }

    /// Picks a slot and writes the window, where this instance leads.
    ///
    /// # Errors
    /// As [`Node::write`]; [`FleetError::Window`] where it is refused, and nothing changed.
    pub async fn request_window(&self, request: &WindowRequest) -> Result<(), WriteError> {
        let mut last = self.request_once(request).await;
        for _ in 1..PICKS {
            match last {
                // Where no other took the slot meanwhile, the next pick says the same of the state.
                Err(WriteError::Refused(StoreError::Fleet(FleetError::Window(_)))) => {}
                done => return done,
            }
            last = self.request_once(request).await;
        }
        last
    }

    async fn request_once(&self, request: &WindowRequest) -> Result<(), WriteError> {
        // A follower, or a leader that has not applied all, would refuse by what is no longer so.
        self.leads().await?;
        let limits = self.window_limits();
        let start = {
            let store = self.shared.store();
            let maintenance = store.fleet().maintenance();
            let picked =
                maintenance.calendar().schedule(request, self.unix_ms(), &limits, maintenance.profile());
            picked.map_err(|why| StoreError::Fleet(FleetError::Window(why)))?
        };
        let request = request.clone();
        self.maintain_here(MaintenanceRequest::Plan { request, start, limits }).await
    }

    /// Writes to the calendar, where this instance leads.
    ///
    /// # Errors
    /// As [`Node::write`].
    pub async fn maintain_here(&self, request: MaintenanceRequest) -> Result<(), WriteError> {
        self.propose_here(FleetRequest::Maintenance(Box::new(request))).await.map(|_| ())
    }

    /// The upstreams of the list.
    fn servers(&self) -> Vec<Server> {
        self.shared.store().whole().members.into_iter().map(server).collect()
    }
}

fn server(member: &Member) -> Server {
    Server {
        site: member.locality.clone(),
        size: member.size,
        ready: member.phase == Phase::Ready,
        up_since_ms: member.up_since_ms,
    }
}
