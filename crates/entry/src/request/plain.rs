//! Requests to plain services: HTTP services behind configured routes.

use {
    super::{
        caller::{Caller, key_withdrawn},
        caller_handler::{CallerHandler, new_request_id},
        context::{RequestContext, refuse},
        headers::{ID_HEADER, copy_to_caller, copy_to_endpoint},
        idempotency::{idempotency_key, run_with_key},
        permit::Permit,
    },
    crate::{sched::SlotLease, version::View},
    conf::Route,
    futures_lite::FutureExt,
    http_types::{Method, Request, Response},
    once::Fingerprint,
    route::RequestOutcome,
    slo::ResponseTiming,
    std::{sync::Arc, time::Duration},
    types::{Bytes, OrgId, Reason, Refusal, Tokens, Verdict},
    wire::{Call, CallTimeouts, Reply, SendError},
};

/// Largest accepted response of a plain service.
const MAX_RESPONSE: Bytes = Bytes(16 * 1024 * 1024);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Organisation that requests on open routes are counted for.
const OPEN_ROUTE_ORG: &str = "open";

impl CallerHandler {
    pub(super) async fn serve_plain(
        &self,
        view: Arc<View>,
        mut request: Request,
    ) -> Result<Response, Refusal> {
        let arrived = self.app.clock.now();
        let route = find_route(&view, &request)?;
        let caller = self.route_caller(&view, &route, &request)?;
        let permit = Permit::acquire(&self.app, &view, &caller, Some(&route.id))?;
        let body = self.read_caller_body(&mut request).await?;
        let safe = matches!(request.method(), Method::Get | Method::Head);
        let (class, org) = (caller.class.id.clone(), caller.org.clone());
        let mut ctx = RequestContext {
            app: self.app.clone(),
            caller,
            permit,
            id: new_request_id(),
            arrived,
            serves: route.service.clone(),
            prompt_tokens: Tokens(0),
            prefix_hash: 0,
            idempotent: safe || route.idempotent,
            attempts: Default::default(),
            avoid: Vec::new(),
        };
        let key = idempotency_key(&request)?;
        let plain = PlainRequest {
            route,
            request,
            body,
        };
        let (id, result) = match key {
            Some(key) if !ctx.idempotent => (ctx.id, run_with_key(ctx, plain, key).await),
            _ => {
                let result = ctx.run_plain(&plain).await;
                (ctx.id, result.map_err(|r| ctx.with_attempt_verdict(r)))
            }
        };
        Ok(match result {
            Ok(response) => response,
            Err(refusal) => {
                self.app
                    .accounting
                    .record_refused(&class, &org, refusal.reason);
                refuse(id, &refusal)
            }
        })
    }

    fn route_caller(
        &self,
        view: &View,
        route: &Route,
        request: &Request,
    ) -> Result<Caller, Refusal> {
        if !route.open {
            return Caller::authenticate(&self.app, view, request);
        }
        let unknown = || Refusal::not_run(Reason::NotFound, "the route's class is unknown");
        let class = view
            .config
            .class(&route.class)
            .cloned()
            .ok_or_else(unknown)?;
        let org: OrgId = OPEN_ROUTE_ORG.parse().map_err(|_| unknown())?;
        Ok(Caller::anonymous(class, org))
    }
}

fn find_route(view: &View, request: &Request) -> Result<Route, Refusal> {
    let route = view.config.route(request.url().path()).cloned();
    route.ok_or_else(|| Refusal::not_run(Reason::NotFound, "no route takes this path"))
}

/// A request to a plain service, as received from its caller.
pub(super) struct PlainRequest {
    route: Route,
    request: Request,
    body: Vec<u8>,
}

impl PlainRequest {
    /// Fingerprint of method, path, query and body, by which a repeat is told from another request
    /// under the same idempotency key.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let method = self.request.method();
        Fingerprint::new(method.as_ref(), &path_and_query(&self.request), &self.body)
    }
}

impl RequestContext {
    /// Attempts the request at one endpoint after another, until one answers or no retry is
    /// allowed.
    pub(super) async fn run_plain(&mut self, plain: &PlainRequest) -> Result<Response, Refusal> {
        loop {
            let lease = self.acquire().await?;
            self.caller.check_key()?;
            let (endpoint, failed) = match self.try_plain(&lease, plain).await {
                Ok(response) => {
                    lease.end(RequestOutcome::Completed);
                    self.count_served(ResponseTiming::Whole {
                        total: self.app.clock.now().since(self.arrived),
                        tokens: Tokens(0),
                    });
                    return Ok(response);
                }
                Err(failed) => {
                    let endpoint = lease.endpoint.clone();
                    lease.end(RequestOutcome::Failed);
                    (endpoint, failed)
                }
            };
            self.record_failure(endpoint, failed.verdict);
            if !self.may_retry() {
                return Err(Refusal::with_verdict(
                    failed.verdict,
                    Reason::EndpointFailed,
                    failed.to_string(),
                ));
            }
        }
    }

    /// Waits for a slot, or until the caller's key is withdrawn.
    pub(super) async fn acquire(&self) -> Result<SlotLease, Refusal> {
        let withdrawn = async {
            self.caller.wait_withdrawn().await;
            Err(key_withdrawn())
        };
        self.app
            .dispatcher
            .acquire(self.slot_request(self.attempts.count() > 0))
            .or(withdrawn)
            .await
    }

    async fn try_plain(
        &self,
        lease: &SlotLease,
        plain: &PlainRequest,
    ) -> Result<Response, SendError> {
        let request = &plain.request;
        let path = path_and_query(request);
        let mut call = Call::new(lease.addr, request.method(), &path).body(plain.body.clone());
        copy_to_endpoint(request, &mut call.request, self.id, &self.caller.org);
        let timeout = Duration::from_millis(plain.route.timeout_ms.into());
        call.timeouts = CallTimeouts {
            connect: CONNECT_TIMEOUT,
            head: timeout,
            body_idle: timeout,
        };
        call.reuse = self.idempotent;
        let sent = self.app.clock.now();
        let mut reply = self.app.client.send(call).await?;
        check_request_id(&reply, self)?;
        let bytes = reply.bytes(MAX_RESPONSE).await?;
        lease.record_first_token(self.app.clock.now().since(sent));
        let mut response = Response::new(reply.head().status());
        copy_to_caller(reply.head(), &mut response);
        response.insert_header(ID_HEADER, self.id.to_string());
        let mime = response.content_type();
        response.set_body(bytes);
        if let Some(mime) = mime {
            response.set_content_type(mime);
        }
        Ok(response)
    }
}

/// Rejects a reply that carries the id of another request.
pub(super) fn check_request_id(reply: &Reply, ctx: &RequestContext) -> Result<(), SendError> {
    match reply.header(ID_HEADER) {
        Some(echoed) if echoed != ctx.id.to_string() => {
            log::error!(
                request:% = ctx.id, echoed = echoed;
                "response has the id of another request"
            );
            metrics::counter!("celerystage_crossed_answers_total").increment(1);
            Err(SendError {
                kind: wire::SendErrorKind::InvalidResponse,
                verdict: Verdict::MayHaveRun,
            })
        }
        _ => Ok(()),
    }
}

/// Path and query string of a request.
pub(super) fn path_and_query(request: &Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}
