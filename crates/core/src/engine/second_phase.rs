//! The second phase of a query: its parts go to the shards with the highest scores in the first phase.

use std::cmp::Reverse;

use super::query_table::QueryPhase;
use super::request::FirstPhase;
use super::submission::NewPart;
use super::Engine;
use crate::api::{QueryId, ShardId};

/// A shard and the score of the value received from it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoredShard {
    pub(super) score: u64,
    pub(super) shard: ShardId,
}

/// Returns up to `count` shards with the highest scores, best first; of equal scores, the lower shard comes first.
fn best_shards(mut scored: Vec<ScoredShard>, count: usize) -> Vec<ShardId> {
    scored.sort_unstable_by_key(|s| (Reverse(s.score), s.shard));
    scored.truncate(count);
    scored.into_iter().map(|s| s.shard).collect()
}

impl Engine {
    /// Replaces the parts of the first phase with those of the second. `scored` lists the shards that returned a value.
    pub(super) fn begin_second_phase(
        &mut self,
        id: QueryId,
        first_phase_complete: bool,
        scored: Vec<ScoredShard>,
    ) {
        let Some(query) = self.queries.get_mut(id) else { return };
        let class = &self.deployment.settings.classes[query.class.0];
        let part_count = class.second_phase_parts as usize;
        query.phase = QueryPhase::Second { first_phase_complete };
        for part in std::mem::take(&mut query.parts) {
            self.remove_part(part);
        }
        let mut shards: Vec<ShardId> = scored.iter().map(|s| s.shard).collect();
        shards.sort_unstable();
        let first_phase = FirstPhase { shards, complete: first_phase_complete };
        let best = best_shards(scored, part_count);
        let weight = 1.0 / best.len() as f64;
        for shard in best {
            let first_phase = Some(first_phase.clone());
            self.add_part(id, NewPart { shard, weight, text: None, first_phase });
        }
    }
}
