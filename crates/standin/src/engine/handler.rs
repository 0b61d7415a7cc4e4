//! HTTP interface of the stand-in engine.

use {
    super::{
        batch::Batch,
        completion::CompletionRequest,
        control::{EngineCommand, EngineSettings, ExecutedCompletion},
        text::token_text,
    },
    crate::http::{empty_response, header_value, parse_body},
    async_executor::Executor,
    clock::SharedClock,
    http_types::{Mime, Request, Response, StatusCode},
    parking_lot::Mutex,
    serde_json::json,
    std::{future::pending, str::FromStr, sync::Arc, time::Duration},
    types::RequestId,
    wire::{BodySender, Handler, ResponseFuture, body_channel, json_response},
};

const ID_HEADER: &str = "x-request-id";
/// Fraction of the prefill time that a cached prefix saves.
const CACHED_PREFILL_SAVING: f64 = 0.8;
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct EngineFaults {
    slowdown: f64,
    cut_after: Option<u64>,
    fail: bool,
    cross: bool,
    hang: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            cut_after: None,
            fail: false,
            cross: false,
            hang: false,
        }
    }
}

/// The stand-in engine.
#[derive(Clone)]
pub struct Engine {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    profile: EngineSettings,
    batch: Arc<Batch>,
    faults: Arc<Mutex<EngineFaults>>,
    record: Arc<Mutex<Vec<ExecutedCompletion>>>,
}

/// A request that is being executed.
struct Generation {
    engine: Engine,
    id: RequestId,
    completion: CompletionRequest,
    /// Index in the engine's record.
    record_index: usize,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(clock: SharedClock, ex: Arc<Executor<'static>>, profile: EngineSettings) -> Self {
        Self {
            clock,
            ex,
            profile,
            batch: Batch::new(profile),
            faults: Arc::default(),
            record: Arc::default(),
        }
    }

    async fn respond(&self, mut request: Request) -> Response {
        match request.url().path() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request).await,
            "/load" => {
                let (running, waiting) = (self.batch.running(), self.batch.waiting());
                json_response(200, &json!({ "running": running, "waiting": waiting }))
            }
            "/control" => match parse_body(&mut request).await {
                Some(command) => self.apply(&command),
                None => empty_response(400),
            },
            "/record" => json_response(200, &*self.record.lock()),
            _ => empty_response(404),
        }
    }

    fn apply(&self, command: &EngineCommand) -> Response {
        let mut faults = self.faults.lock();
        match *command {
            EngineCommand::Slow(factor) => faults.slowdown = factor,
            EngineCommand::CutAfter(tokens) => faults.cut_after = tokens,
            EngineCommand::Fail(on) => faults.fail = on,
            EngineCommand::Cross(on) => faults.cross = on,
            EngineCommand::Hang(on) => faults.hang = on,
        }
        empty_response(200)
    }

    async fn complete(&self, mut request: Request) -> Response {
        let id = header_value(&request, ID_HEADER).and_then(|v| v.parse().ok());
        let Some(id) = id else {
            return empty_response(400);
        };
        let headers = request
            .iter()
            .map(|(n, v)| (n.as_str().into(), v.as_str().into()));
        let headers = headers.collect();
        let Some(completion) = parse_body::<CompletionRequest>(&mut request).await else {
            return empty_response(400);
        };
        if self.faults.lock().fail {
            return empty_response(500);
        }
        let record_index = self.start_record(id, headers, completion.resume_from);
        let generation = Generation {
            engine: self.clone(),
            id,
            completion,
            record_index,
        };
        if generation.completion.stream {
            generation.respond_with_stream()
        } else {
            generation.respond_without_stream().await
        }
    }

    /// Adds a request to the record and returns its index.
    fn start_record(
        &self,
        id: RequestId,
        headers: Vec<(compact_str::CompactString, compact_str::CompactString)>,
        resumed_from: u64,
    ) -> usize {
        let mut record = self.record.lock();
        record.push(ExecutedCompletion {
            id,
            headers,
            resumed_from,
            generated: 0,
            finished: false,
        });
        record.len() - 1
    }

    /// Id that the response to request `id` carries: another one if responses are crossed.
    fn response_id(&self, id: RequestId) -> RequestId {
        if self.faults.lock().cross {
            RequestId::from_bits(!id.bits())
        } else {
            id
        }
    }
}

impl Generation {
    /// A response with the id header and no body yet.
    fn response_head(&self) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(ID_HEADER, self.engine.response_id(self.id).to_string());
        response
    }

    /// Responds with a stream of events and generates them in a task of its own.
    fn respond_with_stream(self) -> Response {
        let mut response = self.response_head();
        let (sender, body) = body_channel();
        response.set_body(body);
        if let Ok(mime) = Mime::from_str("text/event-stream") {
            response.set_content_type(mime);
        }
        let ex = self.engine.ex.clone();
        ex.spawn(async move { self.generate(sender).await })
            .detach();
        response
    }

    /// Waits for the prefill time of the prompt.
    async fn prefill(&self) {
        let engine = &self.engine;
        let cached = engine.batch.touch_cache(self.completion.prefix_hash());
        let slowdown = engine.faults.lock().slowdown;
        let full = engine
            .profile
            .prefill(self.completion.prompt_tokens(), slowdown);
        let time = if cached {
            full.mul_f64(1.0 - CACHED_PREFILL_SAVING)
        } else {
            full
        };
        engine.clock.sleep(time).await;
    }

    /// Waits for the time of one decoding step, and records one generated token.
    async fn step(&self) {
        let engine = &self.engine;
        while engine.faults.lock().hang {
            engine.clock.sleep(HANG_POLL_INTERVAL).await;
        }
        let slowdown = engine.faults.lock().slowdown;
        engine
            .clock
            .sleep(engine.profile.step(engine.batch.running(), slowdown))
            .await;
        engine.record.lock()[self.record_index].generated += 1;
    }

    /// Generates the tokens after those that the caller has, as events.
    async fn generate(self, sender: BodySender) {
        let _slot = self
            .engine
            .batch
            .acquire_slot(self.completion.priority)
            .await;
        self.prefill().await;
        let total = self.completion.response_tokens();
        for index in self.completion.resume_from..total {
            if self
                .engine
                .faults
                .lock()
                .cut_after
                .is_some_and(|n| index >= n)
            {
                return;
            }
            self.step().await;
            if !sender.send(self.token_event(index)).await {
                return;
            }
        }
        sender.send(self.last_event(total)).await;
        sender.send(b"data: [DONE]\n\n".to_vec()).await;
        self.engine.record.lock()[self.record_index].finished = true;
        sender.finish().await;
    }

    /// Event of the token at `index`.
    fn token_event(&self, index: u64) -> Vec<u8> {
        let id = self.engine.response_id(self.id);
        let delta = json!({ "content": token_text(id, index) });
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
        let chunk = json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion.chunk",
            "model": self.completion.model,
            "choices": [choice],
        });
        format!("data: {chunk}\n\n").into_bytes()
    }

    /// Event that ends the stream and reports the token counts.
    fn last_event(&self, total: u64) -> Vec<u8> {
        let id = self.engine.response_id(self.id);
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
        let chunk = json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion.chunk",
            "model": self.completion.model,
            "choices": [choice],
            "usage": { "prompt_tokens": self.completion.prompt_tokens(), "completion_tokens": total },
        });
        format!("data: {chunk}\n\n").into_bytes()
    }

    /// Generates all tokens and responds with them in one body.
    async fn respond_without_stream(self) -> Response {
        let _slot = self
            .engine
            .batch
            .acquire_slot(self.completion.priority)
            .await;
        self.prefill().await;
        let total = self.completion.response_tokens();
        let mut text = String::new();
        for index in 0..total {
            if self
                .engine
                .faults
                .lock()
                .cut_after
                .is_some_and(|n| index >= n)
            {
                return pending().await;
            }
            self.step().await;
            text.push_str(&token_text(self.engine.response_id(self.id), index));
        }
        self.engine.record.lock()[self.record_index].finished = true;
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let response_body = json!({
            "id": format!("chatcmpl-{}", self.engine.response_id(self.id)),
            "object": "chat.completion",
            "model": self.completion.model,
            "choices": [choice],
            "usage": { "prompt_tokens": self.completion.prompt_tokens(), "completion_tokens": total },
        });
        let mut response = json_response(200, &response_body);
        response.insert_header(ID_HEADER, self.engine.response_id(self.id).to_string());
        response
    }
}

impl Handler for Engine {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.respond(request))
    }
}
