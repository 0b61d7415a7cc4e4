//! Streamed responses (server-sent events). A stream that its engine cuts off is resumed at another
//! endpoint from the last delivered token.

use {
    super::{
        caller::key_withdrawn,
        completion::CompletionRequest,
        context::RequestContext,
        headers::ID_HEADER,
        model::{EngineReply, STREAM_TIMEOUTS, failure_refusal},
    },
    crate::sched::SlotLease,
    clock::Instant,
    futures_lite::FutureExt,
    http_types::{Mime, Request, Response, StatusCode},
    route::RequestOutcome,
    serde_json::json,
    slo::ResponseTiming,
    std::{str::FromStr, time::Duration},
    types::{Reason, Refusal, Tokens, Verdict},
    wire::{
        BodySender, CallTimeouts, Event, EventSplitter, Reply, SendError, SendErrorKind,
        body_channel,
    },
};

/// An engine counts as failed after a pause between tokens of this many times the class's target,
/// and at least [`MIN_STALL`].
const STALL_FACTOR: u32 = 50;
/// An engine counts as failed if its first event takes this many times the class's target, and at
/// least [`MIN_FIRST_EVENT`].
const FIRST_EVENT_FACTOR: u32 = 5;
const MIN_FIRST_EVENT: Duration = Duration::from_secs(5);
const MIN_STALL: Duration = Duration::from_secs(3);

/// A streamed response and its progress.
pub(super) struct StreamingResponse {
    ctx: RequestContext,
    request: Request,
    completion: CompletionRequest,
    /// Tokens delivered to the caller.
    delivered: u64,
    /// When the first and the last of these tokens were delivered.
    first_at: Instant,
    last_at: Instant,
}

/// An engine's open stream and the events read from it that are not delivered yet.
struct EngineStream {
    lease: SlotLease,
    reply: Reply,
    splitter: EventSplitter,
    ready: Vec<Event>,
}

/// Whether more events follow a delivered one.
enum Delivery {
    More,
    Done,
}

/// Why a stream was interrupted.
enum Interruption {
    /// The caller closed the connection.
    CallerGone,
    /// The engine failed.
    EngineFailed(SendError),
    /// The endpoint is about to be evicted.
    Evicted,
    /// The request was refused while it ran.
    Refused(Refusal),
}

impl StreamingResponse {
    /// Opens the stream at an engine and returns the response; a detached task forwards the events.
    pub(super) async fn start(
        ctx: RequestContext,
        request: Request,
        completion: CompletionRequest,
    ) -> Result<Response, Refusal> {
        let arrived = ctx.arrived;
        let mut streaming = Self {
            ctx,
            request,
            completion,
            delivered: 0,
            first_at: arrived,
            last_at: arrived,
        };
        let stream = match streaming.open_stream().await {
            Ok(Ok(stream)) => stream,
            Ok(Err(response)) => return Ok(response),
            Err(refusal) => return Ok(streaming.ctx.refuse(refusal)),
        };
        let mut response = Response::new(StatusCode::Ok);
        let (sender, body) = body_channel();
        response.set_body(body);
        if let Ok(mime) = Mime::from_str("text/event-stream") {
            response.set_content_type(mime);
        }
        response.insert_header(ID_HEADER, streaming.ctx.id.to_string());
        response.insert_header("cache-control", "no-cache");
        let ex = streaming.ctx.app.ex.clone();
        ex.spawn(streaming.run(stream, sender)).detach();
        Ok(response)
    }

    /// Opens a stream at an endpoint, with retries. The inner `Err` is a response by which an
    /// engine rejected the request.
    async fn open_stream(&mut self) -> Result<Result<EngineStream, Response>, Refusal> {
        loop {
            let lease = self.ctx.acquire().await?;
            self.ctx.caller.check_key()?;
            let failed = match self.first_events(lease).await {
                Ok(opened) => return Ok(opened),
                Err(failed) => failed,
            };
            if !self.ctx.may_retry() {
                return Err(failure_refusal(failed));
            }
        }
    }

    async fn first_events(
        &mut self,
        lease: SlotLease,
    ) -> Result<Result<EngineStream, Response>, SendError> {
        let sent = self.ctx.app.clock.now();
        match self.try_open(&lease).await {
            Ok(Ok((mut reply, splitter, ready))) => {
                let now = self.ctx.app.clock.now();
                lease.record_first_token(now.since(sent));
                self.last_at = now;
                reply.set_body_idle(self.stall_limit());
                Ok(Ok(EngineStream {
                    lease,
                    reply,
                    splitter,
                    ready,
                }))
            }
            Ok(Err(response)) => {
                lease.end(RequestOutcome::Completed);
                Ok(Err(response))
            }
            Err(failed) => {
                let endpoint = lease.endpoint.clone();
                lease.end(RequestOutcome::Failed);
                self.ctx.record_failure(endpoint, failed.verdict);
                Err(failed)
            }
        }
    }

    /// Time limits that apply until the first event.
    fn first_event_timeouts(&self) -> CallTimeouts {
        let first = self.ctx.caller.class.targets.first_token();
        let body_idle =
            (first * FIRST_EVENT_FACTOR).clamp(MIN_FIRST_EVENT, STREAM_TIMEOUTS.body_idle);
        CallTimeouts {
            body_idle,
            ..STREAM_TIMEOUTS
        }
    }

    /// Longest pause between tokens before the engine counts as failed.
    fn stall_limit(&self) -> Duration {
        let between = self.ctx.caller.class.targets.inter_token();
        (between * STALL_FACTOR).max(MIN_STALL)
    }

    async fn try_open(
        &self,
        lease: &SlotLease,
    ) -> Result<Result<(Reply, EventSplitter, Vec<Event>), Response>, SendError> {
        let ctx = &self.ctx;
        let call = ctx.call_engine(
            lease,
            &self.request,
            &self.completion,
            self.delivered,
            self.first_event_timeouts(),
        );
        let mut reply = match call.await? {
            EngineReply::Rejected(response) => return Ok(Err(*response)),
            EngineReply::Accepted(reply) => *reply,
        };
        let mut splitter = EventSplitter::default();
        loop {
            let events = next_events(&mut reply, &mut splitter).await?;
            if !events.is_empty() {
                return Ok(Ok((reply, splitter, events)));
            }
        }
    }

    /// Forwards events until the stream ends. After an interruption by the engine or an eviction,
    /// continues at another endpoint.
    async fn run(mut self, mut stream: EngineStream, sender: BodySender) {
        loop {
            let interruption = match self.forward_events(&mut stream, &sender).await {
                Ok(()) => {
                    stream.lease.end(RequestOutcome::Completed);
                    self.ctx.count_served(self.timing());
                    sender.finish().await;
                    return;
                }
                Err(interruption) => interruption,
            };
            let refusal = match interruption {
                Interruption::CallerGone => {
                    self.ctx.count_partial(Tokens(self.delivered));
                    return;
                }
                Interruption::Refused(refusal) => {
                    self.ctx.count_partial(Tokens(self.delivered));
                    refusal
                }
                Interruption::Evicted => {
                    metrics::counter!("celerystage_moves_total").increment(1);
                    self.ctx.avoid_endpoint(stream.lease.endpoint.clone());
                    stream.lease.end(RequestOutcome::Cancelled);
                    match self.reopen().await {
                        Ok(next) => {
                            stream = next;
                            continue;
                        }
                        Err(refusal) => refusal,
                    }
                }
                Interruption::EngineFailed(failed) => {
                    let endpoint = stream.lease.endpoint.clone();
                    stream.lease.end(RequestOutcome::Failed);
                    self.ctx.record_failure(endpoint, failed.verdict);
                    match self.resume().await {
                        Ok(next) => {
                            stream = next;
                            continue;
                        }
                        Err(refusal) => refusal,
                    }
                }
            };
            self.ctx.count_failed(refusal.reason);
            let _ = sender
                .send(error_event(&self.ctx.with_attempt_verdict(refusal)))
                .await;
            return;
        }
    }

    /// Resumes the stream after an engine failure, if a retry is allowed.
    async fn resume(&mut self) -> Result<EngineStream, Refusal> {
        metrics::counter!("celerystage_resumes_total").increment(1);
        if !self.ctx.may_retry() {
            let message = "the endpoint was cut off, and so were those that took over";
            return Err(Refusal::with_verdict(
                Verdict::Ran,
                Reason::EndpointFailed,
                message,
            ));
        }
        self.reopen().await
    }

    /// Opens the rest of the stream at another endpoint.
    async fn reopen(&mut self) -> Result<EngineStream, Refusal> {
        match self.open_stream().await? {
            Ok(stream) => Ok(stream),
            Err(_) => {
                let message = "no endpoint could resume the answer";
                Err(Refusal::with_verdict(
                    Verdict::Ran,
                    Reason::EndpointFailed,
                    message,
                ))
            }
        }
    }

    async fn forward_events(
        &mut self,
        stream: &mut EngineStream,
        sender: &BodySender,
    ) -> Result<(), Interruption> {
        loop {
            for event in std::mem::take(&mut stream.ready) {
                match self.deliver(&stream.lease, event, sender).await? {
                    Delivery::More => {}
                    Delivery::Done => return Ok(()),
                }
            }
            let withdrawn = async {
                self.ctx.caller.wait_withdrawn().await;
                Err(Interruption::Refused(key_withdrawn()))
            };
            let events = async {
                let events = next_events(&mut stream.reply, &mut stream.splitter).await;
                events.map_err(Interruption::EngineFailed)
            };
            let evicted = async {
                self.ctx.app.wait_evicted(&stream.lease.endpoint).await;
                Err(Interruption::Evicted)
            };
            stream.ready = events.or(withdrawn).or(evicted).await?;
        }
    }

    async fn deliver(
        &mut self,
        lease: &SlotLease,
        event: Event,
        sender: &BodySender,
    ) -> Result<Delivery, Interruption> {
        let done = event.is_done();
        if !done && !self.belongs_to_request(&event) {
            metrics::counter!("celerystage_crossed_answers_total").increment(1);
            let failed = SendError {
                kind: SendErrorKind::InvalidResponse,
                verdict: Verdict::Ran,
            };
            return Err(Interruption::EngineFailed(failed));
        }
        let has_token = !done && carries_token(&event);
        if !sender.send(event.raw).await {
            return Err(Interruption::CallerGone);
        }
        if has_token {
            self.delivered += 1;
            let now = self.ctx.app.clock.now();
            self.ctx.permit.charge(Tokens(1));
            if self.delivered == 1 {
                self.first_at = now;
            }
            lease.record_progress(Tokens(1), now.since(self.last_at));
            self.last_at = now;
        }
        Ok(if done { Delivery::Done } else { Delivery::More })
    }

    /// Latency figures of the complete response.
    fn timing(&self) -> ResponseTiming {
        ResponseTiming::Stream {
            first: self.first_at.since(self.ctx.arrived),
            rest: self.last_at.since(self.first_at),
            tokens: Tokens(self.delivered),
        }
    }

    /// Whether an event carries this request's id, or none.
    fn belongs_to_request(&self, event: &Event) -> bool {
        #[derive(serde::Deserialize)]
        struct EventId {
            id: Option<compact_str::CompactString>,
        }
        let Some(data) = event.data() else {
            return true;
        };
        let Ok(event_id) = serde_json::from_slice::<EventId>(data) else {
            return false;
        };
        let own = self.ctx.id.to_string();
        event_id.id.is_none_or(|id| id.ends_with(own.as_str()))
    }
}

async fn next_events(
    reply: &mut Reply,
    splitter: &mut EventSplitter,
) -> Result<Vec<Event>, SendError> {
    let failed = |kind| SendError {
        kind,
        verdict: Verdict::Ran,
    };
    match reply.next_chunk().await {
        Ok(Some(bytes)) => splitter
            .push(&bytes)
            .map_err(|_| failed(SendErrorKind::InvalidResponse)),
        Ok(None) => Err(failed(SendErrorKind::BodyTruncated)),
        Err(e) => Err(failed(e.kind)),
    }
}

/// Whether an event carries a token: a choice with non-empty text.
fn carries_token(event: &Event) -> bool {
    #[derive(serde::Deserialize)]
    struct Chunk {
        #[serde(default)]
        choices: Vec<Choice>,
    }
    #[derive(serde::Deserialize)]
    struct Choice {
        #[serde(default)]
        delta: Delta,
        #[serde(default)]
        text: Option<compact_str::CompactString>,
    }
    #[derive(Default, serde::Deserialize)]
    struct Delta {
        #[serde(default)]
        content: Option<compact_str::CompactString>,
    }
    let chunk: Option<Chunk> = event.data().and_then(|d| serde_json::from_slice(d).ok());
    chunk.is_some_and(|c| {
        c.choices.iter().any(|choice| {
            let text = choice.delta.content.as_ref().or(choice.text.as_ref());
            text.is_some_and(|t| !t.is_empty())
        })
    })
}

/// The event that reports an error to the caller in an open stream.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    let error = json!({
        "type": refusal.reason.error_type(),
        "code": refusal.reason.as_str(),
        "message": refusal.message.as_str(),
        "verdict": refusal.verdict.as_str(),
    });
    format!("event: error\ndata: {}\n\n", json!({ "error": error })).into_bytes()
}
