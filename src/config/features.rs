//! The section `[ogc]`: the frontend for OGC API - Features.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use super::secrets::default_cursor_lifetime_s;
use super::FeaturesConfigError;
use crate::api::ClassId;
use crate::net::http;
use crate::settings::Deployment;

/// The features frontend's configuration. Error messages about a malformed section contain this type's name.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OgcConfig {
    /// The TCP address on which the frontend accepts HTTP clients.
    pub listen: SocketAddr,
    /// The base URL of links in responses. `None` means `http://` and the request's host.
    #[serde(default)]
    pub base: Option<String>,
    /// Whether the next page starts after the last id of the current one, in the byte order of ids. The data nodes must
    /// return features in that order.
    #[serde(default)]
    pub by_id: bool,
    /// The file with the keys that authenticate the cursors of pages by id. New cursors use the first key. `None` means
    /// that a key is generated at startup, so that cursors become invalid when the process exits.
    #[serde(default)]
    pub cursor_keys: Option<PathBuf>,
    /// The lifetime of a cursor, in seconds.
    #[serde(rename = "cursor_life_s", default = "default_cursor_lifetime_s")]
    pub cursor_lifetime_s: u64,
    /// The collections that the frontend serves, each with a unique id.
    pub collections: Vec<CollectionConfig>,
}

/// A collection of features.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CollectionConfig {
    /// The id, used as a segment of request paths.
    pub id: String,
    /// The title shown to clients, in plain text.
    pub title: String,
    /// A description for clients; empty if not configured.
    #[serde(default)]
    pub description: String,
    /// The name of the class of the collection's queries.
    pub class: String,
    /// The bounding box of the features: west, south, east, north.
    #[serde(default)]
    pub bbox: Option<[f64; 4]>,
}

impl OgcConfig {
    /// Validates the section and returns the collections with their classes.
    ///
    /// # Errors
    /// Two collections have the same id, the settings define no shards, an id is not a valid path segment, or a class
    /// is unknown or has a second phase.
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
