//! Watches a request whose endpoint is silent.

use {
    super::{
        attempt::{open, until_dead},
        path::Path,
        routed_request::RoutedRequest,
        slot_lease::SlotLease,
    },
    crate::process::Node,
    clock::Instant,
    route::{PlacementOutcome, Silence, SilenceAction},
    std::{sync::Arc, time::Duration},
    types::EndpointId,
};

/// Silence after which it is looked at what the endpoint does.
const FIRST_LOOK: Duration = Duration::from_millis(700);
/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest gap between events that is taken for silence: a burst of long prompts causes gaps of about
/// this length.
const MIN_GAP_LIMIT: Duration = Duration::from_millis(1_200);
/// Gap between events that is taken for silence, in multiples of the route's pause target.
const MAX_GAP_PAUSES: u32 = 4;
/// How long callers wait for the next event: the longest of this time and multiples of the route's
/// latency and pause targets.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// Where a request goes on that is taken from a silent endpoint.
pub(super) struct Relocation {
    /// A slot of the other endpoint, and a connection to it.
    pub(super) slot: SlotLease,
    pub(super) opened: Path,
    /// Why it is taken from the silent one.
    pub(super) cause: &'static str,
    /// What that says of the silent one.
    pub(super) outcome: PlacementOutcome,
}

/// A request that waits for its endpoint.
pub(super) struct SilenceWatch<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) request: &'a RoutedRequest,
    pub(super) slot: &'a SlotLease,
    /// Endpoints that have had the request.
    pub(super) avoid: &'a [EndpointId],
    /// Whether the response has begun.
    pub(super) begun: bool,
    /// Whether another endpoint must prove that it hasn't restarted since it was listed.
    pub(super) proven: bool,
    /// When the last event came, or the wait began.
    pub(super) since: Instant,
}

impl SilenceWatch<'_> {
    /// Whether the silence has lasted so long that it was looked at.
    pub(super) fn is_long(&self) -> bool {
        self.node.clock.now().since(self.since) >= FIRST_LOOK
    }

    /// Resolves when the request may leave its endpoint and there is another one for it. Until then it
    /// waits, as the endpoint may go on.
    pub(super) async fn until_relocated(&self) -> Box<Relocation> {
        let silent = self.node.clock.now().since(self.since);
        self.node
            .clock
            .sleep(FIRST_LOOK.saturating_sub(silent))
            .await;
        loop {
            if let Some(relocation) = self.relocate().await {
                return Box::new(relocation);
            }
            self.node.clock.sleep(LOOK_INTERVAL).await;
        }
    }

    /// Resolves when the endpoint has ended.
    pub(super) async fn until_ended(&self) {
        until_dead(self.node, self.request, self.slot).await;
    }

    async fn relocate(&self) -> Option<Relocation> {
        let silence = self.silence();
        let action = silence.action();
        let (cause, outcome) = match action {
            SilenceAction::Wait => return None,
            SilenceAction::Check => {
                self.node.check_connections(self.slot);
                return None;
            }
            SilenceAction::Lost => ("stream lost by its endpoint", PlacementOutcome::Failed),
            SilenceAction::Dead => ("endpoint went silent", PlacementOutcome::Unreachable),
        };
        let slot = self.node.acquire_other(self.request, self.avoid)?;
        let opened = match open(self.node, self.request, &slot, self.proven).await {
            Ok(opened) => opened,
            Err(failure) => {
                log::info!(request:% = self.request.caller.id, other:% = slot.endpoint(), cause = failure; "no connection for a request at a silent endpoint");
                slot.finish(PlacementOutcome::Unreachable);
                return None;
            }
        };
        if !self.node.take_retry(self.request) {
            slot.finish(PlacementOutcome::Unsent);
            return None;
        }
        log::info!(
            request:% = self.request.caller.id, endpoint:% = self.slot.endpoint(), other:% = slot.endpoint(),
            silent_ms = silence.request.as_millis() as u64, accepts:? = silence.accepts, action:? = action;
            "request leaves a silent endpoint"
        );
        Some(Relocation {
            slot,
            opened,
            cause,
            outcome,
        })
    }

    fn silence(&self) -> Silence {
        let pause = self.request.route.pause.unwrap_or_default();
        let limit = if self.begun {
            MIN_GAP_LIMIT.max(pause * MAX_GAP_PAUSES)
        } else {
            MIN_GAP_LIMIT
        };
        Silence {
            request: self.node.clock.now().since(self.since),
            activity: self.node.activity(self.slot),
            accepts: self.node.accepts_connections(self.slot.target.addr),
            begun: self.begun,
            limit,
            patience: MIN_PATIENCE
                .max(self.request.route.target * PATIENCE_TARGETS)
                .max(pause * PATIENCE_PAUSES),
        }
    }
}
