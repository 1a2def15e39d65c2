//! The aggregation frontend: rankings, sums and listings over all tag ranges, merged into one answer that states its
//! coverage. The API uses HTTP/1.1 and JSON and is defined in `docs/desk-openapi.json`.
//!
//! Each request becomes one query with a part for each range. Each part has its own text. Values are checked on arrival
//! by [`curlewdeck_merge::merger::QueryMerger::accept_value`]. An invalid value ends its attempt as one that may have
//! been executed, and the engine retries at another data node.

mod query;
mod range_cache;
mod response;
mod wire;

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use curlewdeck_merge::cursor::CursorKeys;
use serde_json::{json, Value as Json};

use crate::api::ClassId;
use crate::config::{AggregationConfig, AggregationConfigError, SetConfig};
use crate::counters::Counters;
use crate::frontend::http_server::{Answer, Frontend, Reply, Served};
use crate::frontend::problem::problem;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{self, BadMessage, Request};
use query::AggregationQuery;

pub use range_cache::SharedRangeCache;

const JSON: &str = "application/json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.1";
const OPENAPI_PATH: &str = "/openapi.json";
/// The published OpenAPI definition of the API.
pub const OPENAPI_TEXT: &str = include_str!("../../../docs/desk-openapi.json");

/// The upper half of the number in a query name: the seed of the process. The lower half is a counter.
const NAME_SEED_MASK: u64 = 0xffff_ffff_0000_0000;

/// The frontend for queries over aggregated sets.
pub struct AggregationFrontend {
    core: CoreHandle,
    limits: Arc<Limits>,
    range_cache: SharedRangeCache,
    /// The keys that sign and verify cursors.
    cursor_keys: CursorKeys,
    cursor_lifetime_s: u64,
    sets: Vec<(SetConfig, ClassId)>,
    /// The number in the name of the next query.
    next_query: AtomicU64,
}

/// The resource that a request addresses.
enum Resource {
    Sets,
    OpenApi,
    Query(AggregationQuery),
}

impl AggregationFrontend {
    /// Creates the frontend for the configured sets. Query names begin with the upper half of `seed`.
    ///
    /// # Errors
    /// Returns the errors of [`AggregationConfig::check`] and [`AggregationConfig::keys`].
    pub fn new(
        config: &AggregationConfig,
        core: CoreHandle,
        limits: Arc<Limits>,
        range_cache: SharedRangeCache,
        seed: u64,
    ) -> Result<Self, AggregationConfigError> {
        let classes = config.check(&core.deployment())?;
        Ok(Self {
            core,
            limits,
            range_cache,
            cursor_keys: config.keys()?,
            cursor_lifetime_s: config.cursor_lifetime_s,
            sets: config.sets.iter().cloned().zip(classes).collect(),
            next_query: AtomicU64::new(seed & NAME_SEED_MASK),
        })
    }

    /// Routes a request to its resource, or returns the reply to an invalid request.
    fn resource(&self, request: &Request) -> Result<Resource, Reply> {
        let path = http::decode(&request.path, false).ok_or_else(|| problem(400, "the path is malformed"))?;
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method.as_str();
        match segments[..] {
            ["v1", "sets", id, "query"] => {
                let set = self.sets.iter().find(|(set, _)| set.id == id);
                let set = set.ok_or_else(|| problem(404, "there is no such set"))?;
                if method != "POST" {
                    return Err(problem(405, "queries are sent by POST").with_header("Allow", "POST"));
                }
                self.query(set, &request.body).map(Resource::Query)
            }
            ["v1", "sets"] | ["openapi.json"] if method != "GET" && method != "HEAD" => {
                Err(problem(405, "this is read by GET").with_header("Allow", "GET, HEAD"))
            }
            ["openapi.json"] if request.path == OPENAPI_PATH => Ok(Resource::OpenApi),
            ["v1", "sets"] | ["openapi.json"] => Ok(Resource::Sets),
            _ => Err(problem(404, "there is no such resource")),
        }
    }

    /// The body of the list of sets.
    fn sets(&self) -> Json {
        let sets: Vec<Json> = self.sets.iter().map(|(set, class)| self.set(set, *class)).collect();
        json!({"sets": sets, "ranges": self.core.deployment().shards})
    }

    fn set(&self, set: &SetConfig, class: ClassId) -> Json {
        let deployment = self.core.deployment();
        let min_coverage = deployment.settings.classes[deployment.current_class(class).0].min_coverage;
        let measures: Vec<Json> = set
            .measures
            .iter()
            .map(|measure| json!({"name": measure.name, "scale": measure.scale}))
            .collect();
        json!({
            "id": set.id, "title": set.title, "class": set.class, "leastShare": min_coverage, "measures": measures
        })
    }
}

impl Frontend for AggregationFrontend {
    fn serve(&self, request: Request, answer: Answer) -> Served {
        Counters::add(&self.core.counters.aggregation_requests);
        let reply = match self.resource(&request) {
            Ok(Resource::Query(query)) => return self.submit(query, answer),
            Ok(Resource::OpenApi) => document(OPENAPI, OPENAPI_TEXT.as_bytes().to_vec()),
            Ok(Resource::Sets) => document(JSON, self.sets().to_string().into_bytes()),
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

fn document(content_type: &'static str, body: Vec<u8>) -> Reply {
    Reply { status: 200, content_type, extra_headers: String::new(), body }
}
