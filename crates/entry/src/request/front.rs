//! Takes callers' requests and hands them to what serves their path.

use {
    super::{caller::Caller, work::count_refusal},
    crate::{process::App, version::View},
    http_types::{Method, Request, Response},
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    types::{ModelId, Reason, Refusal, RequestId},
    wire::{BodyError, Handler, ResponseFuture, json_response, read_body, refusal_response},
};

/// Longest time between two pieces of a caller's body.
const BODY_GAP: Duration = Duration::from_secs(10);

/// Handles callers' requests.
pub(crate) struct Front {
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

impl Front {
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    async fn answer(&self, request: Request) -> Response {
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
            return Err(refusal.retry_in(Duration::from_secs(1)));
        }
        let path = request.url().path().to_owned();
        match (path.as_str(), request.method()) {
            ("/v1/chat/completions" | "/v1/completions", Method::Post) => {
                self.complete(view, request).await
            }
            ("/v1/models", Method::Get) => self.models(&view, &request),
            ("/v1/chat/completions" | "/v1/completions" | "/v1/models", _) => Err(
                Refusal::not_run(Reason::BadRequest, "this path takes another method"),
            ),
            _ => self.plain(view, request).await,
        }
    }

    fn models(&self, view: &View, request: &Request) -> Result<Response, Refusal> {
        Caller::find(&self.app, view, request)?;
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

    /// Reads a request's body within the limits.
    pub(super) async fn body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let body = request.take_body();
        let limit = self.app.settings.body;
        read_body(body, limit, BODY_GAP, &*self.app.clock)
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

/// A fresh request id.
pub(super) fn new_id() -> RequestId {
    RequestId::from_bits(fastrand::u128(..))
}

impl Handler for Front {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}
