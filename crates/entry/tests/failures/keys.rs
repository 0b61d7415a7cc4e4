//! A withdrawn key is refused everywhere within seconds, also for connected callers and while the
//! platform is down.

use {
    crate::common::{run_with, start, start_zones, streams, zone},
    eyre::Result,
    harness::{Cluster, wait_until},
    http_types::Method,
    load::Outcome,
    mesh::{AUTH_HEADER, REVOKE_PATH, RevokeRequest},
    standin::platform::{PlatformCommand, PlatformFaults},
    std::net::SocketAddr,
    types::KeyDigest,
    wire::{Call, VERDICT_HEADER, to_msgpack},
};

const KEY: &str = "ck-demo-rice-mill";
const SECRET: &str = "only-for-tests-and-demos";

fn revoke(cluster: &Cluster, mesh: SocketAddr) -> Result<()> {
    let key = KeyDigest::of_key(KEY.as_bytes());
    let mut call =
        Call::new(mesh, Method::Post, REVOKE_PATH).body(to_msgpack(&RevokeRequest { key })?);
    call.request.insert_header(AUTH_HEADER, SECRET);
    let (reply, _) = cluster.http.send(call)?;
    assert_eq!(reply.status(), 200);
    Ok(())
}

/// Status and verdict of a request with the key.
fn status_and_verdict(cluster: &Cluster, entry: SocketAddr) -> Option<(u16, Option<String>)> {
    let mut call = Call::new(entry, Method::Get, "/permits/certificate");
    call.request
        .insert_header("authorization", format!("Bearer {KEY}"));
    let (reply, _) = cluster.http.send(call).ok()?;
    Some((
        reply.status(),
        reply.header(VERDICT_HEADER).map(str::to_owned),
    ))
}

#[test]
fn a_key_withdrawn_at_one_entry_while_the_platform_is_down_is_refused_everywhere() -> Result<()> {
    let cluster = start_zones(vec![zone("ernakulam", 2, 2)?, zone("calicut", 2, 2)?], "")?;
    let mut plan = streams(cluster.caller_addrs(), 20.0, 4.0)?;
    plan.flows[0].work = load::RequestKind::Chat {
        model: crate::common::MODEL.parse()?,
        lengths: load::LengthDistribution {
            median: 400.0,
            spread: 0.0,
            longest: 400,
        },
        prompt: 100,
        prefixes: 1,
    };
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }))?;
    let samples = run_with(&plan, || {
        wait_until("requests are served", || {
            cluster
                .caller_addrs()
                .iter()
                .all(|e| status_and_verdict(&cluster, *e).is_some_and(|s| s.0 == 200))
        })?;
        revoke(&cluster, cluster.vms[0].mesh)?;
        wait_until("every entry refuses the key", || {
            let refused = Some((401, Some("not_run".to_owned())));
            cluster
                .caller_addrs()
                .iter()
                .all(|e| status_and_verdict(&cluster, *e) == refused)
        })
    })?;
    let whole = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Complete)
        .count();
    assert_eq!(
        whole, 0,
        "streams of 400 tokens outlived the withdrawal of their key"
    );
    let cut = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Truncated)
        .count();
    assert!(
        cut > 0,
        "no connected caller was cut off: the test has checked nothing"
    );
    Ok(())
}

#[test]
fn a_direct_withdrawal_reaches_the_log_when_the_platform_returns() -> Result<()> {
    let cluster = start(2, 1)?;
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }))?;
    revoke(&cluster, cluster.vms[0].mesh)?;
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults::default()))?;
    wait_until("the withdrawal is on the log", || {
        let page = cluster
            .http
            .text(cluster.platform_addr, "/log/config?from=0&wait_ms=0");
        page.is_ok_and(|text| text.contains(r#"withdrawn\":true"#))
    })
}

#[test]
fn keys_are_refused_when_the_platform_is_down_for_longer_than_honour_s() -> Result<()> {
    let cluster = start_zones(vec![zone("ernakulam", 2, 1)?], "honour_s: 5")?;
    let entry = cluster.caller_addrs()[0];
    assert_eq!(status_and_verdict(&cluster, entry).map(|s| s.0), Some(200));
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }))?;
    let refused = Some((503, Some("not_run".to_owned())));
    wait_until("keys are refused", || {
        status_and_verdict(&cluster, entry) == refused
    })?;
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults::default()))?;
    wait_until("keys are honoured again", || {
        status_and_verdict(&cluster, entry).is_some_and(|s| s.0 == 200)
    })
}
