//! Urgency at the engines, where requests of one tier compete for slots and memory.

use {
    relay::{CallerLimits, Config, ConfigDoc, Org, Route, RouteKind, Urgency},
    std::{collections::BTreeMap, time::Duration},
    types::{Tier, Version},
};

fn route(id: &str, tier: u8) -> Route {
    Route {
        id: id.parse().unwrap(),
        host: "h".into(),
        prefix: format!("/{id}/").into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(8),
        target: Duration::from_millis(400),
        pause: None,
        tier: Tier(tier),
        split: Vec::new(),
        attempts: 1,
        open: false,
    }
}

fn config(routes: &[Route], org_tier: Option<u8>) -> Config {
    let org = Org {
        id: "acme".parse().unwrap(),
        tier: org_tier.map(Tier),
        keys: vec!["secret".into()],
    };
    Config::new(ConfigDoc {
        version: Version(1),
        routes: routes.to_vec(),
        services: BTreeMap::new(),
        orgs: Some(vec![org]),
        limits: CallerLimits::default(),
    })
}

/// A burst fills the engines with memos and digests of organisations of one tier. Before, all had
/// the same urgency, and an engine that ran out of room preempted the newest, mostly memos.
#[test]
fn route_tier_decides_among_organisations_of_one_tier() {
    let (memo, digest) = (route("memo", 0), route("digest", 1));
    let config = config(&[memo.clone(), digest.clone()], Some(1));
    assert!(config.urgency(Tier(1), &memo) < config.urgency(Tier(1), &digest));
}

#[test]
fn tier_of_the_organisation_takes_precedence() {
    let routes = [route("memo", 0), route("digest", 1), route("bulk", 2)];
    let config = config(&routes, Some(2));
    assert_eq!(config.urgency(Tier(0), &routes[0]), Urgency(0));
    for (more, less) in [(0, 1), (1, 2)] {
        assert!(config.urgency(Tier(more), &routes[2]) < config.urgency(Tier(less), &routes[0]));
    }
}

#[test]
fn many_tiers_use_the_levels_of_the_engine_for_themselves() {
    let routes = [route("memo", 0), route("digest", 1)];
    let config = config(&routes, Some(6));
    let urgencies: Vec<_> = (0..7)
        .map(|t| config.urgency(Tier(t), &routes[1]))
        .collect();
    assert_eq!(urgencies, (0..7).map(Urgency).collect::<Vec<_>>());
}
