//! The section `[desk]`: the frontend for rankings, sums and listings over all shards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use curlewdeck_merge::cursor::CursorKeys;
use curlewdeck_merge::units::MAX_SCALE;
use serde::Deserialize;

use super::secrets::{default_cursor_lifetime_s, read_cursor_keys};
use super::{AggregationConfigError, SecretError, SetConfigError};
use crate::api::ClassId;
use crate::net::http;
use crate::settings::Deployment;

/// The aggregation frontend's configuration. Error messages about a malformed section contain this type's name.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeskConfig {
    /// The TCP address on which the frontend accepts HTTP clients.
    pub listen: SocketAddr,
    /// The file with the keys that authenticate cursors. New cursors use the first key. `None` means that a key is
    /// generated at startup, so that cursors become invalid when the process exits.
    #[serde(default)]
    pub cursor_keys: Option<PathBuf>,
    /// The lifetime of a cursor, in seconds.
    #[serde(rename = "cursor_life_s", default = "default_cursor_lifetime_s")]
    pub cursor_lifetime_s: u64,
    /// The data sets that the frontend serves, each with a unique id.
    pub sets: Vec<SetConfig>,
}

/// A data set.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetConfig {
    /// The id, used as a segment of request paths.
    pub id: String,
    /// The title shown to clients, in plain text.
    pub title: String,
    /// The name of the class of the set's queries.
    pub class: String,
    /// The measures of the set, at least one, each with a unique name.
    pub measures: Vec<MeasureConfig>,
}

/// A numeric value of a data set that can be ranked and summed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureConfig {
    /// The name, unique within its set and not empty.
    pub name: String,
    /// The number of decimal places, 0 to 18.
    #[serde(default)]
    pub scale: u8,
}

impl DeskConfig {
    /// Validates the section and returns the class of each set.
    ///
    /// # Errors
    /// The settings define no shards, the cursor lifetime is 0, or a set is invalid. The error contains the set's id.
    pub fn check(&self, deployment: &Deployment) -> Result<Vec<ClassId>, AggregationConfigError> {
        if deployment.shards == 0 {
            return Err(AggregationConfigError::NoShards);
        }
        if self.cursor_lifetime_s == 0 {
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

    /// The keys that authenticate cursors, read from the file or generated.
    ///
    /// # Errors
    /// The file is unreadable, accessible to others, or has no valid keys. The error contains its path.
    pub fn keys(&self) -> Result<CursorKeys, SecretError> {
        read_cursor_keys(self.cursor_keys.as_deref())
    }
}

impl SetConfig {
    /// Validates the set and returns its class.
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
