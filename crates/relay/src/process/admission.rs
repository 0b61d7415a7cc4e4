//! Admission of a request to the endpoint that was chosen for it.

use {
    super::placement::{MAX_RETURN_SHARE, MIN_RETURN_JITTER},
    crate::{configuration::Config, request::RoutedRequest},
    admit::{Forecast, QueueForecast},
    clock::Instant,
    route::{Placement, Placer},
    std::time::Duration,
    types::Tier,
};

/// Admission control at the chosen endpoint; the error is the time after which the caller may retry.
pub(super) fn admit_at(
    now: Instant,
    config: Option<&Config>,
    request: &RoutedRequest,
    placer: &mut Placer,
    placement: &Placement,
) -> Result<(), Duration> {
    // Refusing a resumed stream would waste the work already done for it.
    let resumes = request.caller.last_event.is_some();
    if request.was_sent() || resumes || request.caller.prompt.is_none() {
        return Ok(());
    }
    let remaining = request.deadline.since(now);
    let short = placer.is_short(now);
    let org = request.org.as_ref().map(|o| &o.id);
    let admission = placer.admission(now, request.urgency, org);
    if !admission.admits(fastrand::f64(), request.timely_retry) {
        let rule = admission.rule.as_str();
        metrics::counter!("celerystage_slot_refusals_total", "rule" => rule).increment(1);
        log::info!(
            request:% = request.caller.id, service:% = request.service, urgency = request.urgency.0,
            org = org.map_or("", |o| o.as_str()), rule = rule, share = admission.share,
            timely_retry = request.timely_retry;
            "request refused, as slots are short"
        );
        let jitter = MIN_RETURN_JITTER + (1.0 - MIN_RETURN_JITTER) * fastrand::f64();
        return Err(remaining.mul_f64(MAX_RETURN_SHARE * jitter));
    }
    // Engines don't preempt running requests, so the highest tier waits for a slot as well.
    let tier = |tier: Tier| if short { tier.max(Tier(1)) } else { tier };
    let patience = request.route.patience().filter(|_| short);
    let leaves = patience.map(|time| (request.arrived + time).since(now));
    let classes = config
        .into_iter()
        .flat_map(|c| c.more_urgent(&request.service, request.urgency));
    let more_urgent = classes.map(|class| QueueForecast {
        delay: placer.queue_delay(now, placement, class.urgency),
        target: class.target,
        tier: tier(class.tier),
    });
    let forecast = Forecast {
        queue: QueueForecast {
            delay: placement.queue_delay,
            target: request.route.target,
            tier: tier(request.tier),
        },
        predicted: placement.predicted,
        remaining: leaves.map_or(remaining, |left| left.min(remaining)),
        jitter: fastrand::f64(),
    };
    admit::admit(&forecast, more_urgent)
}
