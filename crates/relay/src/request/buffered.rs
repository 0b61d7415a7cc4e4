//! Requests with a buffered response: it is read completely before it is sent to the caller.

use {
    super::{
        attempt::{AttemptSpec, FailedAttempt, attempt},
        path::PendingResponse,
        response::Response,
        routed_request::RoutedRequest,
        slot_lease::SlotLease,
    },
    crate::process::Node,
    route::PlacementOutcome,
    std::sync::Arc,
    types::{EndpointId, Verdict},
};

/// Largest number of endpoints that are tried as long as no byte of the request was sent to any.
pub(super) const MAX_UNSENT_ATTEMPTS: usize = 4;
/// Lowest status that counts as a failure of the endpoint.
pub(super) const MIN_FAILURE_STATUS: u16 = 500;

/// Sends the request to one endpoint after another until one succeeds or no retry is allowed.
pub(crate) async fn run_buffered(node: &Arc<Node>, request: &RoutedRequest) -> Response {
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut last_failure: Option<Response> = None;
    loop {
        let slot = match node.acquire_slot(request, &avoid) {
            Ok(slot) => slot,
            Err(refusal) => return last_failure.unwrap_or_else(|| Response::refusal(refusal)),
        };
        if request.sends() > 0 && !node.take_retry(request) {
            slot.finish(PlacementOutcome::Unsent);
            return last_failure.unwrap_or_else(|| {
                Response::refusal(request.unavailable("retry budget is spent"))
            });
        }
        avoid.push(slot.endpoint().clone());
        match attempt(node, request, &slot, AttemptSpec::default(), None).await {
            Ok(pending) => match read_response(node, request, slot, pending).await {
                Ok(response) if response.head.status < MIN_FAILURE_STATUS => return response,
                Ok(response) if !may_retry(request, Verdict::Ran) => return response,
                Ok(response) => last_failure = Some(response),
                Err(cause) if !may_retry(request, Verdict::MayHaveRun) => {
                    return Response::refusal(request.unavailable(cause));
                }
                Err(_) => {}
            },
            Err(failure) => {
                slot.finish(failure.outcome);
                if !may_retry_failure(request, &failure, avoid.len()) {
                    return last_failure.unwrap_or_else(|| {
                        Response::refusal(node.failure_refusal(request, failure.cause))
                    });
                }
            }
        }
    }
}

/// Whether a request may be sent again after an attempt with this verdict.
pub(super) fn may_retry(request: &RoutedRequest, verdict: Verdict) -> bool {
    request.is_retry_safe(verdict) && request.sends() < request.route.attempts
}

/// Whether another endpoint may be tried after a failed attempt; `tried` is the number of endpoints
/// so far.
pub(super) fn may_retry_failure(
    request: &RoutedRequest,
    failure: &FailedAttempt,
    tried: usize,
) -> bool {
    if failure.sent {
        return may_retry(request, failure.verdict);
    }
    tried < MAX_UNSENT_ATTEMPTS
}

async fn read_response(
    node: &Arc<Node>,
    request: &RoutedRequest,
    mut slot: SlotLease,
    pending: PendingResponse,
) -> Result<Response, &'static str> {
    let read = pending.read_checked(node, &slot, request).await;
    node.count_usage(request);
    let Ok((head, body)) = read else {
        node.note_cut(request, &slot, "answer cut short");
        request.end_send(Verdict::MayHaveRun, Some("answer cut short"));
        slot.finish(PlacementOutcome::Failed);
        return Err("answer cut short");
    };
    request.end_send(Verdict::Ran, None);
    node.record_sound(request, &slot);
    slot.first_event();
    let failed = head.status >= MIN_FAILURE_STATUS;
    slot.finish(if failed {
        PlacementOutcome::Failed
    } else {
        PlacementOutcome::Completed
    });
    Ok(Response::forwarded(head, body))
}
