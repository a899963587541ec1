use rstest::rstest;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::serving::RouteKind;
use snipespan_core::gateway::serving::ServingConfiguration;

use crate::kit;
use crate::kit::Kit;

#[rstest]
#[case::longest_prefix("/a/b/c", Some("route-a-b-"))]
#[case::shorter_prefix("/a/x", Some("route-a-"))]
#[case::prefix_without_slash("/a", None)]
#[case::other_path("/b/", None)]
fn find_route_case(#[case] path: &str, #[case] name: Option<&str>) {
    let routes =
        vec![kit::route("/a/", RouteKind::Safe, 0), kit::route("/a/b/", RouteKind::Safe, 0)];
    let serving = kit::serving_with(1, routes);
    let found = serving.find_route("shop.example", path).and_then(|index| serving.route(index));
    assert_eq!(found.map(|route| route.name.as_str()), name);
}

#[rstest]
#[case::port("shop.example:8080", true)]
#[case::capitals("Shop.Example", true)]
#[case::another("shop.example.org", false)]
fn find_route_host(#[case] host: &str, #[case] is_found: bool) {
    assert_eq!(kit::serving(1).find_route(host, "/look/1").is_some(), is_found);
}

#[test]
fn serving_never_reverts() {
    let mut kit = Kit::new(1);
    for version in [9, 4] {
        let serving = Box::new(kit::serving(version));
        kit.step(vec![Event::ServingReceived { serving, is_from_store: true }]);
    }
    assert_eq!(kit.world.serving.as_ref().map(ServingConfiguration::version), Some(9.into()));
}
