//! Requests for a single feature.

use super::pages::RangeFeatures;
use super::query::{QueryParts, Requester};
use super::{read_features, FeaturesFrontend, GEOJSON, JSON};
use crate::engine::{QueryOutcome, RejectReason};
use crate::frontend::http_server::{Answer, Reply, Served};
use crate::frontend::problem::{problem, unanswered_reply};
use crate::net::http;

impl FeaturesFrontend {
    /// Queries all ranges for the feature of this id, and answers with it.
    pub(super) fn item(&self, base: String, collection: usize, id: &str, answer: Answer) -> Served {
        let collection_path = format!("/collections/{}", self.collections[collection].0.id);
        let path = format!("{collection_path}/items/{}", http::encode(id));
        let parts = QueryParts::new(path.clone());
        let queue_full_retry_after = self.core.queue_full_retry_after();
        let requester = Requester::of(&answer);
        let reply = Box::new(move |ended| {
            answer.send(match unanswered_reply(&ended, queue_full_retry_after) {
                Some(reply) => reply,
                None => item_reply(&base, &path, &collection_path, ended),
            });
        });
        self.submit(collection, parts, requester, reply)
    }
}

fn item_reply(
    base: &str,
    path: &str,
    collection_path: &str,
    ended: Result<QueryOutcome, RejectReason>,
) -> Reply {
    let Ok(QueryOutcome::Answered { complete, rows, .. }) = ended else {
        return problem(500, "there is no answer");
    };
    let values: Vec<Option<RangeFeatures>> = rows.iter().map(read_features).collect();
    let is_complete = complete && values.iter().all(Option::is_some);
    let Some(feature) = values.iter().flatten().find_map(|(_, features)| features.first()) else {
        if is_complete {
            return problem(404, "there is no such feature");
        }
        return problem(504, "not all tag ranges answered, and the others have no such feature");
    };
    let links = format!(
        "<{base}{path}>; rel=\"self\"; type=\"{GEOJSON}\", <{base}{collection_path}>; rel=\"collection\"; type=\"{JSON}\""
    );
    let body = feature.get().as_bytes().to_vec();
    Reply { status: 200, content_type: GEOJSON, extra_headers: String::new(), body }
        .with_header("Link", &links)
}
