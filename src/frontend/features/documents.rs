//! The documents of the API other than features: landing page, API definition and collections.

use serde_json::{json, Map, Value as Json};

use super::{FeaturesFrontend, GEOJSON, JSON, OPENAPI};
use crate::config::CollectionConfig;

/// The OGC conformance classes that the API implements.
pub(super) const CONFORMANCE: [&str; 2] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";

/// The landing page, with links to the other documents.
pub(super) fn landing(base: &str) -> Json {
    json!({
        "title": "curlewdeck",
        "description": "Feature queries over tag ranges",
        "links": [
            link(base, "/", "self", JSON, "This page"),
            link(base, "/api", "service-desc", OPENAPI, "The API's definition"),
            link(base, "/conformance", "conformance", JSON, "Conformance classes"),
            link(base, "/collections", "data", JSON, "The collections"),
        ],
    })
}

/// A link object. `rel` is the link relation and `media_type` the type of the target.
pub(super) fn link(base: &str, path: &str, rel: &str, media_type: &str, title: &str) -> Json {
    json!({"href": format!("{base}{path}"), "rel": rel, "type": media_type, "title": title})
}

impl FeaturesFrontend {
    /// Describes the collection at `index` of the configured collections.
    pub(super) fn collection(&self, base: &str, index: usize) -> Json {
        let collection = &self.collections[index].0;
        let path = format!("/collections/{}", collection.id);
        let mut body = json!({
            "id": collection.id, "title": collection.title, "description": collection.description,
            "itemType": "feature", "crs": [CRS84],
            "links": [
                link(base, &path, "self", JSON, &collection.title),
                link(base, &format!("{path}/items"), "items", GEOJSON, "Its features"),
            ],
        });
        if let Some(bbox) = collection.bbox {
            body["extent"] = json!({"spatial": {"bbox": [bbox], "crs": CRS84}});
        }
        body
    }

    /// Describes all collections.
    pub(super) fn collections(&self, base: &str) -> Json {
        let all: Vec<Json> = (0..self.collections.len()).map(|index| self.collection(base, index)).collect();
        json!({"links": [link(base, "/collections", "self", JSON, "The collections")], "collections": all})
    }

    /// The OpenAPI definition, with the elements that the Core requirements class demands.
    pub(super) fn api(&self, base: &str) -> Json {
        let mut paths = Map::new();
        paths.insert("/".to_string(), get_operation("Landing page"));
        paths.insert("/conformance".to_string(), get_operation("Conformance classes"));
        paths.insert("/collections".to_string(), get_operation("The collections"));
        for (collection, _) in &self.collections {
            add_collection_paths(&mut paths, collection);
        }
        json!({
            "openapi": "3.0.3",
            "info": {"title": "curlewdeck", "version": env!("CARGO_PKG_VERSION")},
            "servers": [{"url": base}],
            "paths": paths,
        })
    }
}

fn add_collection_paths(paths: &mut Map<String, Json>, collection: &CollectionConfig) {
    let path = format!("/collections/{}", collection.id);
    let mut items = get_operation("Its features");
    items["get"]["parameters"] = json!([
        query_parameter("bbox", "string"),
        query_parameter("datetime", "string"),
        query_parameter("limit", "integer"),
        query_parameter("cursor", "string"),
    ]);
    let mut item = get_operation("One feature");
    item["get"]["parameters"] =
        json!([{"name": "fid", "in": "path", "required": true, "schema": {"type": "string"}}]);
    paths.insert(path.clone(), get_operation(&collection.title));
    paths.insert(format!("{path}/items"), items);
    paths.insert(format!("{path}/items/{{fid}}"), item);
}

fn get_operation(summary: &str) -> Json {
    json!({"get": {"summary": summary, "responses": {"200": {"description": "OK"}}}})
}

fn query_parameter(name: &str, schema_type: &str) -> Json {
    json!({"name": name, "in": "query", "schema": {"type": schema_type}})
}
