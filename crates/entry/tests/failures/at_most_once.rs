//! A non-idempotent request with an idempotency key runs at most once, whichever of its caller,
//! entries, service and platform fail. Executions are counted by the service's own record.

use {
    crate::common::start,
    eyre::Result,
    harness::{Cluster, wait_until},
    http_types::Method,
    standin::{
        platform::{PlatformCommand, PlatformFaults},
        service::{ExecutedRequest, ServiceCommand},
    },
    std::{net::SocketAddr, thread, time::Duration},
    wire::{Call, CallTimeouts, VERDICT_HEADER},
};

const PATH: &str = "/permits/renewal";
const TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_secs(2),
    head: Duration::from_secs(30),
    body_idle: Duration::from_secs(30),
};

struct Reply {
    status: u16,
    verdict: Option<String>,
    replayed: bool,
    body: String,
}

fn renew(cluster: &Cluster, entry: SocketAddr, key: &str, body: &str) -> Result<Reply> {
    let mut call = Call::new(entry, Method::Post, PATH)
        .body(body.as_bytes().to_vec())
        .timeouts(TIMEOUTS);
    call.request
        .insert_header("authorization", "Bearer ck-demo-rice-mill");
    call.request.insert_header("idempotency-key", key);
    let (reply, bytes) = cluster.http.send(call)?;
    Ok(Reply {
        status: reply.status(),
        verdict: reply.header(VERDICT_HEADER).map(str::to_owned),
        replayed: reply.header("idempotent-replayed").is_some(),
        body: String::from_utf8(bytes)?,
    })
}

fn service(cluster: &Cluster) -> Result<SocketAddr> {
    let serving = cluster.endpoints_serving(&"permit-desk".parse()?);
    Ok(serving[0].addr)
}

fn executions(cluster: &Cluster, body: &str) -> Result<usize> {
    let executed: Vec<ExecutedRequest> = cluster.http.get(service(cluster)?, "/record")?;
    Ok(executed.iter().filter(|e| e.body == body).count())
}

#[test]
fn repeats_through_every_entry_run_once_and_get_the_same_response() -> Result<()> {
    let cluster = start(4, 1)?;
    cluster.control_endpoint(service(&cluster)?, &ServiceCommand::Delay(300))?;
    let replies: Vec<Reply> = thread::scope(|scope| {
        let entries = cluster.caller_addrs();
        let sends: Vec<_> = entries
            .into_iter()
            .map(|e| {
                scope.spawn({
                    let c = &cluster;
                    move || renew(c, e, "k1", "boiler 1")
                })
            })
            .collect();
        sends
            .into_iter()
            .map(|s| s.join().expect("no panic"))
            .collect::<Result<_>>()
    })?;
    assert_eq!(executions(&cluster, "boiler 1")?, 1);
    let answered: Vec<_> = replies.iter().filter(|r| r.status == 200).collect();
    assert_eq!(answered.len(), 1);
    for refused in replies.iter().filter(|r| r.status != 200) {
        assert_eq!(
            (refused.status, refused.verdict.as_deref()),
            (409, Some("may_have_run"))
        );
    }
    for entry in cluster.caller_addrs() {
        wait_until("the stored response is returned", || {
            let again = renew(&cluster, entry, "k1", "boiler 1");
            again.is_ok_and(|r| r.status == 200 && r.replayed && r.body == answered[0].body)
        })?;
    }
    let other = renew(&cluster, cluster.caller_addrs()[1], "k1", "boiler 2")?;
    assert_eq!(
        (other.status, other.verdict.as_deref()),
        (409, Some("not_run"))
    );
    assert_eq!(executions(&cluster, "boiler 1")?, 1);
    assert_eq!(executions(&cluster, "boiler 2")?, 0);
    Ok(())
}

#[test]
fn a_request_whose_response_is_lost_after_execution_is_not_run_again() -> Result<()> {
    let cluster = start(3, 1)?;
    cluster.control_endpoint(service(&cluster)?, &ServiceCommand::LoseAnswers(1))?;
    let first = renew(&cluster, cluster.caller_addrs()[0], "k2", "boiler 3")?;
    assert_eq!(first.verdict.as_deref(), Some("may_have_run"));
    for entry in cluster.caller_addrs() {
        let again = renew(&cluster, entry, "k2", "boiler 3")?;
        assert_eq!(
            (again.status, again.verdict.as_deref()),
            (409, Some("may_have_run"))
        );
    }
    assert_eq!(executions(&cluster, "boiler 3")?, 1);
    Ok(())
}

#[test]
fn a_request_runs_once_when_its_entry_is_killed_after_forwarding_it() -> Result<()> {
    let mut cluster = start(3, 1)?;
    cluster.control_endpoint(service(&cluster)?, &ServiceCommand::Delay(1_500))?;
    let entries = cluster.caller_addrs();
    thread::scope(|scope| -> Result<()> {
        let (http, entry) = (cluster.http.clone(), entries[0]);
        scope.spawn(move || {
            let mut call = Call::new(entry, Method::Post, PATH).body(b"boiler 4".to_vec());
            call.request
                .insert_header("authorization", "Bearer ck-demo-rice-mill");
            call.request.insert_header("idempotency-key", "k3");
            http.send(call).is_err()
        });
        wait_until("the service executes", || {
            executions(&cluster, "boiler 4").is_ok_and(|n| n == 1)
        })?;
        cluster.vms[0].entry.kill()
    })?;
    for entry in &entries[1..] {
        let again = renew(&cluster, *entry, "k3", "boiler 4")?;
        assert_eq!(
            (again.status, again.verdict.as_deref()),
            (409, Some("may_have_run"))
        );
    }
    assert_eq!(executions(&cluster, "boiler 4")?, 1);
    Ok(())
}

#[test]
fn a_request_with_a_key_is_refused_as_not_run_while_the_log_is_down() -> Result<()> {
    let cluster = start(2, 1)?;
    let entry = cluster.caller_addrs()[0];
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }))?;
    let refused = renew(&cluster, entry, "k4", "boiler 5")?;
    assert_eq!(
        (refused.status, refused.verdict.as_deref()),
        (503, Some("not_run"))
    );
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults::default()))?;
    wait_until("the request is accepted again", || {
        renew(&cluster, entry, "k4", "boiler 5").is_ok_and(|r| r.status == 200)
    })?;
    assert_eq!(executions(&cluster, "boiler 5")?, 1);
    Ok(())
}

#[test]
fn appends_with_lost_responses_neither_block_nor_repeat_a_request() -> Result<()> {
    let cluster = start(2, 1)?;
    let fault = PlatformFaults {
        lose_answers: 2,
        ..PlatformFaults::default()
    };
    cluster.control_platform(&PlatformCommand::Fault(fault))?;
    let entries = cluster.caller_addrs();
    wait_until("the request is answered", || {
        entries
            .iter()
            .any(|e| renew(&cluster, *e, "k5", "boiler 6").is_ok_and(|r| r.status == 200))
    })?;
    assert_eq!(executions(&cluster, "boiler 6")?, 1);
    Ok(())
}
