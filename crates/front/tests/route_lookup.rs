//! Looks up routes by host and longest prefix.

use fleet::{FleetLayout, RouteEntry, RouteKind, ServiceWeight};

#[test]
fn longest_prefix() {
    let route =
        |name: &str, prefix: &str| RouteEntry::new(name, "a.example", prefix, RouteKind::Safe);
    let layout = FleetLayout::builder(1)
        .route(route("short", "/x/"))
        .route(route("long", "/x/y/"))
        .route(RouteEntry::new("other", "b.example", "/x/", RouteKind::Safe))
        .build();
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/", Some("long")),
        ("a.example", "/x/y", Some("short")),
        ("A.Example", "/x/y/z/", Some("long")),
        ("b.example", "/x/y/z", Some("other")),
        ("a.example", "/x", None),
        ("a.example", "/X/1", None),
        ("c.example", "/x/1", None),
        ("a.example", "", None),
    ];
    for (host, path, expected) in cases {
        let found = layout.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn split_traffic() {
    let mut route = RouteEntry::new("r", "a.example", "/", RouteKind::Safe);
    let weight = |name: &str, weight| ServiceWeight { service: name.parse().unwrap(), weight };
    route.services = vec![weight("most", 90), weight("some", 10), weight("none", 0)];
    let count = |name: &str| {
        (0..1_000u64).filter(|draw| route.choose_service(*draw).unwrap().as_str() == name).count()
    };
    assert_eq!((count("most"), count("some"), count("none")), (900, 100, 0));
}
