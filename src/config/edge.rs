//! The edge file, in which an operator enables features beyond the platform's protocol. A feature without a section is
//! disabled.

use std::path::Path;

use serde::Deserialize;

use super::secrets::read_cursor_keys;
use super::{
    AggregationConfig, AggregationConfigError, EdgeError, FeaturesConfig, FeaturesConfigError, SnmpConfig,
};
use crate::replication::config::GroupConfig;
use crate::settings::Deployment;
use crate::snapshot_store::StateConfig;

/// The protocol between the coordinator and the data nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeProtocol {
    /// The platform's length-prefixed frames.
    #[default]
    Frames,
    /// OGC API - Features over HTTP: the data nodes are feature servers.
    Features,
}

/// The contents of the edge file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename = "Edge", expecting = "struct Edge")]
pub struct EdgeConfig {
    /// The section `[nodes]`: the protocol of the data nodes.
    #[serde(default)]
    pub nodes: Nodes,
    /// The section `[ogc]`: the frontend for feature queries.
    #[serde(rename = "ogc")]
    pub features: Option<FeaturesConfig>,
    /// The section `[desk]`: the frontend for aggregations.
    #[serde(rename = "desk")]
    pub aggregation: Option<AggregationConfig>,
    /// The section `[state]`: the folder of state that is kept across restarts.
    pub state: Option<StateConfig>,
    /// The section `[snmp]`: the management agent.
    pub snmp: Option<SnmpConfig>,
    /// The section `[group]`: the replication group that this coordinator is a member of.
    pub group: Option<GroupConfig>,
}

/// The section `[nodes]`. Error messages about a malformed section contain this type's name.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// The protocol of all data nodes; frames by default.
    #[serde(default)]
    pub protocol: NodeProtocol,
    /// The query parameter in which feature servers expect a tag range.
    #[serde(default = "default_range_parameter")]
    pub range_parameter: String,
    /// The query parameter that makes feature servers return features in the order of their ids, starting after the
    /// given id. `None` if they have no such parameter.
    #[serde(default)]
    pub after_parameter: Option<String>,
}

impl Default for Nodes {
    fn default() -> Self {
        Self {
            protocol: NodeProtocol::default(),
            range_parameter: default_range_parameter(),
            after_parameter: None,
        }
    }
}

fn default_range_parameter() -> String {
    "tag_range".to_string()
}

impl EdgeConfig {
    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file is unreadable or malformed. The error contains its path.
    pub fn load(path: &Path) -> Result<Self, EdgeError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| EdgeError::Unreadable { path: path.to_path_buf(), source })?;
        Self::read(&text)
            .map_err(|error| EdgeError::InFile { path: path.to_path_buf(), source: Box::new(error) })
    }

    /// Parses the file's text.
    ///
    /// # Errors
    /// The text is not TOML, or a key is missing, unknown or of the wrong type.
    pub fn read(text: &str) -> Result<Self, EdgeError> {
        toml::from_str(text).map_err(EdgeError::Malformed)
    }

    /// Validates all sections with these settings, including the files that they refer to.
    ///
    /// # Errors
    /// A section is invalid. The error contains its name and the reason.
    pub fn check(&self, deployment: &Deployment) -> Result<(), EdgeError> {
        self.check_settings(deployment)?;
        self.check_features()?;
        self.check_aggregation()?;
        self.check_state()?;
        self.check_group()?;
        self.check_snmp()
    }

    /// Validates the frontends' sections with these settings. Reads no files: a reload keeps what the frontends read at
    /// startup.
    ///
    /// # Errors
    /// A section is invalid. The error contains its name and the reason.
    pub fn check_settings(&self, deployment: &Deployment) -> Result<(), EdgeError> {
        if let Some(features) = &self.features {
            features.check(deployment)?;
        }
        if let Some(aggregation) = &self.aggregation {
            aggregation.check(deployment)?;
        }
        Ok(())
    }

    fn check_features(&self) -> Result<(), FeaturesConfigError> {
        let Some(features) = self.features.as_ref().filter(|features| features.by_id) else { return Ok(()) };
        if self.has_feature_servers() && self.nodes.after_parameter.is_none() {
            return Err(FeaturesConfigError::NoAfterParameter);
        }
        read_cursor_keys(features.cursor_keys.as_deref())?;
        Ok(())
    }

    fn check_aggregation(&self) -> Result<(), AggregationConfigError> {
        let Some(aggregation) = &self.aggregation else { return Ok(()) };
        if self.has_feature_servers() {
            return Err(AggregationConfigError::FeatureServers);
        }
        aggregation.keys()?;
        Ok(())
    }

    fn has_feature_servers(&self) -> bool {
        self.nodes.protocol == NodeProtocol::Features
    }

    fn check_state(&self) -> Result<(), EdgeError> {
        let Some(state) = &self.state else { return Ok(()) };
        if !state.folder.is_dir() || state.write_interval_s == 0 {
            return Err(EdgeError::State { folder: state.folder.clone() });
        }
        if state.replicated && self.group.is_none() {
            return Err(EdgeError::NoReplicationGroup);
        }
        Ok(())
    }

    fn check_group(&self) -> Result<(), EdgeError> {
        let Some(group) = &self.group else { return Ok(()) };
        Ok(group.check()?)
    }

    fn check_snmp(&self) -> Result<(), EdgeError> {
        let Some(snmp) = &self.snmp else { return Ok(()) };
        Ok(snmp.check()?)
    }
}
