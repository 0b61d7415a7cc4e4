//! Urgency at the engines, where requests of one tier compete for slots and memory.

mod common;

use {
    common::{FakeEndpoint, Router, RouterSpec, Script, endpoint},
    relay::{
        CallerLimits, Config, ConfigDoc, EngineSpec, FeedChange, Org, Route, RouteKind, Service,
    },
    std::{collections::BTreeMap, io::Write, net::TcpStream, sync::Arc, time::Duration},
    types::{Tier, Tokens, Urgency, Version},
};

fn route(id: &str, tier: u8) -> Route {
    Route {
        id: id.parse().unwrap(),
        host: "h".into(),
        prefix: format!("/{id}/").into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(8),
        target: Duration::from_millis(if tier == 0 { 400 } else { 600 }),
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

/// A router before one engine that answers nothing, with the routes of `config`.
fn router_of(routes: Vec<Route>, server: &FakeEndpoint) -> Router {
    let in_service = |r: Route| Route {
        split: vec![("s".parse().unwrap(), 1.0)],
        ..r
    };
    let mut doc = config(&[], Some(1)).doc;
    doc.routes = routes.into_iter().map(in_service).collect();
    let engine = EngineSpec {
        slots: 32,
        memory: Tokens(1_000_000),
        stride: 3,
    };
    let service = Service {
        engine: Some(engine),
        ..Service::default()
    };
    doc.services = [("s".parse().unwrap(), service)].into();
    let mut spec = RouterSpec::new(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    spec.config = Some(FeedChange::Config(Arc::new(Config::new(doc))));
    let router = Router::start(spec);
    router.wait_ready();
    router
}

fn send(router: &Router, route: &str, session: u64, prompt: u64) -> TcpStream {
    let mut socket = router.connect();
    let text = format!(
        "POST /{route}/ HTTP/1.1\r\nHost: h\r\nid: {route}{session}\r\nkey: secret\r\ntimeout-ms: 9000\r\n\
         session: {session}\r\nprompt: {prompt}\r\nContent-Length: 0\r\n\r\n"
    );
    socket.write_all(text.as_bytes()).unwrap();
    socket
}

/// In a burst of digests, memos were refused for prompts that the engine would have read after
/// theirs.
#[test]
fn urgent_request_is_not_refused_for_prompts_that_are_read_after_it() {
    let server = FakeEndpoint::start(|_, _| Script::Hang);
    let router = router_of(vec![route("memo", 0), route("digest", 1)], &server);
    let digests = [1, 2, 3].map(|session| {
        let socket = send(&router, "digest", session, 14_000);
        router.wait_for(|| server.count() == session as usize);
        socket
    });
    let memo = send(&router, "memo", 9, 500);
    router.wait_for(|| server.count() == 4);
    drop((digests, memo));
}
