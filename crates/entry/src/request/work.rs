//! One request on its way: what its attempts share.

use {
    super::{caller::Caller, permit::Permit},
    crate::{process::App, sched::Ask},
    clock::Stamp,
    http_types::Response,
    route::Requirements,
    slo::ResponseTiming,
    std::sync::Arc,
    types::{Attempt, EndpointId, ModelId, Reason, Refusal, RequestId, Tokens, Verdict},
    wire::refusal_response,
};

/// Attempts at most for one request.
const MAX_ATTEMPTS: u32 = 3;

/// One request on its way.
pub(super) struct Work {
    pub(super) app: Arc<App>,
    pub(super) caller: Caller,
    pub(super) permit: Permit,
    pub(super) id: RequestId,
    pub(super) arrived: Stamp,
    pub(super) serves: ModelId,
    pub(super) prompt: Tokens,
    pub(super) prefix: u64,
    pub(super) idempotent: bool,
    pub(super) attempts: Attempt,
    pub(super) avoid: Vec<EndpointId>,
}

impl Work {
    /// What the request asks of the scheduler.
    pub(super) fn ask(&self, resumed: bool) -> Ask {
        let class = &self.caller.class;
        Ask {
            serves: self.serves.clone(),
            org: self.caller.org.clone(),
            weight: self.caller.weight,
            class: class.id.clone(),
            tier: class.tier,
            arrived: self.arrived,
            deadline: self.arrived + class.targets.first(),
            prompt: self.prompt,
            need: Requirements {
                tier: class.tier,
                idempotent: self.idempotent,
                prefix_hash: self.prefix,
                inter_token: class.targets.between(),
                avoid: self.avoid.clone(),
            },
            resumed,
        }
    }

    /// Records a failed attempt.
    pub(super) fn failed(&mut self, endpoint: EndpointId, verdict: Verdict) {
        self.attempts.record(verdict);
        self.avoid_next(endpoint);
        metrics::counter!("celerystage_attempts_failed_total").increment(1);
    }

    /// Avoids an endpoint in further attempts. When that leaves none, any may be tried again: the
    /// request would wait for ever otherwise.
    pub(super) fn avoid_next(&mut self, endpoint: EndpointId) {
        self.avoid.push(endpoint);
        let view = self.app.view();
        let listed = view.local.get(&self.serves);
        let left = listed.is_some_and(|l| l.iter().any(|e| !self.avoid.contains(&e.id)));
        if !left {
            self.avoid.clear();
        }
    }

    /// Whether another attempt may follow the failed ones. Takes it out of the budget for retries.
    pub(super) fn may_retry(&self) -> bool {
        let allowed = self.attempts.verdict().allows_retry(self.idempotent);
        if !allowed || self.attempts.made() >= MAX_ATTEMPTS {
            return false;
        }
        let granted = self.app.retries.lock().try_withdraw();
        if !granted {
            metrics::counter!("celerystage_retries_denied_total").increment(1);
        }
        granted
    }

    /// A refusal with the verdict of all attempts.
    pub(super) fn refusal(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.then(self.attempts.verdict());
        refusal
    }

    /// Counts and answers a refusal, with the verdict of all attempts.
    pub(super) fn refuse(&self, refusal: Refusal) -> Response {
        let refusal = self.refusal(refusal);
        self.count_failed(refusal.reason);
        refuse(self.id, &refusal)
    }

    /// Counts a request that was answered whole.
    pub(super) fn count_served(&self, timing: ResponseTiming) {
        let (ResponseTiming::Stream { tokens, .. } | ResponseTiming::Whole { tokens, .. }) = timing;
        let (class, org) = (&self.caller.class, &self.caller.org);
        let labels = [("class", class.id.to_string()), ("org", org.to_string())];
        metrics::counter!("celerystage_served_total", &labels).increment(1);
        metrics::counter!("celerystage_tokens_total", &labels).increment(tokens.0);
        self.app.accounts.served(class, org, timing);
        self.app.retries.lock().deposit();
    }

    /// Counts the tokens of a request that its caller broke off.
    pub(super) fn count_broken_off(&self, tokens: Tokens) {
        if tokens.0 > 0 {
            self.app.accounts.taken(&self.caller.org, tokens);
        }
    }

    /// Counts a request that was refused, or cut off by a failure.
    pub(super) fn count_failed(&self, reason: Reason) {
        let (class, org) = (&self.caller.class.id, &self.caller.org);
        self.app.accounts.refused(class, org, reason);
    }
}

/// Counts and answers a refusal.
pub(super) fn refuse(id: RequestId, refusal: &Refusal) -> Response {
    count_refusal(refusal);
    let mut response = refusal_response(refusal);
    response.insert_header(super::headers::ID_HEADER, id.to_string());
    response
}

/// Counts a refusal by reason and verdict.
pub(super) fn count_refusal(refusal: &Refusal) {
    metrics::counter!(
        "celerystage_refusals_total",
        "reason" => refusal.reason.as_str(),
        "verdict" => refusal.verdict.as_str(),
    )
    .increment(1);
}
