//! Requests that are answered whole.

use {
    super::{
        attempt::{Answering, Miss, attempt},
        job::Job,
        reply::Reply,
        slot::Slot,
    },
    crate::process::Node,
    route::PlacementOutcome,
    std::sync::Arc,
    types::{EndpointId, Verdict},
};

/// Most endpoints that are tried without a byte being sent to them.
pub(super) const MOST_UNSENT: usize = 4;
/// Status from which an endpoint's answer is its failure.
pub(super) const FAILURE: u16 = 500;

/// Finds an endpoint for the request and brings its answer.
pub(crate) async fn run_plain(node: &Arc<Node>, job: &Job) -> Reply {
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut kept: Option<Reply> = None;
    loop {
        let slot = match node.place(job, &avoid) {
            Ok(slot) => slot,
            Err(refusal) => return kept.unwrap_or_else(|| Reply::refused(refusal)),
        };
        if job.sends() > 0 && !node.take_repeat(job) {
            return kept.unwrap_or_else(|| Reply::refused(job.unplaced("retry budget is spent")));
        }
        avoid.push(slot.endpoint().clone());
        match attempt(node, job, &slot, None).await {
            Ok(answering) => match finish(node, job, slot, answering).await {
                Ok(reply) if reply.head.status < FAILURE => return reply,
                Ok(reply) if !may_go_on(job, Verdict::Ran) => return reply,
                Ok(reply) => kept = Some(reply),
                Err(cause) if !may_go_on(job, Verdict::MayHaveRun) => {
                    return Reply::refused(job.unplaced(cause));
                }
                Err(_) => {}
            },
            Err(miss) => {
                slot.end(miss.ended);
                if !retry_after_miss(job, &miss, avoid.len()) {
                    return kept
                        .unwrap_or_else(|| Reply::refused(node.refusal_after(job, miss.cause)));
                }
            }
        }
    }
}

/// Whether a request may be sent once more after an attempt with this verdict.
pub(super) fn may_go_on(job: &Job, verdict: Verdict) -> bool {
    job.may_repeat(verdict) && job.sends() < job.route.attempts
}

/// Whether another endpoint may be tried after a miss.
pub(super) fn retry_after_miss(job: &Job, miss: &Miss, tried: usize) -> bool {
    if miss.sent {
        return may_go_on(job, miss.verdict);
    }
    tried < MOST_UNSENT
}

async fn finish(
    node: &Arc<Node>,
    job: &Job,
    mut slot: Slot,
    answering: Answering,
) -> Result<Reply, &'static str> {
    let read = answering.finish(node, &slot).await;
    node.count_begun(job);
    let Ok((head, body)) = read else {
        job.sent(Verdict::MayHaveRun, Some("answer cut short"));
        slot.end(PlacementOutcome::Failed);
        return Err("answer cut short");
    };
    job.sent(Verdict::Ran, None);
    slot.first();
    let failed = head.status >= FAILURE;
    slot.end(if failed {
        PlacementOutcome::Failed
    } else {
        PlacementOutcome::Completed
    });
    Ok(Reply::passed_on(head, body))
}
