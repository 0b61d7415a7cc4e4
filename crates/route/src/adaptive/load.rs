//! Load from other schedulers, derived from the delayed load reports of engines.

use {crate::LoadReport, clock::Instant, std::time::Duration};

/// Age from which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Requests of the last report, minus those that this scheduler had in flight when it arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExternalLoad {
    requests: u32,
    reported: Option<Instant>,
}

impl ExternalLoad {
    pub(super) fn update(&mut self, now: Instant, report: LoadReport, in_flight: u32) {
        self.requests = (report.running + report.waiting).saturating_sub(in_flight);
        self.reported = Some(now);
    }

    /// Estimated requests of other schedulers; falls linearly to zero with the report's age.
    pub(super) fn estimate(&self, now: Instant) -> f64 {
        let Some(reported) = self.reported else {
            return 0.0;
        };
        let age = now.since(reported).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        f64::from(self.requests) * (1.0 - age).max(0.0)
    }
}
