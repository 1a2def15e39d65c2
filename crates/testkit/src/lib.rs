//! For tests and benches of several processes: [`history`] checks whether what clients saw is linearizable, and [`proxy`]
//! injects faults between processes on loopback.

pub mod history;
pub mod proxy;
