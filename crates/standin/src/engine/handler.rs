//! The engine's HTTP interface.

use {
    super::{
        batch::Batch,
        control::{EngineCommand, EngineSettings, ExecutedCompletion},
        prompt::Prompt,
        text::token_text,
    },
    crate::reply::{body, empty, header},
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
/// Share of the prompt's reading time that a cached start saves.
const CACHED_SAVES: f64 = 0.8;
const HANG_POLL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Faults {
    slowdown: f64,
    cut_after: Option<u64>,
    fail: bool,
    cross: bool,
    hang: bool,
}

impl Default for Faults {
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
    faults: Arc<Mutex<Faults>>,
    record: Arc<Mutex<Vec<ExecutedCompletion>>>,
}

/// One answer in the making.
struct Run {
    engine: Engine,
    id: RequestId,
    prompt: Prompt,
    /// Place in the record.
    at: usize,
}

impl Engine {
    /// An idle engine.
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

    async fn answer(&self, mut request: Request) -> Response {
        match request.url().path() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request).await,
            "/load" => {
                let (running, waiting) = (self.batch.running(), self.batch.waiting());
                json_response(200, &json!({ "running": running, "waiting": waiting }))
            }
            "/control" => match body(&mut request).await {
                Some(control) => self.control(&control),
                None => empty(400),
            },
            "/record" => json_response(200, &*self.record.lock()),
            _ => empty(404),
        }
    }

    fn control(&self, control: &EngineCommand) -> Response {
        let mut faults = self.faults.lock();
        match *control {
            EngineCommand::Slow(factor) => faults.slowdown = factor,
            EngineCommand::CutAfter(tokens) => faults.cut_after = tokens,
            EngineCommand::Fail(on) => faults.fail = on,
            EngineCommand::Cross(on) => faults.cross = on,
            EngineCommand::Hang(on) => faults.hang = on,
        }
        empty(200)
    }

    async fn complete(&self, mut request: Request) -> Response {
        let id = header(&request, ID_HEADER).and_then(|v| v.parse().ok());
        let Some(id) = id else { return empty(400) };
        let headers = request
            .iter()
            .map(|(n, v)| (n.as_str().into(), v.as_str().into()));
        let headers = headers.collect();
        let Some(prompt) = body::<Prompt>(&mut request).await else {
            return empty(400);
        };
        if self.faults.lock().fail {
            return empty(500);
        }
        let at = self.start_record(id, headers, prompt.resume_from);
        let run = Run {
            engine: self.clone(),
            id,
            prompt,
            at,
        };
        if run.prompt.stream {
            run.stream()
        } else {
            run.whole().await
        }
    }

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

    fn shown_id(&self, id: RequestId) -> RequestId {
        if self.faults.lock().cross {
            RequestId::from_bits(!id.bits())
        } else {
            id
        }
    }
}

impl Run {
    fn response(&self) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(ID_HEADER, self.engine.shown_id(self.id).to_string());
        response
    }

    fn stream(self) -> Response {
        let mut response = self.response();
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

    async fn prefill(&self) {
        let engine = &self.engine;
        let cached = engine.batch.touch_cache(self.prompt.prefix());
        let slowdown = engine.faults.lock().slowdown;
        let full = engine.profile.prefill(self.prompt.tokens(), slowdown);
        let time = if cached {
            full.mul_f64(1.0 - CACHED_SAVES)
        } else {
            full
        };
        engine.clock.sleep(time).await;
    }

    async fn step(&self) {
        let engine = &self.engine;
        while engine.faults.lock().hang {
            engine.clock.sleep(HANG_POLL).await;
        }
        let slowdown = engine.faults.lock().slowdown;
        engine
            .clock
            .sleep(engine.profile.step(engine.batch.running(), slowdown))
            .await;
        engine.record.lock()[self.at].generated += 1;
    }

    async fn generate(self, sender: BodySender) {
        let _place = self.engine.batch.enter(self.prompt.priority).await;
        self.prefill().await;
        let total = self.prompt.answer_tokens();
        for index in self.prompt.resume_from..total {
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
            if !sender.send(self.event(index)).await {
                return;
            }
        }
        sender.send(self.last_event(total)).await;
        sender.send(b"data: [DONE]\n\n".to_vec()).await;
        self.engine.record.lock()[self.at].finished = true;
        sender.finish().await;
    }

    fn event(&self, index: u64) -> Vec<u8> {
        let id = self.engine.shown_id(self.id);
        let delta = json!({ "content": token_text(id, index) });
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
        let chunk = json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion.chunk",
            "model": self.prompt.model,
            "choices": [choice],
        });
        format!("data: {chunk}\n\n").into_bytes()
    }

    fn last_event(&self, total: u64) -> Vec<u8> {
        let id = self.engine.shown_id(self.id);
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
        let chunk = json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion.chunk",
            "model": self.prompt.model,
            "choices": [choice],
            "usage": { "prompt_tokens": self.prompt.tokens(), "completion_tokens": total },
        });
        format!("data: {chunk}\n\n").into_bytes()
    }

    async fn whole(self) -> Response {
        let _place = self.engine.batch.enter(self.prompt.priority).await;
        self.prefill().await;
        let total = self.prompt.answer_tokens();
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
            text.push_str(&token_text(self.engine.shown_id(self.id), index));
        }
        self.engine.record.lock()[self.at].finished = true;
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let answer = json!({
            "id": format!("chatcmpl-{}", self.engine.shown_id(self.id)),
            "object": "chat.completion",
            "model": self.prompt.model,
            "choices": [choice],
            "usage": { "prompt_tokens": self.prompt.tokens(), "completion_tokens": total },
        });
        let mut response = json_response(200, &answer);
        response.insert_header(ID_HEADER, self.engine.shown_id(self.id).to_string());
        response
    }
}

impl Handler for Engine {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}
