//! Streamed answers: token by token, resumed elsewhere when an engine is cut off.

use {
    super::{
        caller::withdrawn,
        headers::ID_HEADER,
        model::{Answer, STREAM_LIMITS, endpoint_failed},
        prompt::Prompt,
        work::Work,
    },
    crate::sched::Lease,
    clock::Stamp,
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

/// Pause between tokens after which an engine counts as failed: this many times the class's target,
/// and at least [`MIN_STALL`].
const STALL_TOKENS: u32 = 50;
/// Time to the first event after which an engine counts as failed: this many times the class's target,
/// and at least [`MIN_FIRST`].
const FIRST_FACTOR: u32 = 5;
const MIN_FIRST: Duration = Duration::from_secs(5);
const MIN_STALL: Duration = Duration::from_secs(3);

/// One streamed answer.
pub(super) struct Streaming {
    work: Work,
    request: Request,
    prompt: Prompt,
    /// Tokens passed to the caller.
    delivered: u64,
    /// When the first of them was passed on, and the last.
    first: Stamp,
    last: Stamp,
}

/// An engine's stream that has given its first events.
struct Source {
    lease: Lease,
    reply: Reply,
    splitter: EventSplitter,
    ready: Vec<Event>,
}

/// How a stream goes on after some events.
enum Step {
    More,
    Done,
}

/// Why a stream ended early.
enum Broken {
    /// The caller is gone.
    Caller,
    /// The engine failed.
    Engine(SendError),
    /// The endpoint is about to be evicted.
    Evicted,
    /// The request is refused.
    Refused(Refusal),
}

impl Streaming {
    /// Waits for the first event, then answers; the rest follows in a task.
    pub(super) async fn start(
        work: Work,
        request: Request,
        prompt: Prompt,
    ) -> Result<Response, Refusal> {
        let last = work.arrived;
        let mut this = Self {
            work,
            request,
            prompt,
            delivered: 0,
            first: last,
            last,
        };
        let source = match this.open().await {
            Ok(Ok(source)) => source,
            Ok(Err(response)) => return Ok(response),
            Err(refusal) => return Ok(this.work.refuse(refusal)),
        };
        let mut response = Response::new(StatusCode::Ok);
        let (sender, body) = body_channel();
        response.set_body(body);
        if let Ok(mime) = Mime::from_str("text/event-stream") {
            response.set_content_type(mime);
        }
        response.insert_header(ID_HEADER, this.work.id.to_string());
        response.insert_header("cache-control", "no-cache");
        let ex = this.work.app.ex.clone();
        ex.spawn(this.run(source, sender)).detach();
        Ok(response)
    }

    /// Opens a stream at some endpoint: retries until one gives events, or refuses.
    async fn open(&mut self) -> Result<Result<Source, Response>, Refusal> {
        loop {
            let lease = self.work.acquire().await?;
            self.work.caller.check()?;
            let failed = match self.first_events(lease).await {
                Ok(opened) => return Ok(opened),
                Err(failed) => failed,
            };
            if !self.work.may_retry() {
                return Err(endpoint_failed(failed));
            }
        }
    }

    async fn first_events(&mut self, lease: Lease) -> Result<Result<Source, Response>, SendError> {
        let sent = self.work.app.clock.now();
        match self.try_open(&lease).await {
            Ok(Ok((mut reply, splitter, ready))) => {
                let now = self.work.app.clock.now();
                lease.first_token(now.since(sent));
                self.last = now;
                reply.set_body_idle(self.stall());
                Ok(Ok(Source {
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
                self.work.failed(endpoint, failed.verdict);
                Err(failed)
            }
        }
    }

    /// Limits until the first event: a hanging engine is given up after some multiple of the target.
    fn limits(&self) -> CallTimeouts {
        let first = self.work.caller.class.targets.first();
        let body_idle = (first * FIRST_FACTOR).clamp(MIN_FIRST, STREAM_LIMITS.body_idle);
        CallTimeouts {
            body_idle,
            ..STREAM_LIMITS
        }
    }

    /// Pause between tokens after which an engine counts as failed.
    fn stall(&self) -> Duration {
        let between = self.work.caller.class.targets.between();
        (between * STALL_TOKENS).max(MIN_STALL)
    }

    async fn try_open(
        &self,
        lease: &Lease,
    ) -> Result<Result<(Reply, EventSplitter, Vec<Event>), Response>, SendError> {
        let work = &self.work;
        let answer = work.ask_engine(
            lease,
            &self.request,
            &self.prompt,
            self.delivered,
            self.limits(),
        );
        let mut reply = match answer.await? {
            Answer::Refused(response) => return Ok(Err(*response)),
            Answer::Given(reply) => *reply,
        };
        let mut splitter = EventSplitter::default();
        loop {
            let events = next_events(&mut reply, &mut splitter).await?;
            if !events.is_empty() {
                return Ok(Ok((reply, splitter, events)));
            }
        }
    }

    /// Passes events on until the stream ends; resumes elsewhere after a failure.
    async fn run(mut self, mut source: Source, sender: BodySender) {
        loop {
            let broken = match self.pass(&mut source, &sender).await {
                Ok(()) => {
                    source.lease.end(RequestOutcome::Completed);
                    self.work.count_served(self.timing());
                    sender.finish().await;
                    return;
                }
                Err(broken) => broken,
            };
            let refusal = match broken {
                Broken::Caller => {
                    self.work.count_broken_off(Tokens(self.delivered));
                    return;
                }
                Broken::Refused(refusal) => {
                    self.work.count_broken_off(Tokens(self.delivered));
                    refusal
                }
                Broken::Evicted => {
                    metrics::counter!("celerystage_moves_total").increment(1);
                    self.work.avoid_next(source.lease.endpoint.clone());
                    source.lease.end(RequestOutcome::Cancelled);
                    match self.reopen().await {
                        Ok(next) => {
                            source = next;
                            continue;
                        }
                        Err(refusal) => refusal,
                    }
                }
                Broken::Engine(failed) => {
                    let endpoint = source.lease.endpoint.clone();
                    source.lease.end(RequestOutcome::Failed);
                    self.work.failed(endpoint, failed.verdict);
                    match self.resume().await {
                        Ok(next) => {
                            source = next;
                            continue;
                        }
                        Err(refusal) => refusal,
                    }
                }
            };
            self.work.count_failed(refusal.reason);
            let _ = sender.send(error_event(&self.work.refusal(refusal))).await;
            return;
        }
    }

    async fn resume(&mut self) -> Result<Source, Refusal> {
        metrics::counter!("celerystage_resumes_total").increment(1);
        if !self.work.may_retry() {
            let message = "the endpoint was cut off, and so were those that took over";
            return Err(Refusal::after(
                Verdict::Ran,
                Reason::EndpointFailed,
                message,
            ));
        }
        self.reopen().await
    }

    /// Opens the rest of the stream at another endpoint.
    async fn reopen(&mut self) -> Result<Source, Refusal> {
        match self.open().await? {
            Ok(source) => Ok(source),
            Err(_) => {
                let message = "no endpoint could resume the answer";
                Err(Refusal::after(
                    Verdict::Ran,
                    Reason::EndpointFailed,
                    message,
                ))
            }
        }
    }

    async fn pass(&mut self, source: &mut Source, sender: &BodySender) -> Result<(), Broken> {
        loop {
            for event in std::mem::take(&mut source.ready) {
                match self.deliver(&source.lease, event, sender).await? {
                    Step::More => {}
                    Step::Done => return Ok(()),
                }
            }
            let revoked = async {
                self.work.caller.withdrawn().await;
                Err(Broken::Refused(withdrawn()))
            };
            let events = async {
                let events = next_events(&mut source.reply, &mut source.splitter).await;
                events.map_err(Broken::Engine)
            };
            let evicted = async {
                self.work.app.evicted(&source.lease.endpoint).await;
                Err(Broken::Evicted)
            };
            source.ready = events.or(revoked).or(evicted).await?;
        }
    }

    async fn deliver(
        &mut self,
        lease: &Lease,
        event: Event,
        sender: &BodySender,
    ) -> Result<Step, Broken> {
        let done = event.is_done();
        if !done && !self.is_own(&event) {
            metrics::counter!("celerystage_crossed_answers_total").increment(1);
            let failed = SendError {
                kind: SendErrorKind::InvalidResponse,
                verdict: Verdict::Ran,
            };
            return Err(Broken::Engine(failed));
        }
        let token = !done && carries_token(&event);
        if !sender.send(event.raw).await {
            return Err(Broken::Caller);
        }
        if token {
            self.delivered += 1;
            let now = self.work.app.clock.now();
            self.work.permit.spend(Tokens(1));
            if self.delivered == 1 {
                self.first = now;
            }
            lease.progress(Tokens(1), now.since(self.last));
            self.last = now;
        }
        Ok(if done { Step::Done } else { Step::More })
    }

    /// Times of the whole answer.
    fn timing(&self) -> ResponseTiming {
        ResponseTiming::Stream {
            first: self.first.since(self.work.arrived),
            rest: self.last.since(self.first),
            tokens: Tokens(self.delivered),
        }
    }

    /// Whether an event names this request, or no request.
    fn is_own(&self, event: &Event) -> bool {
        #[derive(serde::Deserialize)]
        struct Named {
            id: Option<compact_str::CompactString>,
        }
        let Some(data) = event.data() else {
            return true;
        };
        let Ok(named) = serde_json::from_slice::<Named>(data) else {
            return false;
        };
        let own = self.work.id.to_string();
        named.id.is_none_or(|id| id.ends_with(own.as_str()))
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

/// Whether an event carries a token: a choice with a text that is not empty.
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

/// The event that ends an answer early.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    let error = json!({
        "type": refusal.reason.kind(),
        "code": refusal.reason.as_str(),
        "message": refusal.message.as_str(),
        "verdict": refusal.verdict.as_str(),
    });
    format!("event: error\ndata: {}\n\n", json!({ "error": error })).into_bytes()
}
