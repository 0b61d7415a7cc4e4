//! Checks what happened, by the stand-ins' records and by what callers saw.

use {
    super::{
        executions::{Execution, Executions},
        testbed::{SentRequest, Testbed},
    },
    crate::scenario::ast::{Check, LinkKind, Selector},
    eyre::{Result, bail, ensure, eyre},
    load::{Outcome, RequestKind},
    ports::{OrderAction, OrderId},
    standin::platform::ReceivedCalls,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, OrgId, RequestId, Verdict, VmId, ZoneId},
};

/// First characters of every caller's key.
const KEY_PREFIX: &str = "ck-demo-";

pub(super) fn check(testbed: &mut Testbed, expected: &Check) -> Result<()> {
    match expected {
        Check::AnswersWhole => check_outcomes(&testbed.sent, |o| *o == Outcome::Complete),
        Check::AnswersOwn => check_outcomes(&testbed.sent, |o| !matches!(o, Outcome::Incorrect(_))),
        Check::RefusalsTrue => check_refusals(testbed),
        Check::Once => check_executed_once(&testbed.read_executions()?),
        Check::KeysHidden => check_keys_hidden(&testbed.read_executions()?),
        Check::OrgsRight => check_orgs(testbed),
        Check::Refused(flow, code) => check_outcomes(
            &requests_of(testbed, flow)?,
            |o| matches!(o, Outcome::Refused { code: c, .. } if c == code),
        ),
        Check::Served(flow, percent) => check_served(&requests_of(testbed, flow)?, *percent),
        Check::Sooner(flow, other) => {
            let (a, b) = (
                median_first_token(testbed, flow)?,
                median_first_token(testbed, other)?,
            );
            ensure!(
                a * 2 < b,
                "median time to the first token: {flow} {a:?}, {other} {b:?}"
            );
            Ok(())
        }
        Check::Hurt(flow) => {
            let sent = requests_of(testbed, flow)?;
            let hurt = sent.iter().any(|s| s.sample.outcome != Outcome::Complete);
            ensure!(hurt, "every request of {flow} got a complete response");
            Ok(())
        }
        Check::Idle(kind, selector, mark) => check_idle(testbed, *kind, selector, mark),
        Check::Silent(org, mark) => {
            let (before, now) = totals_since(testbed, org, mark)?;
            ensure!(
                before == now,
                "executions and tokens for {org}: {before:?} at {mark}, {now:?} now"
            );
            Ok(())
        }
        Check::Busy(org, mark) => {
            let (before, now) = totals_since(testbed, org, mark)?;
            ensure!(
                before < now,
                "no request of {org} was executed since {mark}"
            );
            Ok(())
        }
        Check::ConfigEverywhere => {
            testbed.read_log_config()?;
            testbed.check_config_everywhere()
        }
        Check::ConfigForward => {
            let reverts = testbed.balancer.reverts();
            ensure!(reverts.is_empty(), "{}", reverts.join("; "));
            Ok(())
        }
        Check::OrdersFenced => check_orders_fenced(&received_calls(testbed)?),
        Check::Started(zone, most) => check_started(&received_calls(testbed)?, zone, *most),
        Check::OneWinner => testbed.check_one_winner(),
    }
}

fn requests_of(testbed: &Testbed, flow: &str) -> Result<Vec<SentRequest>> {
    let sent: Vec<_> = testbed
        .sent
        .iter()
        .filter(|s| s.flow == flow)
        .cloned()
        .collect();
    ensure!(!sent.is_empty(), "flow {flow} has sent no request");
    Ok(sent)
}

/// Checks that there is at least one request and that every outcome is accepted. The error counts
/// the outcomes that are not.
fn check_outcomes(sent: &[SentRequest], accepted: impl Fn(&Outcome) -> bool) -> Result<()> {
    ensure!(
        !sent.is_empty(),
        "no request was sent, or the scenario has no finish step"
    );
    let mut bad: BTreeMap<String, usize> = BTreeMap::new();
    for s in sent.iter().filter(|s| !accepted(&s.sample.outcome)) {
        *bad.entry(format!("{} {:?}", s.flow, s.sample.outcome))
            .or_default() += 1;
    }
    ensure!(bad.is_empty(), "of {} requests: {bad:?}", sent.len());
    Ok(())
}

/// Median time to the first token of a flow's complete responses.
fn median_first_token(testbed: &Testbed, flow: &str) -> Result<Duration> {
    let sent = requests_of(testbed, flow)?;
    let complete = sent
        .iter()
        .filter(|s| s.sample.outcome == Outcome::Complete);
    let mut times: Vec<Duration> = complete.filter_map(|s| s.sample.first_token).collect();
    times.sort();
    let median = times.get(times.len() / 2).copied();
    median.ok_or_else(|| eyre!("flow {flow} got no complete response"))
}

fn check_served(sent: &[SentRequest], percent: u32) -> Result<()> {
    let complete = sent
        .iter()
        .filter(|s| s.sample.outcome == Outcome::Complete)
        .count();
    let required = sent.len() * percent as usize;
    ensure!(
        complete * 100 >= required,
        "{complete} of {} requests got a complete response, expected {percent} percent",
        sent.len()
    );
    Ok(())
}

/// Checks that no endpoint executed a request that was refused as not run. Executions are matched
/// by request id, and those of a plain service also by body, which is unique to each POST.
fn check_refusals(testbed: &Testbed) -> Result<()> {
    let executions = testbed.read_executions()?;
    ensure!(!testbed.sent.is_empty(), "no request was sent");
    for sent in &testbed.sent {
        let not_run = matches!(
            sent.sample.outcome,
            Outcome::Refused {
                verdict: Some(Verdict::NotRun),
                ..
            }
        );
        if !not_run {
            continue;
        }
        let body = format!("{:016x}", sent.sample.serial);
        let executed = executions.all.iter().any(|e| {
            let by_id = sent.sample.id.is_some() && e.id == sent.sample.id;
            let by_body = e.plain.as_ref().is_some_and(|(_, _, b)| *b == body);
            by_id || by_body
        });
        ensure!(
            !executed,
            "a request of {} was refused as not run, but was executed",
            sent.flow
        );
    }
    Ok(())
}

/// Checks that no POST was executed twice. Each POST has a body of its own.
fn check_executed_once(executions: &Executions) -> Result<()> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let plain = executions.all.iter().filter_map(|e| e.plain.as_ref());
    for (_, _, body) in plain.filter(|(method, ..)| method == "POST") {
        *counts.entry(body).or_default() += 1;
    }
    ensure!(!counts.is_empty(), "no POST was executed");
    let repeated: Vec<_> = counts.iter().filter(|(_, n)| **n > 1).collect();
    ensure!(
        repeated.is_empty(),
        "{} of {} POSTs were executed more than once",
        repeated.len(),
        counts.len()
    );
    Ok(())
}

fn check_keys_hidden(executions: &Executions) -> Result<()> {
    ensure!(!executions.all.is_empty(), "no request was executed");
    for execution in &executions.all {
        let leaked = execution
            .headers
            .iter()
            .find(|(_, v)| v.contains(KEY_PREFIX));
        if let Some((name, _)) = leaked {
            bail!("an endpoint received a key in header {name}");
        }
    }
    Ok(())
}

fn check_orgs(testbed: &Testbed) -> Result<()> {
    let executions = testbed.read_executions()?;
    let with_id = testbed.sent.iter().filter_map(|s| Some((s.sample.id?, s)));
    let sent: BTreeMap<RequestId, &SentRequest> = with_id.collect();
    let matched = |e: &Execution| Some((*sent.get(&e.id?)?, e.org()?.to_owned()));
    let mut checked = 0;
    for (sent, org) in executions.all.iter().filter_map(matched) {
        checked += 1;
        ensure!(
            org == sent.spec.org.as_str(),
            "a request with a key of {} was executed for {org}",
            sent.spec.org
        );
    }
    let is_chat = |s: &&SentRequest| matches!(s.spec.work, RequestKind::Chat { .. });
    ensure!(
        checked > 0 && testbed.sent.iter().any(|s| is_chat(&s)),
        "no execution matches a request that was sent, or no chat request was sent"
    );
    Ok(())
}

fn received_calls(testbed: &Testbed) -> Result<ReceivedCalls> {
    let addr = testbed.cluster.platform_addr;
    testbed.cluster.http.get(addr, "/control/record")
}

/// Checks that in each availability zone the epoch of orders never goes back, that each epoch has
/// one sender, and that a repeated order asks for the same action.
fn check_orders_fenced(calls: &ReceivedCalls) -> Result<()> {
    ensure!(!calls.orders.is_empty(), "the platform received no order");
    let mut newest: BTreeMap<&ZoneId, Epoch> = BTreeMap::new();
    let mut senders: BTreeMap<(&ZoneId, Epoch), &VmId> = BTreeMap::new();
    let mut actions: BTreeMap<OrderId, &OrderAction> = BTreeMap::new();
    for received in &calls.orders {
        let order = &received.order;
        let last = newest.entry(&order.zone).or_default();
        ensure!(
            order.epoch >= *last,
            "{} sent an order with epoch {} after one with epoch {last}",
            order.sender,
            order.epoch
        );
        *last = order.epoch;
        let sender = senders.entry((&order.zone, order.epoch));
        let sender = *sender.or_insert(&order.sender);
        ensure!(
            *sender == order.sender,
            "{sender} and {} both sent orders with epoch {}",
            order.sender,
            order.epoch
        );
        let action = *actions.entry(order.id).or_insert(&order.action);
        ensure!(
            *action == order.action,
            "order {} was repeated with another action",
            order.id
        );
    }
    Ok(())
}

fn check_started(calls: &ReceivedCalls, zone: &ZoneId, most: usize) -> Result<()> {
    let mut ids: Vec<OrderId> = calls
        .orders
        .iter()
        .filter(|r| r.order.zone == *zone)
        .filter(|r| matches!(r.order.action, OrderAction::Start { .. }))
        .map(|r| r.order.id)
        .collect();
    ids.sort();
    ids.dedup();
    ensure!(!ids.is_empty(), "no engine was ordered in {zone}");
    ensure!(
        ids.len() <= most,
        "{} engines ordered in {zone}, expected at most {most}",
        ids.len()
    );
    Ok(())
}

/// Checks that the selected endpoints have executed nothing since the mark.
fn check_idle(testbed: &Testbed, kind: LinkKind, selector: &Selector, mark: &str) -> Result<()> {
    let before = executions_at(testbed, mark)?;
    let now = testbed.read_executions()?;
    let selected = testbed.endpoints_at(kind, selector);
    ensure!(!selected.is_empty(), "no endpoint matches {selector:?}");
    for endpoint in selected {
        let new = now.count_at(endpoint) - before.count_at(endpoint);
        ensure!(
            new == 0,
            "{} executed {new} requests since {mark}",
            testbed.endpoints[endpoint].id
        );
    }
    Ok(())
}

/// Executions and tokens of an organisation at the mark, and now.
fn totals_since(
    testbed: &Testbed,
    org: &OrgId,
    mark: &str,
) -> Result<((usize, u64), (usize, u64))> {
    let before = executions_at(testbed, mark)?.totals_of(org.as_str());
    Ok((before, testbed.read_executions()?.totals_of(org.as_str())))
}

fn executions_at<'a>(testbed: &'a Testbed, mark: &str) -> Result<&'a Executions> {
    testbed
        .marks
        .get(mark)
        .ok_or_else(|| eyre!("no mark is named {mark}"))
}
