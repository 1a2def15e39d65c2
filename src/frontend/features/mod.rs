//! The frontend of OGC API - Features: answers feature queries with GeoJSON.
//!
//! Each request for features becomes one query with a part for each tag range, and its answer is one page. Pages follow
//! the order of the ranges, or the order of feature ids if the data nodes return features in that order: see [`pages`].
//! If a class allows partial answers, `missingRanges` lists the ranges that did not answer, and `complete` is false.

mod documents;
mod filter;
mod item;
mod items;
pub mod pages;
mod query;
mod resource;

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use curlewdeck_merge::cursor::{Cursor as MergeCursor, CursorKeys, RangeProgress};
use serde_json::{json, Value as Json};

use crate::api::{ClassId, ShardId};
use crate::config::{read_cursor_keys, CollectionConfig, FeaturesConfig, FeaturesConfigError};
use crate::counters::Counters;
use crate::engine::Row;
use crate::frontend::http_server::{Answer, Frontend, Reply, Served};
use crate::frontend::problem::{problem, unix_now};
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::features;
use crate::net::http::{BadMessage, Request};
use pages::RangeFeatures;
use resource::Resource;

const GEOJSON: &str = "application/geo+json";
const JSON: &str = "application/json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";

/// The upper half of a query name: the seed of the process. The lower half is a counter.
const NAME_SEED_MASK: u64 = 0xffff_ffff_0000_0000;

/// The frontend for requests over the feature collections.
pub struct FeaturesFrontend {
    core: CoreHandle,
    limits: Arc<Limits>,
    /// The configured base URL of links. `None` derives it from the `Host` header of each request.
    base: Option<String>,
    collections: Vec<(CollectionConfig, ClassId)>,
    /// The number of tag ranges.
    ranges: u32,
    /// Signs the cursors of pages in the order of ids. `None` if pages continue at offsets.
    cursor_config: Option<CursorConfig>,
    /// The number in the name of the next query.
    next_query: AtomicU64,
}

/// The keys that sign the cursors of pages in the order of ids, and the lifetime of the cursors.
#[derive(Clone)]
struct CursorConfig {
    keys: Arc<CursorKeys>,
    lifetime_s: u64,
}

/// Signs the cursors of one query.
struct CursorSigner {
    cursor_config: CursorConfig,
    /// The digest of the query that the cursor is bound to.
    digest: [u8; 16],
}

impl CursorSigner {
    fn sign(&self, ranges: Vec<RangeProgress>) -> String {
        let expires_at = unix_now().saturating_add(self.cursor_config.lifetime_s);
        self.cursor_config.keys.sign(&MergeCursor { query: self.digest, expires_at, ranges })
    }
}

impl FeaturesFrontend {
    /// Creates the frontend for the configured collections. Query names begin with the upper half of `seed`.
    ///
    /// # Errors
    /// Returns the errors of [`FeaturesConfig::check`] and of reading the cursor keys.
    pub fn new(
        config: &FeaturesConfig,
        core: CoreHandle,
        limits: Arc<Limits>,
        seed: u64,
    ) -> Result<Self, FeaturesConfigError> {
        let deployment = core.deployment();
        let collections = config.check(&deployment)?;
        Ok(Self {
            ranges: deployment.shards,
            cursor_config: cursor_config(config)?,
            base: config.base.as_ref().map(|base| base.trim_end_matches('/').to_string()),
            collections,
            next_query: AtomicU64::new(seed & NAME_SEED_MASK),
            core,
            limits,
        })
    }

    /// Returns the base URL of links in the answer to a request.
    fn base(&self, request: &Request) -> String {
        let host = || format!("http://{}", request.headers.get("host").unwrap_or("localhost"));
        self.base.clone().unwrap_or_else(host)
    }
}

fn cursor_config(config: &FeaturesConfig) -> Result<Option<CursorConfig>, FeaturesConfigError> {
    if !config.by_id {
        return Ok(None);
    }
    let keys = Arc::new(read_cursor_keys(config.cursor_keys.as_deref())?);
    Ok(Some(CursorConfig { keys, lifetime_s: config.cursor_lifetime_s }))
}

impl Frontend for FeaturesFrontend {
    fn serve(&self, request: Request, answer: Answer) -> Served {
        Counters::add(&self.core.counters.features_requests);
        let resource = match request.method.as_str() {
            "GET" | "HEAD" => self.resource(&request),
            _ => Err(problem(405, "features are read by GET").with_header("Allow", "GET, HEAD")),
        };
        let base = self.base(&request);
        let reply = match resource {
            Ok(Resource::Items(collection, filter)) => return self.items(base, collection, filter, answer),
            Ok(Resource::Item(collection, id)) => return self.item(base, collection, &id, answer),
            Ok(Resource::Landing) => document(JSON, &documents::landing(&base)),
            Ok(Resource::Api) => document(OPENAPI, &self.api(&base)),
            Ok(Resource::Conformance) => document(JSON, &json!({"conformsTo": documents::CONFORMANCE})),
            Ok(Resource::Collections) => document(JSON, &self.collections(&base)),
            Ok(Resource::Collection(collection)) => document(JSON, &self.collection(&base, collection)),
            Err(reply) => {
                Counters::add(&self.core.counters.bad_requests);
                reply
            }
        };
        answer.send(reply);
        Served::Answered
    }

    fn reject_malformed(&self, bad: BadMessage) -> Reply {
        problem(bad.status, bad.reason)
    }
}

fn document(content_type: &'static str, body: &Json) -> Reply {
    Reply { status: 200, content_type, extra_headers: String::new(), body: body.to_string().into_bytes() }
}

/// Parses the features in the value of a range. Logs a malformed value and returns `None`.
fn read_features(row: &Row) -> Option<RangeFeatures> {
    match features::parse_features(&row.data) {
        Ok(features) => Some((row.shard, features)),
        Err(reason) => {
            log_malformed(row.shard, reason);
            None
        }
    }
}

fn log_malformed(range: ShardId, reason: &str) {
    log::warn!(range = range.0, reason = reason; "malformed features");
}

#[cfg(test)]
mod tests;
