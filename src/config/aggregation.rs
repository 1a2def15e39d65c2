//! The section `[desk]`: the frontend of rankings, sums and listings over all shards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use curlewdeck_merge::cursor::Keys;
use curlewdeck_merge::units::MAX_SCALE;
use serde::Deserialize;

use super::secrets::{default_cursor_lifetime_s, read_cursor_keys};
use super::{AggregationConfigError, SecretError, SetConfigError};
use crate::api::ClassId;
use crate::net::http;
use crate::settings::Deployment;

/// What the edge's file says of the aggregation frontend. Messages on a malformed section name this type.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeskConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file of the keys that seal cursors, the first one for new ones; without it a key is generated at the start,
    /// and cursors end with the process.
    #[serde(default)]
    pub cursor_keys: Option<PathBuf>,
    /// The lifetime of a cursor, in seconds.
    #[serde(default = "default_cursor_lifetime_s")]
    pub cursor_life_s: u64,
    /// The sets of data.
    pub sets: Vec<SetConfig>,
}

/// One set of data.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetConfig {
    /// Its id, as paths name it.
    pub id: String,
    /// Its title.
    pub title: String,
    /// The class of its queries.
    pub class: String,
    /// Its measures.
    pub measures: Vec<MeasureConfig>,
}

/// One measure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureConfig {
    /// Its name.
    pub name: String,
    /// Its decimals, 0 to 18.
    #[serde(default)]
    pub scale: u8,
}

impl DeskConfig {
    /// The class of each set.
    ///
    /// # Errors
    /// Names the set and what is wrong with it.
    pub fn check(&self, deployment: &Deployment) -> Result<Vec<ClassId>, AggregationConfigError> {
        if deployment.shards == 0 {
            return Err(AggregationConfigError::NoShards);
        }
        if self.cursor_life_s == 0 {
            return Err(AggregationConfigError::ZeroCursorLifetime);
        }
        let ids: BTreeSet<&str> = self.sets.iter().map(|set| set.id.as_str()).collect();
        if ids.len() != self.sets.len() || ids.is_empty() {
            return Err(AggregationConfigError::AmbiguousSets);
        }
        let class_of = |set: &SetConfig| {
            set.check(deployment).map_err(|source| AggregationConfigError::Set { id: set.id.clone(), source })
        };
        self.sets.iter().map(class_of).collect()
    }

    /// The keys that seal cursors.
    ///
    /// # Errors
    /// Names the file and the fault.
    pub fn keys(&self) -> Result<Keys, SecretError> {
        read_cursor_keys(self.cursor_keys.as_deref())
    }
}

impl SetConfig {
    /// The class of the set.
    fn check(&self, deployment: &Deployment) -> Result<ClassId, SetConfigError> {
        if self.id.is_empty() || http::encode(&self.id) != self.id || self.id.contains(',') {
            return Err(SetConfigError::InvalidId);
        }
        self.check_measures()?;
        let Some(class) = deployment.class_named(&self.class) else {
            return Err(SetConfigError::UnknownClass(self.class.clone()));
        };
        match deployment.settings.classes[class.0].second_phase_parts {
            0 => Ok(class),
            _ => Err(SetConfigError::TwoPhaseClass(self.class.clone())),
        }
    }

    fn check_measures(&self) -> Result<(), SetConfigError> {
        let names: BTreeSet<&str> = self.measures.iter().map(|measure| measure.name.as_str()).collect();
        if names.is_empty() || names.len() != self.measures.len() || names.contains("") {
            return Err(SetConfigError::AmbiguousMeasures);
        }
        match self.measures.iter().find(|measure| measure.scale > MAX_SCALE) {
            Some(measure) => Err(SetConfigError::ScaleTooLarge { measure: measure.name.clone() }),
            None => Ok(()),
        }
    }
}
