//! HTTP handler for callers: dispatches each request by its path.

use {
    super::{caller::Caller, context::count_refusal},
    crate::{process::App, version::View},
    http_types::{Method, Request, Response},
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    types::{ModelId, Reason, Refusal, RequestId},
    wire::{BodyError, Handler, ResponseFuture, json_response, read_body, refusal_response},
};

/// Longest pause between two reads of a request's body.
const MAX_BODY_GAP: Duration = Duration::from_secs(10);

/// Serves the API for callers.
pub(crate) struct CallerHandler {
    pub(super) app: Arc<App>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a ModelId,
    object: &'static str,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

impl CallerHandler {
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    async fn respond(&self, request: Request) -> Response {
        match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => {
                count_refusal(&refusal);
                refusal_response(&refusal)
            }
        }
    }

    async fn serve(&self, request: Request) -> Result<Response, Refusal> {
        let view = self.app.view();
        if view.config.version().0 == 0 {
            let message = "no configuration has been received yet";
            let refusal = Refusal::not_run(Reason::Unavailable, message);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        let path = request.url().path().to_owned();
        match (path.as_str(), request.method()) {
            ("/v1/chat/completions" | "/v1/completions", Method::Post) => {
                self.serve_completion(view, request).await
            }
            ("/v1/models", Method::Get) => self.list_models(&view, &request),
            ("/v1/chat/completions" | "/v1/completions" | "/v1/models", _) => Err(
                Refusal::not_run(Reason::BadRequest, "this path takes another method"),
            ),
            _ => self.serve_plain(view, request).await,
        }
    }

    fn list_models(&self, view: &View, request: &Request) -> Result<Response, Refusal> {
        Caller::authenticate(&self.app, view, request)?;
        let models = view.config.models();
        let entry = |m: &'_ conf::Model| m.id.clone();
        let ids: Vec<ModelId> = models.map(entry).collect();
        let data = ids
            .iter()
            .map(|id| ModelEntry {
                id,
                object: "model",
                owned_by: "celerystage",
            })
            .collect();
        Ok(json_response(
            200,
            &ModelList {
                object: "list",
                data,
            },
        ))
    }

    /// Reads a request's body within the limits on size and time.
    pub(super) async fn read_caller_body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let body = request.take_body();
        let limit = self.app.settings.body;
        read_body(body, limit, MAX_BODY_GAP, &*self.app.clock)
            .await
            .map_err(|e| {
                let reason = match e {
                    BodyError::TooLarge(_) => Reason::TooLarge,
                    BodyError::TooSlow => Reason::TooSlow,
                    BodyError::Truncated => Reason::BadRequest,
                };
                Refusal::not_run(reason, e.to_string())
            })
    }
}

/// Generates a random request id.
pub(super) fn new_request_id() -> RequestId {
    RequestId::from_bits(fastrand::u128(..))
}

impl Handler for CallerHandler {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.respond(request))
    }
}
