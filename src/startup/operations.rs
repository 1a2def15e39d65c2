//! The commands that operators send to the second address: readiness, statistics, draining and resuming.

use std::sync::Arc;

use curlewdeck_lifecycle::{Closing, TransitionResult};

use super::CLOSING_CHECK_INTERVAL;
use crate::control::OperatorCommands;
use crate::frontend::http_server::Service;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::runtime::{thread, SMALL_STACK};

/// Executes operators' commands on this coordinator.
pub(super) struct CoordinatorOperations {
    pub(super) core: CoreHandle,
    pub(super) service: Arc<Service>,
    pub(super) limits: Arc<Limits>,
}

impl OperatorCommands for CoordinatorOperations {
    fn ready(&self) -> Result<(), &'static str> {
        self.service.not_ready_reason(&self.core).map_or(Ok(()), Err)
    }

    fn statistics(&self) -> String {
        self.core.process_stats().text()
    }

    fn drain(&self) -> Result<(), &'static str> {
        let (result, change) = {
            let mut lifecycle = self.service.lifecycle();
            (lifecycle.start_drain(self.service.now()), lifecycle.changes())
        };
        if result == TransitionResult::Changed {
            log::info!("drained by an operator");
            self.close_idle_connections_until_changed(change);
        }
        Ok(())
    }

    fn resume(&self) -> Result<(), &'static str> {
        match self.service.lifecycle().stop_drain() {
            TransitionResult::Changed => log::info!("resumed by an operator"),
            TransitionResult::Already => {}
            TransitionResult::Finishing => return Err("the process ends"),
        }
        Ok(())
    }
}

impl CoordinatorOperations {
    /// Closes idle client connections in a thread until the next change of the lifecycle, which ends this drain.
    fn close_idle_connections_until_changed(&self, change: u64) {
        let (service, limits) = (self.service.clone(), self.limits.clone());
        let close = move || {
            while service.lifecycle().changes() == change {
                if service.closing() == Closing::IdleAndAfterResponse {
                    service.close_idle(limits.client_evictable_silence, limits.linger);
                }
                std::thread::sleep(CLOSING_CHECK_INTERVAL);
            }
        };
        if let Err(e) = thread("drain", SMALL_STACK, close) {
            log::error!(error:% = e; "cannot start the thread that closes idle connections");
        }
    }
}
