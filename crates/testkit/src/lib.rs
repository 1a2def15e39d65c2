//! For tests and benches that start many processes: [`history`] judges what clients were told against what a register
//! may have done, and [`proxy`] puts faults between processes on loopback.

pub mod history;
pub mod proxy;
