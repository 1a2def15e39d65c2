//! The filter of a request for features: its query parameters and the start of its page.

use curlewdeck_merge::cursor::RangeProgress;
use curlewdeck_merge::query::{Op, Order, Query};

use crate::net::features::Cursor;
use crate::net::http;

/// The number of features on a page if the request has no `limit` parameter.
const DEFAULT_PAGE_FEATURES: usize = 10;

/// An invalid parameter, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub(super) struct InvalidParameter(&'static str);

/// Where a page begins.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PageStart {
    /// At an offset in one range, followed by the ranges after it.
    Offset(Cursor),
    /// After an id in each range; with the signed cursor of the request, if it has one.
    Ids(Vec<RangeProgress>, Option<String>),
}

/// The filter of a request for features.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ItemsFilter {
    pub(super) bbox: Option<String>,
    pub(super) datetime: Option<String>,
    pub(super) limit: usize,
    pub(super) start: PageStart,
}

impl ItemsFilter {
    /// Creates a filter without restrictions for the page at `start`.
    pub(super) fn new(start: PageStart) -> Self {
        Self { bbox: None, datetime: None, limit: DEFAULT_PAGE_FEATURES, start }
    }

    /// Validates and sets a parameter other than the cursor. A limit above `max_limit` is lowered to it.
    pub(super) fn set(
        &mut self,
        name: &str,
        value: String,
        max_limit: usize,
    ) -> Result<(), InvalidParameter> {
        match name {
            "bbox" => {
                check_bbox(&value)?;
                self.bbox = Some(value);
            }
            "datetime" => {
                check_datetime(&value)?;
                self.datetime = Some(value);
            }
            "limit" => self.limit = parse_limit(&value)?.min(max_limit),
            _ => return Err(InvalidParameter("a parameter is not known")),
        }
        Ok(())
    }

    /// The digest of the filter and its collection. Signed cursors are bound to it.
    pub(super) fn digest(&self, collection: &str) -> [u8; 16] {
        let named = |name: &str, value: &Option<String>| value.clone().map(|value| (name.to_string(), value));
        let filters = [named("bbox", &self.bbox), named("datetime", &self.datetime)];
        let query = Query {
            set: collection.to_string(),
            op: Op::List,
            measure: "feature".to_string(),
            scale: 0,
            order: Order::Asc,
            grouped: false,
            limit: self.limit,
            filter: filters.into_iter().flatten().collect(),
        };
        query.digest()
    }

    /// The query string without the cursor.
    pub(super) fn query_string(&self) -> String {
        let mut pairs = Vec::new();
        pairs.extend(self.bbox.as_ref().map(|bbox| format!("bbox={}", http::encode(bbox))));
        pairs.extend(self.datetime.as_ref().map(|datetime| format!("datetime={}", http::encode(datetime))));
        pairs.push(format!("limit={}", self.limit));
        pairs.join("&")
    }
}

fn parse_limit(text: &str) -> Result<usize, InvalidParameter> {
    let limit = text.parse().map_err(|_| InvalidParameter("limit: a number is expected"))?;
    if limit == 0 {
        return Err(InvalidParameter("limit: it must be above 0"));
    }
    Ok(limit)
}

/// Checks a bounding box: four numbers, or six with heights. South must not be greater than north.
pub(super) fn check_bbox(text: &str) -> Result<(), InvalidParameter> {
    let numbers: Result<Vec<f64>, _> = text.split(',').map(|number| number.trim().parse::<f64>()).collect();
    let numbers = numbers.map_err(|_| InvalidParameter("bbox: numbers are expected"))?;
    let (south, north) = match numbers[..] {
        [_, south, _, north] | [_, south, _, _, north, _] => (south, north),
        _ => return Err(InvalidParameter("bbox: four or six numbers are expected")),
    };
    if numbers.iter().any(|number| !number.is_finite()) || south > north {
        return Err(InvalidParameter("bbox: finite numbers are expected, south before north"));
    }
    Ok(())
}

/// Checks an instant or an interval. An open end of an interval is `..` or empty; one end must be closed.
pub(super) fn check_datetime(text: &str) -> Result<(), InvalidParameter> {
    const MALFORMED: InvalidParameter =
        InvalidParameter("datetime: an RFC 3339 time or interval is expected");
    let instant = |text: &str| chrono::DateTime::parse_from_rfc3339(text).map_err(|_| MALFORMED);
    let is_open = |text: &str| text.is_empty() || text == "..";
    match text.split_once('/') {
        None => instant(text).map(drop),
        Some((from, to)) if is_open(from) && is_open(to) => Err(MALFORMED),
        Some((from, to)) if is_open(from) => instant(to).map(drop),
        Some((from, to)) if is_open(to) => instant(from).map(drop),
        Some((from, to)) if instant(from)? <= instant(to)? => Ok(()),
        Some(_) => Err(InvalidParameter("datetime: the interval ends before it begins")),
    }
}
