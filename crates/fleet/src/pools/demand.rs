//! Demand for one model or service, as reported by the entries of an availability zone.

/// Service-level attainment and its objective, both from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attainment {
    /// Share of recent requests that met their targets.
    pub share: f64,
    /// Required share.
    pub objective: f64,
}

/// Demand for one model or service in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Waiting requests.
    pub waiting: u32,
    /// Requests running at endpoints.
    pub running: u32,
    /// Attainment of the class that is furthest below its objective, if known.
    pub attainment: Option<Attainment>,
}

impl Demand {
    /// Waiting and running requests.
    pub fn total(&self) -> u32 {
        self.waiting.saturating_add(self.running)
    }

    /// Whether a class is below its objective.
    pub fn misses_objective(&self) -> bool {
        self.attainment.is_some_and(|a| a.share < a.objective)
    }
}
