//! Load that others put on an endpoint, from its lagging reports.

use {crate::LoadReport, clock::Instant, std::time::Duration};

/// Age at which a report counts for nothing.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The last report, less the requests that this scheduler had in flight when it came.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Foreign {
    requests: u32,
    at: Option<Instant>,
}

impl Foreign {
    pub(super) fn report(&mut self, now: Instant, report: LoadReport, flying: u32) {
        self.requests = (report.running + report.waiting).saturating_sub(flying);
        self.at = Some(now);
    }

    /// Estimated requests of others; the estimate fades with the report's age.
    pub(super) fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / MAX_AGE.as_secs_f64();
        f64::from(self.requests) * (1.0 - age).max(0.0)
    }
}
