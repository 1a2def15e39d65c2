//! Requests for the features of a collection, answered in pages.

use serde_json::value::RawValue;
use serde_json::{json, Value as Json};

use super::documents::link;
use super::filter::{ItemsFilter, PageStart};
use super::pages::{by_id, by_offset, RangeFeatures};
use super::query::{QueryParts, Requester};
use super::{read_features, CursorSigner, FeaturesFrontend, GEOJSON, JSON};
use crate::api::ShardId;
use crate::engine::{QueryOutcome, RejectReason};
use crate::frontend::http_server::{Answer, Reply, Served};
use crate::frontend::problem::{problem, unanswered_reply};
use crate::net::features::Cursor;

impl FeaturesFrontend {
    /// Submits the query for one page of the features that match the filter, and answers with the page.
    pub(super) fn items(
        &self,
        base: String,
        collection: usize,
        filter: ItemsFilter,
        answer: Answer,
    ) -> Served {
        let id = &self.collections[collection].0.id;
        let digest = filter.digest(id);
        let signer = self.cursor_config.clone().map(|cursor_config| CursorSigner { cursor_config, digest });
        let path = format!("/collections/{id}/items");
        let page = ItemsPage { base, path, filter, ranges: self.ranges, signer };
        let parts = page.query_parts();
        let queue_full_retry_after = self.core.queue_full_retry_after();
        let requester = Requester::of(&answer);
        let reply = Box::new(move |ended| {
            answer.send(match unanswered_reply(&ended, queue_full_retry_after) {
                Some(reply) => reply,
                None => page.reply(ended),
            });
        });
        self.submit(collection, parts, requester, reply)
    }
}

/// A requested page of features.
pub(super) struct ItemsPage {
    /// The base URL of links.
    pub(super) base: String,
    /// The path of the collection's items.
    pub(super) path: String,
    pub(super) filter: ItemsFilter,
    /// The number of tag ranges.
    pub(super) ranges: u32,
    /// Signs the cursor of the next page. `None` if pages continue at offsets.
    pub(super) signer: Option<CursorSigner>,
}

/// The features of a page, its cursor and the cursor of the next page. `page_cursor` is `None` for the first page.
struct PageContents<'a> {
    features: Vec<&'a RawValue>,
    page_cursor: Option<String>,
    next_cursor: Option<String>,
}

impl ItemsPage {
    fn query_parts(&self) -> QueryParts {
        match &self.filter.start {
            PageStart::Offset(cursor) => {
                QueryParts::from_range(cursor.range, self.path_at(Some(&cursor.text())))
            }
            PageStart::Ids(progress, _) => {
                QueryParts::by_id(&self.path_at(None), progress, self.filter.limit)
            }
        }
    }

    /// The path and query string of the page at a cursor.
    fn path_at(&self, cursor: Option<&str>) -> String {
        let first_page = format!("{}?{}", self.path, self.filter.query_string());
        match cursor {
            Some(cursor) => format!("{first_page}&cursor={cursor}"),
            None => first_page,
        }
    }

    /// Merges the features of all ranges that answered into a page of at most `limit` features.
    pub(super) fn reply(&self, ended: Result<QueryOutcome, RejectReason>) -> Reply {
        let Ok(QueryOutcome::Answered { complete, rows, .. }) = ended else {
            return problem(500, "there is no answer");
        };
        let mut values: Vec<RangeFeatures> = rows.iter().filter_map(read_features).collect();
        values.sort_by_key(|(range, _)| *range);
        if values.is_empty() {
            return problem(504, "no tag range gave features that can be read");
        }
        let contents = match self.contents(&values) {
            Ok(contents) => contents,
            Err(reply) => return reply,
        };
        let missing = self.missing_ranges(&values);
        // A range with a malformed value is missing, even if the core reports the answer as complete.
        let members = json!({
            "numberReturned": contents.features.len(),
            "timeStamp": chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Millis, true),
            "complete": complete && missing.is_empty(),
            "missingRanges": missing,
            "links": self.links(&contents),
        });
        let body = feature_collection(&contents.features, &members);
        Reply { status: 200, content_type: GEOJSON, extra_headers: String::new(), body }
    }

    /// The ranges of the query without a valid value.
    fn missing_ranges(&self, values: &[RangeFeatures]) -> Vec<u32> {
        let first_range = match &self.filter.start {
            PageStart::Offset(cursor) => cursor.range.0,
            PageStart::Ids(..) => 0,
        };
        let has_value = |range: u32| values.binary_search_by_key(&ShardId(range), |value| value.0).is_ok();
        (first_range..self.ranges).filter(|range| !has_value(*range)).collect()
    }

    fn contents<'a>(&self, values: &'a [RangeFeatures]) -> Result<PageContents<'a>, Reply> {
        match &self.filter.start {
            PageStart::Offset(cursor) => {
                let (features, next) = by_offset(values, *cursor, self.filter.limit);
                let page_cursor = (*cursor != Cursor::START).then(|| cursor.text());
                Ok(PageContents { features, page_cursor, next_cursor: next.map(Cursor::text) })
            }
            PageStart::Ids(progress, page_cursor) => {
                let (features, next) = by_id(values, progress, self.filter.limit)
                    .map_err(|invalid| problem(502, &invalid.to_string()))?;
                let next_cursor = next.zip(self.signer.as_ref()).map(|(ranges, signer)| signer.sign(ranges));
                Ok(PageContents { features, page_cursor: page_cursor.clone(), next_cursor })
            }
        }
    }

    fn links(&self, contents: &PageContents) -> Vec<Json> {
        let base = &self.base;
        let page_path = self.path_at(contents.page_cursor.as_deref());
        let collection_path = self.path.trim_end_matches("/items");
        let mut links = vec![
            link(base, &page_path, "self", GEOJSON, "This page"),
            link(base, collection_path, "collection", JSON, "The collection"),
        ];
        if let Some(cursor) = &contents.next_cursor {
            links.push(link(base, &self.path_at(Some(cursor)), "next", GEOJSON, "The next page"));
        }
        links
    }
}

/// Serializes a GeoJSON feature collection with additional members. The features are copied byte for byte.
fn feature_collection(features: &[&RawValue], members: &Json) -> Vec<u8> {
    let features: Vec<&str> = features.iter().map(|feature| feature.get()).collect();
    let members = members.to_string();
    let body = format!(
        "{{\"type\":\"FeatureCollection\",\"features\":[{}],{}",
        features.join(","),
        members.trim_start_matches('{')
    );
    body.into_bytes()
}
