//! The decisions that the processes of a fleet share: who has which duty, what the reports of sidecars say of the
//! sites, where load goes and what is refused. Pure like the balancer: no I/O and no clock. Times are milliseconds
//! of a clock that the caller keeps; it only has to advance. Sites, tenants and classes go by their names here,
//! since processes number them each in its own way.

pub mod config;
pub mod latency;
pub mod plan;
pub mod report;
pub mod route;
pub mod state;
pub mod tally;
