//! State that all attempts of one request share.

use {
    super::{caller::Caller, permit::Permit},
    crate::{process::App, sched::SlotRequest},
    clock::Instant,
    http_types::Response,
    route::Requirements,
    slo::ResponseTiming,
    std::sync::Arc,
    types::{Attempts, EndpointId, ModelId, Reason, Refusal, RequestId, Tokens, Verdict},
    wire::refusal_response,
};

/// Most attempts made for one request.
const MAX_ATTEMPTS: u32 = 3;

/// A request in progress: its caller, the model or service that it is for, and the attempts made so
/// far.
pub(super) struct RequestContext {
    pub(super) app: Arc<App>,
    pub(super) caller: Caller,
    pub(super) permit: Permit,
    pub(super) id: RequestId,
    pub(super) arrived: Instant,
    pub(super) serves: ModelId,
    pub(super) prompt_tokens: Tokens,
    pub(super) prefix_hash: u64,
    pub(super) idempotent: bool,
    pub(super) attempts: Attempts,
    pub(super) avoid: Vec<EndpointId>,
}

impl RequestContext {
    /// Builds the request for a slot that is sent to the scheduler.
    pub(super) fn slot_request(&self, resumed: bool) -> SlotRequest {
        let class = &self.caller.class;
        SlotRequest {
            serves: self.serves.clone(),
            org: self.caller.org.clone(),
            weight: self.caller.weight,
            class: class.id.clone(),
            tier: class.tier,
            arrived: self.arrived,
            deadline: self.arrived + class.targets.first_token(),
            prompt_tokens: self.prompt_tokens,
            requirements: Requirements {
                tier: class.tier,
                idempotent: self.idempotent,
                prefix_hash: self.prefix_hash,
                inter_token: class.targets.inter_token(),
                avoid: self.avoid.clone(),
            },
            resumed,
        }
    }

    /// Records a failed attempt and excludes its endpoint from further ones.
    pub(super) fn record_failure(&mut self, endpoint: EndpointId, verdict: Verdict) {
        self.attempts.record(verdict);
        self.avoid_endpoint(endpoint);
        metrics::counter!("celerystage_attempts_failed_total").increment(1);
    }

    /// Excludes an endpoint from further attempts. If that excludes every listed endpoint, the
    /// exclusions are cleared: the request would otherwise wait forever.
    pub(super) fn avoid_endpoint(&mut self, endpoint: EndpointId) {
        self.avoid.push(endpoint);
        let view = self.app.view();
        let listed = view.local_endpoints.get(&self.serves);
        let any_left = listed.is_some_and(|l| l.iter().any(|e| !self.avoid.contains(&e.id)));
        if !any_left {
            self.avoid.clear();
        }
    }

    /// Whether another attempt may be made after a failed one. A retry takes one token from the
    /// retry budget.
    pub(super) fn may_retry(&self) -> bool {
        let allowed = self.attempts.verdict().allows_retry(self.idempotent);
        if !allowed || self.attempts.count() >= MAX_ATTEMPTS {
            return false;
        }
        let granted = self.app.retries.lock().try_withdraw();
        if !granted {
            metrics::counter!("celerystage_retries_denied_total").increment(1);
        }
        granted
    }

    /// Combines a refusal's verdict with that of the attempts made.
    pub(super) fn with_attempt_verdict(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.combine(self.attempts.verdict());
        refusal
    }

    /// Counts a refusal and builds its response, with the combined verdict of all attempts.
    pub(super) fn refuse(&self, refusal: Refusal) -> Response {
        let refusal = self.with_attempt_verdict(refusal);
        self.count_failed(refusal.reason);
        refuse(self.id, &refusal)
    }

    /// Counts a request that was answered completely.
    pub(super) fn count_served(&self, timing: ResponseTiming) {
        let (ResponseTiming::Stream { tokens, .. } | ResponseTiming::Whole { tokens, .. }) = timing;
        let (class, org) = (&self.caller.class, &self.caller.org);
        let labels = [("class", class.id.to_string()), ("org", org.to_string())];
        metrics::counter!("celerystage_served_total", &labels).increment(1);
        metrics::counter!("celerystage_tokens_total", &labels).increment(tokens.0);
        self.app.accounting.record_served(class, org, timing);
        self.app.retries.lock().deposit();
    }

    /// Counts the tokens of a response that ended before it was complete.
    pub(super) fn count_partial(&self, tokens: Tokens) {
        if tokens.0 > 0 {
            self.app.accounting.record_usage(&self.caller.org, tokens);
        }
    }

    /// Counts a request that was refused, or cut off by a failure.
    pub(super) fn count_failed(&self, reason: Reason) {
        let (class, org) = (&self.caller.class.id, &self.caller.org);
        self.app.accounting.record_refused(class, org, reason);
    }
}

/// Counts a refusal and builds its response.
pub(super) fn refuse(id: RequestId, refusal: &Refusal) -> Response {
    count_refusal(refusal);
    let mut response = refusal_response(refusal);
    response.insert_header(super::headers::ID_HEADER, id.to_string());
    response
}

/// Increments the refusal counter by reason and verdict.
pub(super) fn count_refusal(refusal: &Refusal) {
    metrics::counter!(
        "celerystage_refusals_total",
        "reason" => refusal.reason.as_str(),
        "verdict" => refusal.verdict.as_str(),
    )
    .increment(1);
}
