//! `celeryctl burn` against running entries.

use {
    eyre::{Result, ensure, eyre},
    harness::{ChildProcess, Cluster, ClusterSpec, ClusterZone, demo_config, wait_until},
    http_types::Method,
    serde_json::json,
    slo::{Alert, BurnReport},
    standin::engine::EngineCommand,
    std::{env, fs, process},
    wire::Call,
};

const MODEL: &str = "surveyor-llm";
const REQUESTS: u64 = 12;

fn start() -> Result<Cluster> {
    let zone = ClusterZone {
        zone: "ernakulam".parse()?,
        vms: 2,
        engines: 2,
        cheap: 1,
        services: 0,
    };
    Cluster::start(ClusterSpec {
        zones: vec![zone],
        model: MODEL.parse()?,
        service: "permit-desk".parse()?,
        items: demo_config()?,
        engine_args: Vec::new(),
        entry_settings: "slo_ms: 10000".into(),
        steward_settings: String::new(),
    })
}

/// Sends requests of class `urgent` to all entries in turn.
fn send(cluster: &Cluster) -> Result<()> {
    let prompt = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "certificate len=5" }],
    });
    for (_, entry) in (0..REQUESTS).zip(cluster.caller_addrs().into_iter().cycle()) {
        let mut call = Call::new(entry, Method::Post, "/v1/chat/completions")
            .body(serde_json::to_vec(&prompt)?);
        call.request
            .insert_header("authorization", "Bearer ck-demo-rice-mill");
        call.request.insert_header("x-celerystage-class", "urgent");
        let (reply, _) = cluster.http.send(call)?;
        ensure!(reply.status() == 200, "status {}", reply.status());
    }
    Ok(())
}

/// Runs `celeryctl burn` over all entries; returns its exit code and output.
fn burn(cluster: &Cluster, more: &[&str]) -> Result<(Option<i32>, String)> {
    let admins: Vec<_> = cluster.vms.iter().map(|v| v.admin.to_string()).collect();
    let mut args = vec!["burn"];
    for admin in &admins {
        args.extend(["--entry", admin]);
    }
    args.extend(more);
    let mut proc = ChildProcess::start("celeryctl", &args)?;
    let status = proc.wait()?;
    wait_until("output", || !proc.lines().is_empty())?;
    Ok((status.code(), proc.lines().join("\n")))
}

fn report(cluster: &Cluster) -> Result<(Option<i32>, BurnReport)> {
    let mut found = None;
    wait_until("a report that can be decoded", || {
        found = burn(cluster, &["--json"])
            .ok()
            .and_then(|(code, text)| Some((code, serde_json::from_str(&text).ok()?)));
        found.is_some()
    })?;
    found.ok_or_else(|| eyre!("no report"))
}

/// While all targets are met, `burn` must exit with 0. Missed targets must raise a page alert, exit
/// with 5 and appear in the chart.
#[test]
fn burn_reports_missed_targets() -> Result<()> {
    let cluster = start()?;
    send(&cluster)?;
    let (code, healthy) = report(&cluster)?;
    assert_eq!((code, healthy.worst_alert()), (Some(0), Alert::None));
    assert_eq!(healthy.classes[0].requests, REQUESTS);
    assert_eq!(healthy.classes[0].tokens.0, 5 * REQUESTS);
    for (_, engine) in &cluster.endpoints {
        cluster.control_endpoint(engine.addr, &EngineCommand::Slow(20.0))?;
    }
    send(&cluster)?;
    send(&cluster)?;
    let (code, burning) = report(&cluster)?;
    assert_eq!((code, burning.worst_alert()), (Some(5), Alert::Page));
    assert_eq!(burning.classes[0].attainment, 1.0 / 3.0);
    let spending = &burning.spending[0];
    assert!(spending.steady > 0.0 && spending.cheap > 0.0);
    let file = env::temp_dir().join(format!("celerystage-burn-{}.svg", process::id()));
    let path = file.display().to_string();
    let steward = cluster.vms[0].steward.as_ref();
    let steward = steward
        .ok_or_else(|| eyre!("no steward"))?
        .wait_addr("admin")?;
    let steward = steward.to_string();
    let (code, table) = burn(&cluster, &["--svg", &path, "--steward", &steward])?;
    assert_eq!(code, Some(5));
    assert!(
        table.contains("PAGE") && table.contains("usage reports:"),
        "{table}"
    );
    assert!(fs::read_to_string(&file)?.contains("urgent"));
    fs::remove_file(&file)?;
    cluster.stop()
}

/// A report without one of the entries would be wrong, so an unreachable entry must fail the
/// command.
#[test]
fn burn_fails_without_an_entry() -> Result<()> {
    let mut proc = ChildProcess::start("celeryctl", &["burn", "--entry", "127.0.0.1:1"])?;
    assert_eq!(proc.wait()?.code(), Some(1));
    let mut proc = ChildProcess::start("celeryctl", &["burn"])?;
    assert_eq!(proc.wait()?.code(), Some(2));
    Ok(())
}
