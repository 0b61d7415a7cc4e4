//! Completion requests to models.

use {
    super::{
        caller::Caller,
        caller_handler::{CallerHandler, new_request_id},
        completion::CompletionRequest,
        context::RequestContext,
        headers::{ID_HEADER, copy_to_caller, copy_to_endpoint},
        permit::Permit,
        plain::{check_request_id, path_and_query},
        stream::StreamingResponse,
    },
    crate::{sched::SlotLease, version::View},
    http_types::{Request, Response},
    route::RequestOutcome,
    slo::ResponseTiming,
    std::{sync::Arc, time::Duration},
    types::{Bytes, Reason, Refusal, Tokens, Verdict},
    wire::{Call, CallTimeouts, Reply, SendError, SendErrorKind},
};

/// Largest accepted response that is not streamed.
const MAX_RESPONSE: Bytes = Bytes(32 * 1024 * 1024);
/// Time limits for calls to engines that stream their response.
pub(super) const STREAM_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(10),
    body_idle: Duration::from_secs(30),
};
/// Time limits for the other calls: the head of a response that is not streamed arrives only when
/// the response is complete.
const UNSTREAMED_TIMEOUTS: CallTimeouts = CallTimeouts {
    head: Duration::from_secs(300),
    ..STREAM_TIMEOUTS
};

/// An engine's reply to an attempt that did not fail.
pub(super) enum EngineReply {
    /// The engine rejected the request itself (status 4xx other than 429).
    Rejected(Box<Response>),
    /// The engine accepted the request; its body follows.
    Accepted(Box<Reply>),
}

impl CallerHandler {
    pub(super) async fn serve_completion(
        &self,
        view: Arc<View>,
        mut request: Request,
    ) -> Result<Response, Refusal> {
        let arrived = self.app.clock.now();
        let caller = Caller::authenticate(&self.app, &view, &request)?;
        let permit = Permit::acquire(&self.app, &view, &caller, None)?;
        let body = self.read_caller_body(&mut request).await?;
        let completion = CompletionRequest::parse(&body)?;
        if view.config.model(&completion.model).is_none() {
            let message = format!("no model is named {}", completion.model);
            return Err(Refusal::not_run(Reason::NotFound, message));
        }
        let mut ctx = RequestContext {
            app: self.app.clone(),
            caller,
            permit,
            id: new_request_id(),
            arrived,
            serves: completion.model.clone(),
            prompt_tokens: completion.estimated_tokens(),
            prefix_hash: completion.prefix_hash(),
            idempotent: true,
            attempts: Default::default(),
            avoid: Vec::new(),
        };
        if completion.stream {
            return StreamingResponse::start(ctx, request, completion).await;
        }
        Ok(match ctx.run_unstreamed(&request, &completion).await {
            Ok(response) => response,
            Err(refusal) => ctx.refuse(refusal),
        })
    }
}

impl RequestContext {
    /// Attempts the request at one endpoint after another until one answers or no retry is allowed.
    async fn run_unstreamed(
        &mut self,
        request: &Request,
        completion: &CompletionRequest,
    ) -> Result<Response, Refusal> {
        loop {
            let lease = self.acquire().await?;
            self.caller.check_key()?;
            let failed = match self.try_unstreamed(&lease, request, completion).await {
                Ok(response) => {
                    lease.end(RequestOutcome::Completed);
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            let endpoint = lease.endpoint.clone();
            lease.end(RequestOutcome::Failed);
            self.record_failure(endpoint, failed.verdict);
            if !self.may_retry() {
                return Err(failure_refusal(failed));
            }
        }
    }

    async fn try_unstreamed(
        &self,
        lease: &SlotLease,
        request: &Request,
        completion: &CompletionRequest,
    ) -> Result<Response, SendError> {
        let sent = self.app.clock.now();
        let mut reply = match self
            .call_engine(lease, request, completion, 0, UNSTREAMED_TIMEOUTS)
            .await?
        {
            EngineReply::Rejected(response) => return Ok(*response),
            EngineReply::Accepted(reply) => *reply,
        };
        let bytes = reply.bytes(MAX_RESPONSE).await?;
        let tokens = Tokens(completion_tokens(&bytes));
        self.permit.charge(tokens);
        let now = self.app.clock.now();
        lease.record_progress(tokens, now.since(sent));
        self.count_served(ResponseTiming::Whole {
            total: now.since(self.arrived),
            tokens,
        });
        let mut response = Response::new(reply.head().status());
        copy_to_caller(reply.head(), &mut response);
        let mime = response.content_type();
        response.set_body(bytes);
        if let Some(mime) = mime {
            response.set_content_type(mime);
        }
        Ok(response)
    }

    /// Sends the request to an engine and checks the status and request id of its reply.
    pub(super) async fn call_engine(
        &self,
        lease: &SlotLease,
        request: &Request,
        completion: &CompletionRequest,
        resume_from: u64,
        timeouts: CallTimeouts,
    ) -> Result<EngineReply, SendError> {
        let body = completion.body(self.caller.class.tier, resume_from);
        let path = path_and_query(request);
        let mut call = Call::new(lease.addr, request.method(), &path)
            .body(body)
            .timeouts(timeouts);
        copy_to_endpoint(request, &mut call.request, self.id, &self.caller.org);
        let reply = self.app.client.send(call).await?;
        match reply.status() {
            200..=299 => {
                check_request_id(&reply, self)?;
                Ok(EngineReply::Accepted(Box::new(reply)))
            }
            400..=499 if reply.status() != 429 => Ok(EngineReply::Rejected(Box::new(
                forward_error(reply, self).await?,
            ))),
            _ => Err(SendError {
                kind: SendErrorKind::InvalidResponse,
                verdict: Verdict::Ran,
            }),
        }
    }
}

/// Passes on the response of an engine that rejected the request.
async fn forward_error(mut reply: Reply, ctx: &RequestContext) -> Result<Response, SendError> {
    let bytes = reply.bytes(MAX_RESPONSE).await?;
    let mut response = Response::new(reply.head().status());
    copy_to_caller(reply.head(), &mut response);
    let mime = response.content_type();
    response.set_body(bytes);
    if let Some(mime) = mime {
        response.set_content_type(mime);
    }
    response.insert_header(ID_HEADER, ctx.id.to_string());
    Ok(response)
}

/// The refusal for a request whose last attempt failed.
pub(super) fn failure_refusal(failed: SendError) -> Refusal {
    let reason = match failed.kind {
        SendErrorKind::HeadTimeout | SendErrorKind::BodyTimeout => Reason::EndpointTimeout,
        SendErrorKind::Connect
        | SendErrorKind::Write
        | SendErrorKind::NoResponse
        | SendErrorKind::InvalidResponse
        | SendErrorKind::BodyTruncated => Reason::EndpointFailed,
    };
    Refusal::with_verdict(failed.verdict, reason, failed.to_string())
}

fn completion_tokens(body: &[u8]) -> u64 {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let tokens = value
        .as_ref()
        .and_then(|v| v.get("usage")?.get("completion_tokens")?.as_u64());
    tokens.unwrap_or_default()
}
