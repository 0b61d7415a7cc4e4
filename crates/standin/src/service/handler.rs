//! HTTP interface of the stand-in service.

use {
    super::control::{ExecutedRequest, ServiceCommand},
    crate::http::{empty_response, header_value, parse_body},
    clock::SharedClock,
    http_types::{Request, Response},
    parking_lot::Mutex,
    serde_json::json,
    std::{future::pending, time::Duration},
    types::RequestId,
    wire::{Handler, ResponseFuture, json_response},
};

const ID_HEADER: &str = "x-request-id";
/// Content of a crossed response, in place of the request's own body.
const CROSSED_ECHO: &str = "crossed";
const DEFAULT_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct State {
    delay: Duration,
    lose_responses: u32,
    cross: bool,
    executed: Vec<ExecutedRequest>,
}

/// The stand-in service.
pub struct Service {
    clock: SharedClock,
    state: Mutex<State>,
}

impl Service {
    /// Creates a service that has executed nothing.
    pub fn new(clock: SharedClock) -> Self {
        let state = State {
            delay: DEFAULT_DELAY,
            lose_responses: 0,
            cross: false,
            executed: Vec::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    async fn respond(&self, mut request: Request) -> Response {
        match request.url().path() {
            "/control" => match parse_body(&mut request).await {
                Some(command) => self.apply(&command),
                None => empty_response(400),
            },
            "/record" => json_response(200, &self.state.lock().executed),
            _ => self.execute(request).await,
        }
    }

    fn apply(&self, command: &ServiceCommand) -> Response {
        let mut state = self.state.lock();
        match *command {
            ServiceCommand::Delay(ms) => state.delay = Duration::from_millis(ms),
            ServiceCommand::LoseAnswers(count) => state.lose_responses = count,
            ServiceCommand::Cross(on) => state.cross = on,
        }
        empty_response(200)
    }

    async fn execute(&self, mut request: Request) -> Response {
        let Ok(bytes) = request.body_bytes().await else {
            return empty_response(400);
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let id: Option<RequestId> = header_value(&request, ID_HEADER).and_then(|v| v.parse().ok());
        let headers = request
            .iter()
            .map(|(n, v)| (n.as_str().into(), v.as_str().into()));
        let executed = ExecutedRequest {
            id,
            method: request.method().as_ref().into(),
            path: request.url().path().into(),
            body: text.as_str().into(),
            headers: headers.collect(),
        };
        let (delay, lost, cross) = self.record(executed);
        self.clock.sleep(delay).await;
        if lost {
            return pending().await;
        }
        let echo = if cross { CROSSED_ECHO.into() } else { text };
        let mut response = json_response(200, &json!({ "done": true, "echo": echo }));
        if let Some(id) = id {
            let response_id = if cross {
                RequestId::from_bits(!id.bits())
            } else {
                id
            };
            response.insert_header(ID_HEADER, response_id.to_string());
        }
        response
    }

    /// Records a request, and returns its delay, whether its response is lost, and whether it is
    /// crossed.
    fn record(&self, executed: ExecutedRequest) -> (Duration, bool, bool) {
        let mut state = self.state.lock();
        state.executed.push(executed);
        let lost = state.lose_responses > 0;
        state.lose_responses = state.lose_responses.saturating_sub(1);
        (state.delay, lost, state.cross)
    }
}

impl Handler for Service {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.respond(request))
    }
}
