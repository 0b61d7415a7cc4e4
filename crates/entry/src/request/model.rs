//! Requests to models.

use {
    super::{
        caller::Caller,
        front::{Front, new_id},
        headers::{ID_HEADER, to_caller, to_endpoint},
        permit::Permit,
        plain::{check_id, path_and_query},
        prompt::Prompt,
        stream::Streaming,
        work::Work,
    },
    crate::{sched::Lease, version::View},
    http_types::{Request, Response},
    route::RequestOutcome,
    slo::ResponseTiming,
    std::{sync::Arc, time::Duration},
    types::{Bytes, Reason, Refusal, Tokens, Verdict},
    wire::{Call, CallTimeouts, Reply, SendError, SendErrorKind},
};

/// Largest accepted answer that is not streamed.
const MAX_ANSWER: Bytes = Bytes(32 * 1024 * 1024);
/// Time limits towards engines. The head of an answer that is not streamed comes with its end.
pub(super) const STREAM_LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(10),
    body_idle: Duration::from_secs(30),
};
const WHOLE_LIMITS: CallTimeouts = CallTimeouts {
    head: Duration::from_secs(300),
    ..STREAM_LIMITS
};

/// What an attempt came to, short of a failure.
pub(super) enum Answer {
    /// The endpoint refused the request for a reason of the request's own.
    Refused(Box<Response>),
    /// The endpoint answers.
    Given(Box<Reply>),
}

impl Front {
    pub(super) async fn complete(
        &self,
        view: Arc<View>,
        mut request: Request,
    ) -> Result<Response, Refusal> {
        let arrived = self.app.clock.now();
        let caller = Caller::find(&self.app, &view, &request)?;
        let permit = Permit::take(&self.app, &view, &caller, None)?;
        let body = self.body(&mut request).await?;
        let prompt = Prompt::parse(&body)?;
        if view.config.model(&prompt.model).is_none() {
            let message = format!("no model is named {}", prompt.model);
            return Err(Refusal::not_run(Reason::NotFound, message));
        }
        let mut work = Work {
            app: self.app.clone(),
            caller,
            permit,
            id: new_id(),
            arrived,
            serves: prompt.model.clone(),
            prompt: prompt.tokens(),
            prefix: prompt.prefix(),
            idempotent: true,
            attempts: Default::default(),
            avoid: Vec::new(),
        };
        if prompt.stream {
            return Streaming::start(work, request, prompt).await;
        }
        Ok(match work.run_whole(&request, &prompt).await {
            Ok(response) => response,
            Err(refusal) => work.refuse(refusal),
        })
    }
}

impl Work {
    async fn run_whole(&mut self, request: &Request, prompt: &Prompt) -> Result<Response, Refusal> {
        loop {
            let lease = self.acquire().await?;
            self.caller.check()?;
            let failed = match self.whole(&lease, request, prompt).await {
                Ok(response) => {
                    lease.end(RequestOutcome::Completed);
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            let endpoint = lease.endpoint.clone();
            lease.end(RequestOutcome::Failed);
            self.failed(endpoint, failed.verdict);
            if !self.may_retry() {
                return Err(endpoint_failed(failed));
            }
        }
    }

    async fn whole(
        &self,
        lease: &Lease,
        request: &Request,
        prompt: &Prompt,
    ) -> Result<Response, SendError> {
        let sent = self.app.clock.now();
        let mut reply = match self
            .ask_engine(lease, request, prompt, 0, WHOLE_LIMITS)
            .await?
        {
            Answer::Refused(response) => return Ok(*response),
            Answer::Given(reply) => *reply,
        };
        let bytes = reply.bytes(MAX_ANSWER).await?;
        let tokens = Tokens(completion_tokens(&bytes));
        self.permit.spend(tokens);
        let now = self.app.clock.now();
        lease.progress(tokens, now.since(sent));
        self.count_served(ResponseTiming::Whole {
            total: now.since(self.arrived),
            tokens,
        });
        let mut response = Response::new(reply.head().status());
        to_caller(reply.head(), &mut response);
        let mime = response.content_type();
        response.set_body(bytes);
        if let Some(mime) = mime {
            response.set_content_type(mime);
        }
        Ok(response)
    }

    /// Sends the request to an engine and checks the head of its answer.
    pub(super) async fn ask_engine(
        &self,
        lease: &Lease,
        request: &Request,
        prompt: &Prompt,
        resume: u64,
        limits: CallTimeouts,
    ) -> Result<Answer, SendError> {
        let body = prompt.body(self.caller.class.tier, resume);
        let path = path_and_query(request);
        let mut call = Call::new(lease.addr, request.method(), &path)
            .body(body)
            .timeouts(limits);
        to_endpoint(request, &mut call.request, self.id, &self.caller.org);
        let reply = self.app.client.send(call).await?;
        match reply.status() {
            200..=299 => {
                check_id(&reply, self)?;
                Ok(Answer::Given(Box::new(reply)))
            }
            400..=499 if reply.status() != 429 => {
                Ok(Answer::Refused(Box::new(pass_on(reply, self).await?)))
            }
            _ => Err(SendError {
                kind: SendErrorKind::InvalidResponse,
                verdict: Verdict::Ran,
            }),
        }
    }
}

async fn pass_on(mut reply: Reply, work: &Work) -> Result<Response, SendError> {
    let bytes = reply.bytes(MAX_ANSWER).await?;
    let mut response = Response::new(reply.head().status());
    to_caller(reply.head(), &mut response);
    let mime = response.content_type();
    response.set_body(bytes);
    if let Some(mime) = mime {
        response.set_content_type(mime);
    }
    response.insert_header(ID_HEADER, work.id.to_string());
    Ok(response)
}

/// The refusal after the last attempt failed.
pub(super) fn endpoint_failed(failed: SendError) -> Refusal {
    let reason = match failed.kind {
        SendErrorKind::HeadTimeout | SendErrorKind::BodyTimeout => Reason::EndpointTimeout,
        SendErrorKind::Connect
        | SendErrorKind::Write
        | SendErrorKind::NoResponse
        | SendErrorKind::InvalidResponse
        | SendErrorKind::BodyTruncated => Reason::EndpointFailed,
    };
    Refusal::after(failed.verdict, reason, failed.to_string())
}

fn completion_tokens(body: &[u8]) -> u64 {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let tokens = value
        .as_ref()
        .and_then(|v| v.get("usage")?.get("completion_tokens")?.as_u64());
    tokens.unwrap_or_default()
}
