//! Subscriptions over simulated time: step by step, as a fleet at one service, through outages, and against a model of
//! the notification rule.

mod calls;
mod fleet;
mod notification_rule;
mod outages;

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use curlewdeck_membership::{HedgeDelays, Pacing, Subscription};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_000_000 * MS;
/// The step of the simulated time.
const STEP: Nanos = 10 * MS;
const POLL_INTERVAL_MAX: Nanos = 10_000 * MS;
const POLL: DiscoveryMode = DiscoveryMode::Poll { poll_interval_max: POLL_INTERVAL_MAX };
const HEDGE_DELAYS: HedgeDelays = HedgeDelays { hedge: 3000 * MS, silence: 2600 * MS };
/// The longest time that a service may take so that its answer is in time.
const ANSWER: Nanos = 2200 * MS;

/// The subscription of one of `coordinators` coordinators, started at [`START`] with a list of version `known`.
fn subscription(discovery: DiscoveryMode, coordinators: u32, known: Option<u64>, seed: u64) -> Subscription {
    Subscription::new(Pacing::new(discovery, coordinators, HEDGE_DELAYS, seed), known, START)
}
