//! Routing: maps the path and query string of a request to a resource.

use std::collections::BTreeSet;

use curlewdeck_merge::cursor::RangeProgress;

use super::filter::{ItemsFilter, PageStart};
use super::FeaturesFrontend;
use crate::frontend::http_server::Reply;
use crate::frontend::problem::{problem, unix_now};
use crate::net::features::Cursor;
use crate::net::http::{self, Request};

const MAX_FEATURE_ID_BYTES: usize = 256;

/// The resource that a request addresses. A collection is identified by its index in the configuration.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Resource {
    Landing,
    Api,
    Conformance,
    Collections,
    Collection(usize),
    Items(usize, ItemsFilter),
    Item(usize, String),
}

impl FeaturesFrontend {
    /// Routes a request to its resource, or returns the reply to an invalid request.
    pub(super) fn resource(&self, request: &Request) -> Result<Resource, Reply> {
        let path = http::decode(&request.path, false).ok_or_else(|| problem(400, "the path is malformed"))?;
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let resource = match segments[..] {
            [""] => Resource::Landing,
            ["api"] => Resource::Api,
            ["conformance"] => Resource::Conformance,
            ["collections"] => Resource::Collections,
            ["collections", id] => Resource::Collection(self.collection_index(id)?),
            ["collections", id, "items"] => {
                let collection = self.collection_index(id)?;
                return Ok(Resource::Items(collection, self.filter(collection, &request.query_string)?));
            }
            ["collections", id, "items", feature]
                if !feature.is_empty() && feature.len() <= MAX_FEATURE_ID_BYTES =>
            {
                Resource::Item(self.collection_index(id)?, feature.to_string())
            }
            _ => return Err(problem(404, "there is no such resource")),
        };
        if !request.query_string.is_empty() {
            return Err(problem(400, "this resource takes no parameters"));
        }
        Ok(resource)
    }

    fn collection_index(&self, id: &str) -> Result<usize, Reply> {
        let index = self.collections.iter().position(|(collection, _)| collection.id == id);
        index.ok_or_else(|| problem(404, "there is no such collection"))
    }

    /// Parses the filter in a query string.
    fn filter(&self, collection: usize, query: &str) -> Result<ItemsFilter, Reply> {
        let mut filter = ItemsFilter::new(self.first_page());
        let mut cursor = None;
        let mut seen = BTreeSet::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value =
                http::decode(value, true).ok_or_else(|| problem(400, "the query string is malformed"))?;
            if !seen.insert(name) {
                return Err(problem(400, "a parameter is given twice"));
            }
            match name {
                "cursor" => cursor = Some(value),
                _ => filter
                    .set(name, value, self.limits.max_page_features)
                    .map_err(|error| problem(400, &error.to_string()))?,
            }
        }
        if let Some(text) = cursor {
            filter.start = self.page_start(collection, &filter, text)?;
        }
        Ok(filter)
    }

    /// The start of the first page.
    fn first_page(&self) -> PageStart {
        match &self.cursor_config {
            Some(_) => PageStart::Ids(vec![RangeProgress::default(); self.ranges as usize], None),
            None => PageStart::Offset(Cursor::START),
        }
    }

    /// The start of the page at a cursor. A signed cursor is valid only for its collection and filter.
    fn page_start(&self, collection: usize, filter: &ItemsFilter, text: String) -> Result<PageStart, Reply> {
        let Some(cursor_config) = &self.cursor_config else {
            let cursor = Cursor::parse(&text).filter(|cursor| cursor.range.0 < self.ranges);
            let cursor = cursor.ok_or_else(|| problem(400, "cursor: follow the next link"))?;
            return Ok(PageStart::Offset(cursor));
        };
        let digest = filter.digest(&self.collections[collection].0.id);
        match cursor_config.keys.verify(&text, &digest, self.ranges as usize, unix_now()) {
            Ok(cursor) => Ok(PageStart::Ids(cursor.ranges, Some(text))),
            Err(error) => Err(problem(400, &format!("cursor: {error}"))),
        }
    }
}
