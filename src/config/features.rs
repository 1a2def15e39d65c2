//! The section `[ogc]`: the frontend of OGC API - Features.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use super::secrets::default_cursor_lifetime_s;
use super::FeaturesConfigError;
use crate::api::ClassId;
use crate::net::http;
use crate::settings::Deployment;

/// What the edge's file says of the features frontend. Messages on a malformed section name this type.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OgcConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What the pages' links begin with; `http://` and the request's host where it is not given.
    #[serde(default)]
    pub base: Option<String>,
    /// Whether pages go on behind the id that was given last, in the order of the ids' bytes: the data nodes must give
    /// features in that order.
    #[serde(default)]
    pub by_id: bool,
    /// The file of the keys that seal the cursors of such pages, the first one for new ones; without it a key is
    /// generated at the start, and cursors end with the process.
    #[serde(default)]
    pub cursor_keys: Option<PathBuf>,
    /// The lifetime of such a cursor, in seconds.
    #[serde(default = "default_cursor_lifetime_s")]
    pub cursor_life_s: u64,
    /// The collections.
    pub collections: Vec<CollectionConfig>,
}

/// One collection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CollectionConfig {
    /// Its id, as paths name it.
    pub id: String,
    /// Its title.
    pub title: String,
    /// What it holds.
    #[serde(default)]
    pub description: String,
    /// The class of its queries.
    pub class: String,
    /// Where its features lie: west, south, east, north.
    #[serde(default)]
    pub bbox: Option<[f64; 4]>,
}

impl OgcConfig {
    /// The collections with their classes.
    ///
    /// # Errors
    /// A collection's class is not in the settings, or has a second phase; or an id cannot stand in a path.
    pub fn check(
        &self,
        deployment: &Deployment,
    ) -> Result<Vec<(CollectionConfig, ClassId)>, FeaturesConfigError> {
        let ids: BTreeSet<&str> = self.collections.iter().map(|c| c.id.as_str()).collect();
        if ids.len() != self.collections.len() || deployment.shards == 0 {
            return Err(FeaturesConfigError::AmbiguousCollections);
        }
        self.collections.iter().map(|c| Ok((c.clone(), c.class_in(deployment)?))).collect()
    }
}

impl CollectionConfig {
    fn class_in(&self, deployment: &Deployment) -> Result<ClassId, FeaturesConfigError> {
        let id = &self.id;
        if id.is_empty() || http::encode(id) != *id || id.contains(',') {
            return Err(FeaturesConfigError::InvalidCollectionId(id.clone()));
        }
        let (collection, name) = (id.clone(), self.class.clone());
        let Some(class) = deployment.class_named(&self.class) else {
            return Err(FeaturesConfigError::UnknownClass { collection, class: name });
        };
        if deployment.settings.classes[class.0].second_phase_parts > 0 {
            return Err(FeaturesConfigError::TwoPhaseClass { collection, class: name });
        }
        Ok(class)
    }
}
