//! Tools for tests and benchmarks with several processes: [`history`] checks operation histories for linearizability,
//! and [`proxy`] injects network faults between processes on loopback.

pub mod history;
pub mod proxy;
