//! The decisions that the processes of a fleet share: who has which duty, what the reports of sidecars say of the
//! sites, where load goes and what is refused. Pure like the balancer: no I/O and no clock. Times are milliseconds
//! of a clock that the caller keeps; it only has to advance. Sites, tenants and classes go by their names here,
//! since processes number them each in its own way.

pub mod capacity;
pub mod config;
pub mod demand;
pub mod duty;
pub mod estimates;
pub mod evidence;
pub mod latency;
pub mod looks;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod report;
mod rider;
pub mod route;
pub mod site;
pub mod state;
pub mod steering;
#[cfg(test)]
mod steering_tests;
pub mod tally;
pub mod targets;
