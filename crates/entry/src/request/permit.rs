//! Enforces the limits of a caller's organisation.

use {
    super::caller::Caller,
    crate::{process::App, version::View},
    admit::{LimitExceeded, LimitKey, LimitKind},
    std::sync::Arc,
    types::{Reason, Refusal, RouteId, Tokens},
};

/// Counts a request against its organisation's limits until it is dropped.
pub(super) struct Permit {
    app: Arc<App>,
    key: LimitKey,
}

impl Permit {
    /// Admits a request, or refuses it if that would exceed a limit.
    pub(super) fn acquire(
        app: &Arc<App>,
        view: &View,
        caller: &Caller,
        route: Option<&RouteId>,
    ) -> Result<Self, Refusal> {
        let key = LimitKey {
            org: caller.org.clone(),
            class: caller.class.id.clone(),
            route: route.cloned(),
        };
        let limits = view.config.limits(&key.org, &key.class, route);
        let now = app.clock.now();
        let admitted = app.limiter.lock().admit(now, &key, &limits);
        admitted.map_err(over_limit_refusal)?;
        let app = app.clone();
        Ok(Self { app, key })
    }

    /// Charges generated tokens to the limits.
    pub(super) fn charge(&self, tokens: Tokens) {
        self.app.limiter.lock().charge_tokens(&self.key, tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.app.limiter.lock().release(&self.key);
    }
}

fn over_limit_refusal(exceeded: LimitExceeded) -> Refusal {
    let message = match exceeded.kind {
        LimitKind::Requests => "the organisation sends more requests a second than its limit",
        LimitKind::Tokens => "the organisation generates more tokens a second than its limit",
        LimitKind::Concurrent => "the organisation has as many requests at once as its limit",
    };
    Refusal::not_run(Reason::OverLimit, message).with_retry_after(exceeded.retry_after)
}
