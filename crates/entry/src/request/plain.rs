//! Requests to plain services.

use {
    super::{
        caller::{Caller, withdrawn},
        front::{Front, new_id},
        headers::{ID_HEADER, to_caller, to_endpoint},
        keyed::{run_keyed, sent_key},
        permit::Permit,
        work::{Work, refuse},
    },
    crate::{sched::Lease, version::View},
    conf::Route,
    futures_lite::FutureExt,
    http_types::{Method, Request, Response},
    once::Print,
    route::RequestOutcome,
    slo::ResponseTiming,
    std::{sync::Arc, time::Duration},
    types::{Bytes, OrgId, Reason, Refusal, Tokens, Verdict},
    wire::{Call, CallTimeouts, Reply, SendError},
};

/// Largest accepted answer of a plain service.
const MAX_ANSWER: Bytes = Bytes(16 * 1024 * 1024);
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Organisation that requests on open routes count for.
const ANYONE: &str = "open";

impl Front {
    pub(super) async fn plain(
        &self,
        view: Arc<View>,
        mut request: Request,
    ) -> Result<Response, Refusal> {
        let arrived = self.app.clock.now();
        let route = find_route(&view, &request)?;
        let caller = self.plain_caller(&view, &route, &request)?;
        let permit = Permit::take(&self.app, &view, &caller, Some(&route.id))?;
        let body = self.body(&mut request).await?;
        let safe = matches!(request.method(), Method::Get | Method::Head);
        let (class, org) = (caller.class.id.clone(), caller.org.clone());
        let mut work = Work {
            app: self.app.clone(),
            caller,
            permit,
            id: new_id(),
            arrived,
            serves: route.service.clone(),
            prompt: Tokens(0),
            prefix: 0,
            idempotent: safe || route.idempotent,
            attempts: Default::default(),
            avoid: Vec::new(),
        };
        let key = sent_key(&request)?;
        let plain = Plain {
            route,
            request,
            body,
        };
        let (id, answered) = match key {
            Some(key) if !work.idempotent => (work.id, run_keyed(work, plain, key).await),
            _ => {
                let answered = work.run_plain(&plain).await;
                (work.id, answered.map_err(|r| work.refusal(r)))
            }
        };
        Ok(match answered {
            Ok(response) => response,
            Err(refusal) => {
                self.app.accounts.refused(&class, &org, refusal.reason);
                refuse(id, &refusal)
            }
        })
    }

    fn plain_caller(
        &self,
        view: &View,
        route: &Route,
        request: &Request,
    ) -> Result<Caller, Refusal> {
        if !route.open {
            return Caller::find(&self.app, view, request);
        }
        let unknown = || Refusal::not_run(Reason::NotFound, "the route's class is unknown");
        let class = view
            .config
            .class(&route.class)
            .cloned()
            .ok_or_else(unknown)?;
        let org: OrgId = ANYONE.parse().map_err(|_| unknown())?;
        Ok(Caller::anyone(class, org))
    }
}

fn find_route(view: &View, request: &Request) -> Result<Route, Refusal> {
    let route = view.config.route(request.url().path()).cloned();
    route.ok_or_else(|| Refusal::not_run(Reason::NotFound, "no route takes this path"))
}

/// A request to a plain service, as its caller sent it.
pub(super) struct Plain {
    route: Route,
    request: Request,
    body: Vec<u8>,
}

impl Plain {
    /// What the request asks for, to tell repeats from other requests.
    pub(super) fn print(&self) -> Print {
        let method = self.request.method();
        Print::new(method.as_ref(), &path_and_query(&self.request), &self.body)
    }
}

impl Work {
    /// Tries endpoints until one answers or the request may not be tried again.
    pub(super) async fn run_plain(&mut self, plain: &Plain) -> Result<Response, Refusal> {
        loop {
            let lease = self.acquire().await?;
            self.caller.check()?;
            let (endpoint, failed) = match self.attempt(&lease, plain).await {
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
            self.failed(endpoint, failed.verdict);
            if !self.may_retry() {
                return Err(Refusal::after(
                    failed.verdict,
                    Reason::EndpointFailed,
                    failed.to_string(),
                ));
            }
        }
    }

    /// Waits for a slot; a withdrawal of the key ends the wait.
    pub(super) async fn acquire(&self) -> Result<Lease, Refusal> {
        let revoked = async {
            self.caller.withdrawn().await;
            Err(withdrawn())
        };
        self.app
            .dispatch
            .acquire(self.ask(self.attempts.made() > 0))
            .or(revoked)
            .await
    }

    async fn attempt(&self, lease: &Lease, plain: &Plain) -> Result<Response, SendError> {
        let request = &plain.request;
        let path = path_and_query(request);
        let mut call = Call::new(lease.addr, request.method(), &path).body(plain.body.clone());
        to_endpoint(request, &mut call.request, self.id, &self.caller.org);
        let limit = Duration::from_millis(plain.route.timeout_ms.into());
        call.timeouts = CallTimeouts {
            connect: CONNECT_LIMIT,
            head: limit,
            body_idle: limit,
        };
        call.reuse = self.idempotent;
        let sent = self.app.clock.now();
        let mut reply = self.app.client.send(call).await?;
        check_id(&reply, self)?;
        let bytes = reply.bytes(MAX_ANSWER).await?;
        lease.first_token(self.app.clock.now().since(sent));
        let mut response = Response::new(reply.head().status());
        to_caller(reply.head(), &mut response);
        response.insert_header(ID_HEADER, self.id.to_string());
        let mime = response.content_type();
        response.set_body(bytes);
        if let Some(mime) = mime {
            response.set_content_type(mime);
        }
        Ok(response)
    }
}

/// Refuses an answer that belongs to another request.
pub(super) fn check_id(reply: &Reply, work: &Work) -> Result<(), SendError> {
    match reply.header(ID_HEADER) {
        Some(echoed) if echoed != work.id.to_string() => {
            log::error!(request:% = work.id, echoed = echoed; "answer to another request");
            metrics::counter!("celerystage_crossed_answers_total").increment(1);
            Err(SendError {
                kind: wire::SendErrorKind::InvalidResponse,
                verdict: Verdict::MayHaveRun,
            })
        }
        _ => Ok(()),
    }
}

/// Path and query of a request.
pub(super) fn path_and_query(request: &Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}
