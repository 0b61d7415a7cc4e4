//! Requests with an event stream as response: which endpoints they go to.

use {
    super::{
        attempt::{AttemptSpec, attempt},
        buffered::{may_retry, may_retry_failure},
        caller_stream::{
            CallerStream, SegmentOutcome, UNLOGGED, Waited, WatchOutcome, leave, may_relocate,
        },
        path::Path,
        response::Response,
        routed_request::{RoutedRequest, StreamOrigin},
        silence_watch::SilenceWatch,
        slot_lease::SlotLease,
        start_proof::RESTARTED,
    },
    crate::{configuration::RouteKind, process::Node},
    futures_lite::FutureExt,
    h1::Conn,
    route::PlacementOutcome,
    std::sync::Arc,
    types::{EndpointId, Refusal, Verdict},
};

/// How a streaming request ended.
pub(crate) enum StreamOutcome {
    /// The stream is complete; the connection can be kept.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// Nothing was sent to the caller yet; this response has to be sent.
    NotStarted(Response),
    /// The stream broke after its head was sent; the connection has to be closed.
    Broken(Refusal),
}

/// Sends the request to an endpoint and forwards its events. After a failure another endpoint is
/// tried, where a retry is allowed.
pub(crate) async fn run_stream(
    node: &Arc<Node>,
    request: &RoutedRequest,
    conn: &mut Conn,
    closes: bool,
) -> StreamOutcome {
    let mut stream = CallerStream {
        conn,
        node,
        deadline: request.deadline,
        closes,
        started: false,
        last_event: request.caller.last_event,
        repeated_bytes: 0,
    };
    if stream.last_event.is_some() && request.origin() == StreamOrigin::New {
        match stream.watch(node.find_origin(request)).await {
            WatchOutcome::CallerLeft => return StreamOutcome::CallerLeft,
            WatchOutcome::TimedOut => return stream.fail(request.timed_out()),
            WatchOutcome::Done(Ok(release)) => request.set_origin(Some(release)),
            WatchOutcome::Done(Err(refusal)) => return stream.fail(refusal),
        }
    } else if stream.last_event.is_none() && request.route.kind == RouteKind::Resumable {
        match stream.watch(node.await_assignment(request)).await {
            WatchOutcome::CallerLeft => return StreamOutcome::CallerLeft,
            WatchOutcome::TimedOut => return stream.fail(request.timed_out()),
            WatchOutcome::Done(()) => {}
        }
    }
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut next: Option<(SlotLease, Path)> = None;
    let mut tried = 0;
    loop {
        let (slot, opened) = match next.take() {
            Some((slot, opened)) => (slot, Some(opened)),
            None => match next_slot(node, request, &avoid) {
                Ok(slot) => (slot, None),
                Err(refusal) => return stream.fail(refusal),
            },
        };
        let endpoint = slot.endpoint().clone();
        avoid.push(endpoint.clone());
        tried += 1;
        let spec = AttemptSpec {
            last_event: stream.last_event,
            proven: needs_proof(request, stream.last_event),
        };
        let sending = async {
            let work = async { Waited::Arrived(attempt(node, request, &slot, spec, opened).await) };
            if !may_relocate(request) {
                return work.await;
            }
            let watch = SilenceWatch {
                node,
                request,
                slot: &slot,
                avoid: &avoid,
                begun: false,
                proven: spec.proven,
                since: node.clock.now(),
            };
            let silent = async { Waited::Relocated(watch.until_relocated().await) };
            work.or(silent).await
        };
        match stream.watch(sending).await {
            WatchOutcome::CallerLeft => return StreamOutcome::CallerLeft,
            WatchOutcome::TimedOut => return stream.fail(request.timed_out()),
            WatchOutcome::Done(Waited::Ended) => {
                return stream.fail(request.unavailable("no answer from the endpoint"));
            }
            WatchOutcome::Done(Waited::Relocated(relocation)) => {
                leave(node, request, slot, &relocation);
                next = Some((relocation.slot, relocation.opened));
            }
            WatchOutcome::Done(Waited::Arrived(Err(failure))) => {
                slot.finish(failure.outcome);
                if failure.cause == RESTARTED && request.origin().release().is_none() {
                    // The endpoints of a zone restart together when it comes back from an outage.
                    avoid.extend(node.others_in_zone(&request.service, &endpoint));
                }
                if !may_retry_failure(request, &failure, tried) {
                    return stream.fail(node.failure_refusal(request, failure.cause));
                }
            }
            WatchOutcome::Done(Waited::Arrived(Ok(pending))) => {
                if !(200..300).contains(&pending.head.status) {
                    if !stream.started {
                        return stream.forward_response(request, slot, pending).await;
                    }
                    drop(pending);
                    node.count_usage(request);
                    request.end_send(Verdict::Ran, Some("stream could not go on"));
                    slot.finish(PlacementOutcome::Failed);
                    if !may_retry(request, Verdict::Ran) {
                        return stream.fail(request.unavailable("stream could not go on"));
                    }
                    continue;
                }
                match stream
                    .forward_events(request, slot, pending, (&avoid, spec))
                    .await
                {
                    SegmentOutcome::Complete => return stream.write_end().await,
                    SegmentOutcome::CallerLeft => return StreamOutcome::CallerLeft,
                    SegmentOutcome::TimedOut => return stream.fail(request.timed_out()),
                    SegmentOutcome::Broken(cause, _)
                        if !may_retry(request, Verdict::MayHaveRun) =>
                    {
                        return stream.fail(request.unavailable(cause));
                    }
                    SegmentOutcome::Broken(..) => {}
                    SegmentOutcome::Unlogged if !may_retry(request, Verdict::MayHaveRun) => {
                        return stream.fail(request.unavailable(UNLOGGED));
                    }
                    SegmentOutcome::Unlogged => {}
                    SegmentOutcome::Relocated(relocation) => {
                        next = Some((relocation.slot, relocation.opened));
                    }
                }
            }
        }
    }
}

/// The slot for the next attempt, and a retry if it is not the first one.
fn next_slot(
    node: &Arc<Node>,
    request: &RoutedRequest,
    avoid: &[EndpointId],
) -> Result<SlotLease, Refusal> {
    let slot = node.acquire_slot(request, avoid)?;
    if request.sends() > 0 && !node.take_retry(request) {
        slot.finish(PlacementOutcome::Unsent);
        return Err(request.unavailable("retry budget is spent"));
    }
    Ok(slot)
}

/// Whether an endpoint must prove that it hasn't restarted since it was listed. Streams go on only at the
/// release that began them, and so it must be known at both ends.
fn needs_proof(request: &RoutedRequest, last_event: Option<u64>) -> bool {
    request.route.kind == RouteKind::Resumable || last_event.is_some()
}
