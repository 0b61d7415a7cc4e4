//! Judges what happened by the stand-ins' records and by what callers saw.

use {
    super::{
        bench::{Bench, Sent},
        record::{Mark, Ran},
    },
    crate::scenario::ast::{Check, Line, Place},
    eyre::{Result, bail, ensure, eyre},
    load::{Outcome, RequestKind},
    ports::{OrderAction, OrderId},
    standin::platform::ReceivedCalls,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, OrgId, RequestId, Verdict, VmId, ZoneId},
};

/// How a caller's key begins.
const KEY_START: &str = "ck-demo-";

pub(super) fn check(bench: &mut Bench, what: &Check) -> Result<()> {
    match what {
        Check::Whole => each(&bench.sent, |o| *o == Outcome::Complete),
        Check::Own => each(&bench.sent, |o| !matches!(o, Outcome::Incorrect(_))),
        Check::RefusalsTrue => refusals_true(bench),
        Check::Once => once(&bench.record()?),
        Check::KeysHidden => keys_hidden(&bench.record()?),
        Check::OrgsRight => orgs_right(bench),
        Check::Refused(flow, code) => each(
            &of_flow(bench, flow)?,
            |o| matches!(o, Outcome::Refused { code: c, .. } if c == code),
        ),
        Check::Served(flow, share) => served(&of_flow(bench, flow)?, *share),
        Check::Sooner(flow, other) => {
            let (a, b) = (median_first(bench, flow)?, median_first(bench, other)?);
            ensure!(a * 2 < b, "median of {flow} {a:?}, of {other} {b:?}");
            Ok(())
        }
        Check::Hurt(flow) => {
            let sent = of_flow(bench, flow)?;
            let hurt = sent.iter().any(|s| s.sample.outcome != Outcome::Complete);
            ensure!(hurt, "every request was answered whole");
            Ok(())
        }
        Check::Idle(line, place, mark) => idle(bench, *line, place, mark),
        Check::Silent(org, mark) => {
            let (before, now) = since(bench, org, mark)?;
            ensure!(
                before == now,
                "executions and tokens for {org}: {before:?} at {mark}, {now:?} now"
            );
            Ok(())
        }
        Check::Busy(org, mark) => {
            let (before, now) = since(bench, org, mark)?;
            ensure!(before < now, "nothing ran for {org} since {mark}");
            Ok(())
        }
        Check::Config => {
            bench.oracle()?;
            bench.config_even()
        }
        Check::Forward => {
            let reverts = bench.balancer.reverts();
            ensure!(reverts.is_empty(), "{}", reverts.join("; "));
            Ok(())
        }
        Check::OrdersFenced => orders_fenced(&platform_record(bench)?),
        Check::Started(zone, most) => started(&platform_record(bench)?, zone, *most),
        Check::OneWinner => bench.one_winner(),
    }
}

fn of_flow(bench: &Bench, name: &str) -> Result<Vec<Sent>> {
    let sent: Vec<_> = bench
        .sent
        .iter()
        .filter(|s| s.flow == name)
        .cloned()
        .collect();
    ensure!(!sent.is_empty(), "flow {name} has sent nothing");
    Ok(sent)
}

/// Whether every outcome, of at least one, is accepted; else the counts of those that are not.
fn each(sent: &[Sent], accepted: impl Fn(&Outcome) -> bool) -> Result<()> {
    ensure!(!sent.is_empty(), "nothing was sent, or finish is missing");
    let mut bad: BTreeMap<String, usize> = BTreeMap::new();
    for s in sent.iter().filter(|s| !accepted(&s.sample.outcome)) {
        *bad.entry(format!("{} {:?}", s.flow, s.sample.outcome))
            .or_default() += 1;
    }
    ensure!(bad.is_empty(), "of {} requests: {bad:?}", sent.len());
    Ok(())
}

/// Median time to the first token of a flow's whole answers.
fn median_first(bench: &Bench, flow: &str) -> Result<Duration> {
    let sent = of_flow(bench, flow)?;
    let whole = sent
        .iter()
        .filter(|s| s.sample.outcome == Outcome::Complete);
    let mut times: Vec<Duration> = whole.filter_map(|s| s.sample.first_token).collect();
    times.sort();
    let median = times.get(times.len() / 2).copied();
    median.ok_or_else(|| eyre!("no whole answer of {flow}"))
}

fn served(sent: &[Sent], share: u32) -> Result<()> {
    let whole = sent
        .iter()
        .filter(|s| s.sample.outcome == Outcome::Complete)
        .count();
    let wanted = sent.len() * share as usize;
    ensure!(
        whole * 100 >= wanted,
        "{whole} of {} answered whole, wanted {share} percent",
        sent.len()
    );
    Ok(())
}

/// No record holds a request whose refusal said that it did not run: by its id, and for a POST also by
/// its body, which is the request's own.
fn refusals_true(bench: &Bench) -> Result<()> {
    let mark = bench.record()?;
    ensure!(!bench.sent.is_empty(), "nothing was sent");
    for sent in &bench.sent {
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
        let ran = mark.ran.iter().any(|r| {
            let by_id = sent.sample.id.is_some() && r.id == sent.sample.id;
            let by_body = r.plain.as_ref().is_some_and(|(_, _, b)| *b == body);
            by_id || by_body
        });
        ensure!(!ran, "{} was refused as not run, and ran", sent.flow);
    }
    Ok(())
}

/// No body of a POST, which is the request's own, was executed twice.
fn once(mark: &Mark) -> Result<()> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let plain = mark.ran.iter().filter_map(|r| r.plain.as_ref());
    for (_, _, body) in plain.filter(|(method, ..)| method == "POST") {
        *counts.entry(body).or_default() += 1;
    }
    ensure!(!counts.is_empty(), "no POST was executed");
    let twice: Vec<_> = counts.iter().filter(|(_, n)| **n > 1).collect();
    ensure!(
        twice.is_empty(),
        "{} of {} executed more than once",
        twice.len(),
        counts.len()
    );
    Ok(())
}

fn keys_hidden(mark: &Mark) -> Result<()> {
    ensure!(!mark.ran.is_empty(), "nothing was executed");
    for ran in &mark.ran {
        let shown = ran.headers.iter().find(|(_, v)| v.contains(KEY_START));
        if let Some((name, _)) = shown {
            bail!("an endpoint received a key in header {name}");
        }
    }
    Ok(())
}

fn orgs_right(bench: &Bench) -> Result<()> {
    let mark = bench.record()?;
    let with_id = bench.sent.iter().filter_map(|s| Some((s.sample.id?, s)));
    let sent: BTreeMap<RequestId, &Sent> = with_id.collect();
    let known = |r: &Ran| Some((*sent.get(&r.id?)?, r.org()?.to_owned()));
    let mut seen = 0;
    for (sent, org) in mark.ran.iter().filter_map(known) {
        seen += 1;
        ensure!(
            org == sent.spec.org.as_str(),
            "a request with a key of {} ran for {org}",
            sent.spec.org
        );
    }
    let chats = |s: &&Sent| matches!(s.spec.work, RequestKind::Chat { .. });
    ensure!(
        seen > 0 && bench.sent.iter().any(|s| chats(&s)),
        "no execution is known"
    );
    Ok(())
}

fn platform_record(bench: &Bench) -> Result<ReceivedCalls> {
    let addr = bench.cluster.platform_addr;
    bench.cluster.http.get(addr, "/control/record")
}

/// In each availability zone the fencing number never falls, and each number is one sender's; an order
/// that comes again asks for the same.
fn orders_fenced(record: &ReceivedCalls) -> Result<()> {
    ensure!(!record.orders.is_empty(), "no order came");
    let mut newest: BTreeMap<&ZoneId, Epoch> = BTreeMap::new();
    let mut senders: BTreeMap<(&ZoneId, Epoch), &VmId> = BTreeMap::new();
    let mut actions: BTreeMap<OrderId, &OrderAction> = BTreeMap::new();
    for seen in &record.orders {
        let order = &seen.order;
        let last = newest.entry(&order.zone).or_default();
        ensure!(
            order.epoch >= *last,
            "{} ordered under {} after another under {last}",
            order.sender,
            order.epoch
        );
        *last = order.epoch;
        let sender = senders.entry((&order.zone, order.epoch));
        let sender = *sender.or_insert(&order.sender);
        ensure!(
            *sender == order.sender,
            "{sender} and {} both ordered under {}",
            order.sender,
            order.epoch
        );
        let action = *actions.entry(order.id).or_insert(&order.action);
        ensure!(*action == order.action, "order {} was changed", order.id);
    }
    Ok(())
}

fn started(record: &ReceivedCalls, zone: &ZoneId, most: usize) -> Result<()> {
    let mut ids: Vec<OrderId> = record
        .orders
        .iter()
        .filter(|s| s.order.zone == *zone)
        .filter(|s| matches!(s.order.action, OrderAction::Start { .. }))
        .map(|s| s.order.id)
        .collect();
    ids.sort();
    ids.dedup();
    ensure!(!ids.is_empty(), "no engine was ordered in {zone}");
    ensure!(
        ids.len() <= most,
        "{} engines ordered in {zone}, wanted at most {most}",
        ids.len()
    );
    Ok(())
}

fn idle(bench: &Bench, line: Line, place: &Place, name: &str) -> Result<()> {
    let before = marked(bench, name)?;
    let now = bench.record()?;
    let meant = bench.meant(line, place);
    ensure!(!meant.is_empty(), "no endpoint is meant by {place:?}");
    for endpoint in meant {
        let new = now.at(endpoint) - before.at(endpoint);
        ensure!(
            new == 0,
            "{new} new requests ran at {} since {name}",
            bench.sites[endpoint].id
        );
    }
    Ok(())
}

fn since(bench: &Bench, org: &OrgId, name: &str) -> Result<((usize, u64), (usize, u64))> {
    let before = marked(bench, name)?.of(org.as_str());
    Ok((before, bench.record()?.of(org.as_str())))
}

fn marked<'a>(bench: &'a Bench, name: &str) -> Result<&'a Mark> {
    bench
        .marks
        .get(name)
        .ok_or_else(|| eyre!("no mark is named {name}"))
}
