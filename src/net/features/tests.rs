use proptest::prelude::*;

use super::*;

#[test]
fn the_request_of_a_range_contains_the_range_and_its_offset() {
    let text = "/collections/plazas/items?bbox=1,2,3,4&limit=10&cursor=5.20";
    let names = ParameterNames { range: "tag range".into(), after: Some("behind".into()) };
    let query = |range| RangeQuery::new(text, ShardId(range), &names).unwrap();
    assert_eq!(query(5).target, "/collections/plazas/items?bbox=1,2,3,4&tag%20range=5&limit=10&offset=20");
    assert_eq!(query(6).target, "/collections/plazas/items?bbox=1,2,3,4&tag%20range=6&limit=10");
    assert_eq!(query(6).limit, Some(10));
    let one = RangeQuery::new("/collections/plazas/items/a", ShardId(1), &names).unwrap();
    assert_eq!((one.target.as_str(), one.limit), ("/collections/plazas/items/a", None));
    assert_eq!(RangeQuery::new("/x?limit=ten", ShardId(1), &names), None);
    let behind = RangeQuery::new("/x?limit=2&after=a%20b", ShardId(1), &names).unwrap();
    assert_eq!(behind.target, "/x?behind=a%20b&tag%20range=1&limit=2");
    assert_eq!(RangeQuery::new("/x?limit=2&after=a", ShardId(1), &ParameterNames::default()), None);
}

/// A server's next link must not redirect the fetch to another host, or insert another request.
#[test]
fn next_links_are_requested_from_the_same_server() {
    let page = |href: &str| {
        let body = format!(
            r#"{{"type":"FeatureCollection","features":[],"links":[{{"rel":"next","href":{href:?}}}]}}"#
        );
        parse_page(&body).map(|p| p.next.unwrap())
    };
    assert_eq!(page("http://other.example/a?offset=2").as_deref(), Ok("/a?offset=2"));
    assert_eq!(page("/a?offset=2").as_deref(), Ok("/a?offset=2"));
    for bad in ["a?offset=2", "http://other.example", "/a b", "/a\r\nHost: x"] {
        assert!(page(bad).is_err(), "{bad}");
    }
}

#[test]
fn features_are_preserved_byte_for_byte() {
    let body = r#"{"type":"FeatureCollection","features":[{"type": "Feature","id":1.0}]}"#;
    let page = parse_page(body).unwrap();
    assert_eq!(encode_features(&page.features), r#"[{"type": "Feature","id":1.0}]"#);
    assert_eq!(parse_features(&encode_features(&page.features)).unwrap().len(), 1);
    assert_eq!(parse_features(r#"{"type":"Feature","id":2}"#).unwrap().len(), 1);
    assert!(parse_features("5be2a07c").is_err());
    assert!(parse_page(r#"{"type":"Feature"#).is_err());
}

proptest! {
    /// No text from a feature server causes a panic.
    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,80}") {
        let _ = (parse_page(&text), parse_features(&text), Cursor::parse(&text));
        let _ = RangeQuery::new(&text, ShardId(0), &ParameterNames::default());
    }
}
