//! The caller's side of a stream: events are forwarded as they arrive.

use {
    super::{
        attempt::AttemptSpec,
        close_check::CloseCheck,
        path::PendingResponse,
        response::{Response, add_connection_header},
        routed_request::{RoutedRequest, StreamOrigin},
        silence_watch::{Relocation, SilenceWatch},
        slot_lease::SlotLease,
        stream::StreamOutcome,
    },
    crate::{configuration::RouteKind, process::Node},
    clock::{Instant, timeout},
    futures_lite::FutureExt,
    h1::{Conn, Event, EventSplitter, ResponseHead},
    route::PlacementOutcome,
    std::{future::Future, sync::Arc, time::Duration},
    types::{EndpointId, Refusal, Verdict},
};

/// Timeout of a write to the caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes of events that the caller already has: more than a resumed stream repeats.
const MAX_REPEATED_BYTES: usize = 1024 * 1024;

/// Cause of the failure of a stream whose origin could not be logged.
pub(super) const UNLOGGED: &str = "origin of the stream not logged";

/// Media type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// The caller's side of a stream.
pub(super) struct CallerStream<'a> {
    pub(super) conn: &'a mut Conn,
    pub(super) node: &'a Arc<Node>,
    pub(super) deadline: Instant,
    /// Whether the connection is closed after the stream.
    pub(super) closes: bool,
    /// Whether the head was sent.
    pub(super) started: bool,
    /// Id of the last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Bytes of events that were skipped because the caller has them.
    pub(super) repeated_bytes: usize,
}

/// Result of work that ends early if the caller leaves or the request times out.
pub(super) enum WatchOutcome<T> {
    Done(T),
    CallerLeft,
    TimedOut,
}

/// How the part of a stream that one endpoint sent has ended.
pub(super) enum SegmentOutcome {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(&'static str, PlacementOutcome),
    /// The endpoint went silent, and the stream goes on at another one.
    Relocated(Box<Relocation>),
    /// The origin of a new stream could not be logged; nothing was sent to the caller.
    Unlogged,
}

/// What a request to an endpoint has come to.
pub(super) enum Waited<T> {
    /// The endpoint sent something.
    Arrived(T),
    /// The endpoint is silent, and the request goes on at another one.
    Relocated(Box<Relocation>),
    /// The endpoint has ended without a word.
    Ended,
}

/// Whether the request may go on at another endpoint while the one in progress is silent.
pub(super) fn may_relocate(request: &RoutedRequest) -> bool {
    request.route.kind == RouteKind::Resumable && request.sends() + 1 < request.route.attempts
}

/// Ends the attempt at a silent endpoint.
pub(super) fn leave(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: SlotLease,
    relocation: &Relocation,
) {
    node.note_cut(request, &slot, relocation.cause);
    request.end_send(Verdict::MayHaveRun, Some(relocation.cause));
    slot.finish(relocation.outcome);
}

/// Whether a response says that its body is no event stream.
fn names_other_type(head: &ResponseHead) -> bool {
    let named = head.headers.get("content-type");
    let essence = named.and_then(|t| t.split(';').next());
    essence.is_some_and(|t| !t.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

impl CallerStream<'_> {
    /// Runs `work` until it is done, the caller leaves or the request times out.
    pub(super) async fn watch<T>(&mut self, work: impl Future<Output = T>) -> WatchOutcome<T> {
        let remaining = self.deadline.since(self.node.clock.now());
        let done = async { WatchOutcome::Done(work.await) };
        let caller_left = async {
            self.conn.wait_closed().await;
            WatchOutcome::CallerLeft
        };
        let watched = timeout(&*self.node.clock, remaining, done.or(caller_left)).await;
        watched.unwrap_or(WatchOutcome::TimedOut)
    }

    pub(super) fn fail(&self, refusal: Refusal) -> StreamOutcome {
        if self.started {
            return StreamOutcome::Broken(refusal);
        }
        StreamOutcome::NotStarted(Response::refusal(refusal))
    }

    /// Forwards a response that is not a stream, such as an error, to a caller that has nothing yet.
    pub(super) async fn forward_response(
        &mut self,
        request: &RoutedRequest,
        slot: SlotLease,
        pending: PendingResponse,
    ) -> StreamOutcome {
        let node = self.node.clone();
        // A failure that doesn't say "not run" ran as well.
        node.count_usage(request);
        let read = self
            .watch(pending.read_checked(&node, &slot, request))
            .await;
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
                StreamOutcome::NotStarted(Response::forwarded(head, body))
            }
        }
    }

    /// Forwards the events of one endpoint.
    pub(super) async fn forward_events(
        &mut self,
        request: &RoutedRequest,
        mut slot: SlotLease,
        mut pending: PendingResponse,
        (avoid, spec): (&[EndpointId], AttemptSpec),
    ) -> SegmentOutcome {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut has_events = false;
        let mut is_done = false;
        // Bytes that complete no event don't count: a stalled stream may send some now and then.
        let mut since = self.node.clock.now();
        let resumes_after = self.last_event;
        let is_misfit = resumes_after.is_some() && names_other_type(&pending.head);
        let outcome = loop {
            if is_misfit {
                break SegmentOutcome::Broken("no event stream", PlacementOutcome::Failed);
            }
            bytes.clear();
            let node = self.node.clone();
            let watch = SilenceWatch {
                node: &node,
                request,
                slot: &slot,
                avoid,
                begun: has_events,
                proven: spec.proven || self.last_event.is_some(),
                since,
            };
            // Any other end is that of a broken stream, or is marked by an event.
            let is_open = has_events && splitter.is_empty() && !is_done;
            let check =
                is_open.then(|| CloseCheck::new(&node, slot.target.addr, &request.caller.id));
            let reading = async {
                let next = pending.next(check, &mut bytes);
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
            if pending.path.carrier().is_none() {
                self.node.record_heard();
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
            since = self.node.clock.now();
            is_done = events.last().is_some_and(Event::is_done);
            let is_new = request.origin() == StreamOrigin::New;
            if !has_events && is_new && request.route.kind == RouteKind::Resumable {
                match self.watch(node.await_logged(request, &slot)).await {
                    WatchOutcome::CallerLeft => break SegmentOutcome::CallerLeft,
                    WatchOutcome::TimedOut => break SegmentOutcome::TimedOut,
                    WatchOutcome::Done(false) => break SegmentOutcome::Unlogged,
                    WatchOutcome::Done(true) => {}
                }
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
            let written = self.write_events(request, &pending.head, events, resumes_after);
            match written.await {
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
                pending.return_connection(self.node, slot.target.addr);
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
            SegmentOutcome::Unlogged => {
                drop(pending);
                request.end_send(verdict, Some(UNLOGGED));
                slot.finish(PlacementOutcome::Completed);
            }
            SegmentOutcome::CallerLeft | SegmentOutcome::TimedOut => {}
        }
        outcome
    }

    /// Writes the events that the caller does not have yet. Those of a resumed stream need ids: anything else
    /// may be the text of an error.
    async fn write_events(
        &mut self,
        request: &RoutedRequest,
        head: &ResponseHead,
        events: Vec<Event>,
        resumes_after: Option<u64>,
    ) -> Result<(), SegmentOutcome> {
        let mut body = Vec::new();
        let mut count = 0;
        let mut invalid = None;
        for event in events {
            match self.check_event(&event, resumes_after) {
                Ok(true) => {
                    self.last_event = event.id().or(self.last_event);
                    body.extend_from_slice(&event.raw);
                    count += 1;
                }
                Ok(false) => {}
                Err(cause) => {
                    invalid = Some(SegmentOutcome::Broken(cause, PlacementOutcome::Failed));
                    break;
                }
            }
        }
        if !body.is_empty() {
            request.progress.lock().events += count;
            self.write_body(head, &body).await?;
        }
        invalid.map_or(Ok(()), Err)
    }

    /// Whether an event is the next one; `false` if the caller has it.
    fn check_event(
        &mut self,
        event: &Event,
        resumes_after: Option<u64>,
    ) -> Result<bool, &'static str> {
        let id = event.id();
        if resumes_after.is_some() && id.is_none() && !event.is_done() && !event.is_comment() {
            return Err("event without an id");
        }
        let Some((id, last)) = id.zip(self.last_event) else {
            return Ok(true);
        };
        if resumes_after.is_some_and(|after| id <= after) {
            return Err("stream began anew");
        }
        if id <= last {
            self.repeated_bytes += event.raw.len();
            if self.repeated_bytes > MAX_REPEATED_BYTES {
                return Err("too many repeated events");
            }
            return Ok(false);
        }
        if id != last + 1 {
            return Err("event missing");
        }
        Ok(true)
    }

    /// Writes a chunk of the stream, after its head if that wasn't sent.
    async fn write_body(&mut self, head: &ResponseHead, body: &[u8]) -> Result<(), SegmentOutcome> {
        let mut out = Vec::new();
        if !self.started {
            self.started = true;
            let mut head = head.clone();
            head.headers.strip_hop_by_hop();
            head.headers.push("Transfer-Encoding", "chunked");
            add_connection_header(&mut head.headers, self.closes);
            head.write(&mut out);
        }
        out.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
        out.extend_from_slice(body);
        out.extend_from_slice(b"\r\n");
        let written = timeout(&*self.node.clock, WRITE_TIMEOUT, self.conn.write_all(&out)).await;
        match written {
            Ok(Ok(())) => Ok(()),
            _ => Err(SegmentOutcome::CallerLeft),
        }
    }

    pub(super) async fn write_end(&mut self) -> StreamOutcome {
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
