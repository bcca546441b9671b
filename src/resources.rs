//! How a sidecar divides the descriptors and the memory that it may hold.
//!
//! Clients come first: a third of all descriptors is what they use for requests, and who of these finds no place waits
//! unanswered. What is left of the memory goes in equal parts to connections to upstreams, to bodies that are held, and to
//! what nobody counts: pieces on their way, heads, and gaps in the heap.

/// What the process takes without connections: its program, the list of upstreams and the state of the decisions.
pub const PROCESS_MEMORY: usize = 6_000_000;
/// What a connection takes with one request on it: the buffers of the HTTP library, of 8 KiB to 16 KiB each, the states of its
/// tasks, and the head of the request.
pub const CONNECTION_MEMORY: usize = 32 * 1024;
/// Clients use one in so many descriptors for their requests.
const CLIENTS_PART: usize = 3;
/// The most of the memory for bodies.
const BODIES_PART: usize = 4;

/// What a sidecar may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Descriptors.
    pub descriptors: usize,
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors that each process needs for other things than these connections.
    pub reserved: usize,
    /// How many processes of this sidecar may run at once, as in an upgrade. They share the limits and the clients.
    pub processes: usize,
}

/// What one process may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
    /// Bytes of bodies.
    pub bodies: usize,
}

impl Limits {
    /// Divides them. Each side has one place at least.
    pub fn divide(&self) -> Division {
        let connections = (self.descriptors / self.processes).saturating_sub(self.reserved);
        let memory = (self.memory / self.processes).saturating_sub(PROCESS_MEMORY);
        let clients = self.clients(connections, memory);
        let without_clients = memory.saturating_sub(clients / self.processes * CONNECTION_MEMORY);
        let upstreams = (without_clients / 3 / CONNECTION_MEMORY).min(connections.saturating_sub(clients));
        let without_connections = without_clients.saturating_sub(upstreams * CONNECTION_MEMORY);
        let bodies = (without_connections / 2).min(self.memory / self.processes / BODIES_PART);
        Division { clients: clients.max(1), upstreams: upstreams.max(1), bodies }
    }

    /// Half of the connections, if a quarter of the memory has room for them; in any case what their requests need, unless
    /// that leaves nothing to the rest. Those of one process are not the other's, and count in the memory of one.
    fn clients(&self, connections: usize, memory: usize) -> usize {
        let fit_in = |memory: usize| memory * self.processes / CONNECTION_MEMORY;
        let most = (connections * 5 / 6).min(fit_in(memory * 2 / 3));
        let needed = (self.descriptors / CLIENTS_PART).min(most);
        needed.max((connections / 2).min(fit_in(memory / 4)))
    }
}
