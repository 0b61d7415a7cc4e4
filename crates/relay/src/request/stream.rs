//! Requests with an event stream as response, whose events are forwarded as they arrive.

use {
    super::{
        attempt::{AttemptSpec, PendingResponse, attempt},
        buffered::{may_retry, may_retry_failure},
        response::{Response, add_connection_header},
        routed_request::RoutedRequest,
        silence_watch::{Relocation, SilenceWatch},
        slot_lease::SlotLease,
    },
    crate::{configuration::RouteKind, process::Node},
    clock::{Instant, timeout},
    futures_lite::FutureExt,
    h1::{Conn, Event, EventSplitter, PooledConn, ResponseHead},
    route::PlacementOutcome,
    std::{future::Future, sync::Arc, time::Duration},
    types::{EndpointId, Reason, Refusal, Verdict},
};

/// Timeout of a write to the caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes of events that the caller already has: more than a resumed stream repeats.
const MAX_REPEATED_BYTES: usize = 1024 * 1024;

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

/// The caller's side of a stream.
struct CallerStream<'a> {
    conn: &'a mut Conn,
    node: &'a Arc<Node>,
    deadline: Instant,
    /// Whether the connection is closed after the stream.
    closes: bool,
    /// Whether the head was sent.
    started: bool,
    /// Id of the last event that the caller has.
    last_event: Option<u64>,
    /// Bytes of events that were skipped because the caller has them.
    repeated_bytes: usize,
}

/// Result of work that ends early if the caller leaves or the request times out.
enum WatchOutcome<T> {
    Done(T),
    CallerLeft,
    TimedOut,
}

/// How the part of a stream that one endpoint sent has ended.
enum SegmentOutcome {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(&'static str, PlacementOutcome),
    /// The endpoint went silent, and the stream goes on at another one.
    Relocated(Box<Relocation>),
}

/// What a request to an endpoint has come to.
enum Waited<T> {
    /// The endpoint sent something.
    Arrived(T),
    /// The endpoint is silent, and the request goes on at another one.
    Relocated(Box<Relocation>),
    /// The endpoint has ended without a word.
    Ended,
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
    if stream.last_event.is_some() {
        match stream.watch(node.find_origin(request)).await {
            WatchOutcome::CallerLeft => return StreamOutcome::CallerLeft,
            WatchOutcome::TimedOut => return stream.fail(request.timed_out()),
            WatchOutcome::Done(release) => request.set_origin(release),
        }
    }
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut next: Option<(SlotLease, PooledConn)> = None;
    loop {
        let (slot, opened) = match next.take() {
            Some((slot, opened)) => (slot, Some(opened)),
            None => match next_slot(node, request, &avoid) {
                Ok(slot) => (slot, None),
                Err(refusal) => return stream.fail(refusal),
            },
        };
        avoid.push(slot.endpoint().clone());
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
                if !may_retry_failure(request, &failure, avoid.len()) {
                    return stream.fail(node.failure_refusal(request, failure.cause));
                }
            }
            WatchOutcome::Done(Waited::Arrived(Ok(pending))) => {
                if !(200..300).contains(&pending.head.status) {
                    return stream.forward_response(request, slot, pending).await;
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

/// Whether the request may go on at another endpoint while the one in progress is silent.
fn may_relocate(request: &RoutedRequest) -> bool {
    request.route.kind == RouteKind::Resumable && request.sends() + 1 < request.route.attempts
}

/// Ends the attempt at a silent endpoint.
fn leave(node: &Arc<Node>, request: &RoutedRequest, slot: SlotLease, relocation: &Relocation) {
    node.note_cut(request, &slot, relocation.cause);
    request.end_send(Verdict::MayHaveRun, Some(relocation.cause));
    slot.finish(relocation.outcome);
}

impl CallerStream<'_> {
    /// Runs `work` until it is done, the caller leaves or the request times out.
    async fn watch<T>(&mut self, work: impl Future<Output = T>) -> WatchOutcome<T> {
        let remaining = self.deadline.since(self.node.clock.now());
        let done = async { WatchOutcome::Done(work.await) };
        let caller_left = async {
            self.conn.wait_closed().await;
            WatchOutcome::CallerLeft
        };
        let watched = timeout(&*self.node.clock, remaining, done.or(caller_left)).await;
        watched.unwrap_or(WatchOutcome::TimedOut)
    }

    fn fail(&self, refusal: Refusal) -> StreamOutcome {
        if self.started {
            return StreamOutcome::Broken(refusal);
        }
        StreamOutcome::NotStarted(Response::refusal(refusal))
    }

    /// Forwards a response that is not a stream, such as an error.
    async fn forward_response(
        &mut self,
        request: &RoutedRequest,
        slot: SlotLease,
        pending: PendingResponse,
    ) -> StreamOutcome {
        let node = self.node.clone();
        // A failure that doesn't say "not run" ran as well.
        node.count_usage(request);
        let read = self.watch(pending.read_body(&node, &slot)).await;
        match read {
            WatchOutcome::CallerLeft => StreamOutcome::CallerLeft,
            WatchOutcome::TimedOut => self.fail(request.timed_out()),
            WatchOutcome::Done(Err(_)) => {
                node.note_cut(request, &slot, "answer cut short");
                request.end_send(Verdict::MayHaveRun, Some("answer cut short"));
                slot.finish(PlacementOutcome::Failed);
                self.fail(request.unavailable("answer cut short"))
            }
            WatchOutcome::Done(Ok((head, body))) => {
                request.end_send(Verdict::Ran, None);
                slot.finish(PlacementOutcome::Failed);
                if self.started {
                    let failed = Refusal::with_verdict(
                        Verdict::Ran,
                        Reason::EndpointFailed,
                        "stream could not go on",
                    );
                    return StreamOutcome::Broken(failed);
                }
                StreamOutcome::NotStarted(Response::forwarded(head, body))
            }
        }
    }

    /// Forwards the events of one endpoint.
    async fn forward_events(
        &mut self,
        request: &RoutedRequest,
        mut slot: SlotLease,
        mut pending: PendingResponse,
        (avoid, spec): (&[EndpointId], AttemptSpec),
    ) -> SegmentOutcome {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut has_events = false;
        let outcome = loop {
            bytes.clear();
            let node = self.node.clone();
            let watch = SilenceWatch {
                node: &node,
                request,
                slot: &slot,
                avoid,
                begun: has_events,
                proven: spec.proven || self.last_event.is_some(),
                since: node.clock.now(),
            };
            let reading = async {
                let next = pending.reader.next(&mut pending.pooled.conn, &mut bytes);
                let next = async { Waited::Arrived(next.await) };
                let silent = async {
                    if may_relocate(request) {
                        return Waited::Relocated(watch.until_relocated().await);
                    }
                    watch.until_ended().await;
                    Waited::Ended
                };
                next.or(silent).await
            };
            match self.watch(reading).await {
                WatchOutcome::CallerLeft => break SegmentOutcome::CallerLeft,
                WatchOutcome::TimedOut => break SegmentOutcome::TimedOut,
                WatchOutcome::Done(Waited::Relocated(relocation)) => {
                    break SegmentOutcome::Relocated(relocation);
                }
                WatchOutcome::Done(Waited::Ended) => {
                    break SegmentOutcome::Broken(
                        "endpoint went silent",
                        PlacementOutcome::Unreachable,
                    );
                }
                WatchOutcome::Done(Waited::Arrived(Err(_))) => {
                    break SegmentOutcome::Broken("stream cut", PlacementOutcome::Failed);
                }
                WatchOutcome::Done(Waited::Arrived(Ok(false)))
                    if splitter.is_empty() && has_events =>
                {
                    break SegmentOutcome::Complete;
                }
                WatchOutcome::Done(Waited::Arrived(Ok(false))) => {
                    break SegmentOutcome::Broken("stream cut", PlacementOutcome::Failed);
                }
                WatchOutcome::Done(Waited::Arrived(Ok(true))) => {}
            }
            if watch.is_long() {
                self.node.record_alive(&slot);
            }
            let Ok(events) = splitter.push(&bytes) else {
                break SegmentOutcome::Broken(
                    "event over the size limit",
                    PlacementOutcome::Failed,
                );
            };
            if events.is_empty() {
                continue;
            }
            if has_events {
                slot.next_event();
                if slot.passes_trial() {
                    self.node.record_sound(request, &slot);
                }
            } else {
                has_events = true;
                slot.first_event();
                self.node.count_usage(request);
                if request.route.kind == RouteKind::Resumable {
                    request.set_origin(slot.release.clone());
                    self.node.record_origin(request, &slot);
                }
                let mut progress = request.progress.lock();
                progress
                    .first_event
                    .get_or_insert(self.node.clock.now().since(request.arrived));
            }
            match self.write_events(request, &pending.head, events).await {
                Ok(()) => {}
                Err(outcome) => break outcome,
            }
        };
        let verdict = match outcome {
            SegmentOutcome::Complete => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        match &outcome {
            SegmentOutcome::Complete => {
                request.end_send(verdict, None);
                self.node.record_sound(request, &slot);
                pending.return_connection(self.node, &slot);
                slot.finish(PlacementOutcome::Completed);
            }
            SegmentOutcome::Broken(cause, placement_outcome) => {
                // Closing the connection makes the endpoint stop the run before the next endpoint
                // starts one.
                drop(pending);
                self.node.note_cut(request, &slot, cause);
                request.end_send(verdict, Some(cause));
                slot.finish(*placement_outcome);
            }
            SegmentOutcome::Relocated(relocation) => {
                drop(pending);
                leave(self.node, request, slot, relocation);
            }
            SegmentOutcome::CallerLeft | SegmentOutcome::TimedOut => {}
        }
        outcome
    }

    /// Writes the events that the caller does not have yet.
    async fn write_events(
        &mut self,
        request: &RoutedRequest,
        head: &ResponseHead,
        events: Vec<Event>,
    ) -> Result<(), SegmentOutcome> {
        let mut out = Vec::new();
        let mut body = Vec::new();
        let mut count = 0;
        for event in events {
            let id = event.id();
            let already_sent = id.zip(self.last_event).is_some_and(|(id, last)| id <= last);
            if already_sent {
                self.repeated_bytes += event.raw.len();
                continue;
            }
            let gap = id
                .zip(self.last_event)
                .is_some_and(|(id, last)| id != last + 1);
            if gap {
                return Err(SegmentOutcome::Broken(
                    "event missing",
                    PlacementOutcome::Failed,
                ));
            }
            self.last_event = id.or(self.last_event);
            body.extend_from_slice(&event.raw);
            count += 1;
        }
        if self.repeated_bytes > MAX_REPEATED_BYTES {
            return Err(SegmentOutcome::Broken(
                "too many repeated events",
                PlacementOutcome::Failed,
            ));
        }
        if body.is_empty() {
            return Ok(());
        }
        if !self.started {
            self.started = true;
            let mut head = head.clone();
            head.headers.strip_hop_by_hop();
            head.headers.push("Transfer-Encoding", "chunked");
            add_connection_header(&mut head.headers, self.closes);
            head.write(&mut out);
        }
        out.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        request.progress.lock().events += count;
        let written = timeout(&*self.node.clock, WRITE_TIMEOUT, self.conn.write_all(&out)).await;
        match written {
            Ok(Ok(())) => Ok(()),
            _ => Err(SegmentOutcome::CallerLeft),
        }
    }

    async fn write_end(&mut self) -> StreamOutcome {
        let written = timeout(
            &*self.node.clock,
            WRITE_TIMEOUT,
            self.conn.write_all(b"0\r\n\r\n"),
        )
        .await;
        match written {
            Ok(Ok(())) => StreamOutcome::Complete,
            _ => StreamOutcome::CallerLeft,
        }
    }
}
