//! What an availability zone's entries say of one model or service.

/// Attainment against its objective, both from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attainment {
    /// Share of requests that met their targets lately.
    pub share: f64,
    /// Share that must meet them.
    pub objective: f64,
}

/// Demand for one model or service in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests at endpoints.
    pub running: u32,
    /// Attainment of the class that misses its objective most, when known.
    pub attainment: Option<Attainment>,
}

impl Demand {
    /// Requests that wait or run.
    pub fn total(&self) -> u32 {
        self.waiting.saturating_add(self.running)
    }

    /// Whether a class misses its objective.
    pub fn misses_objective(&self) -> bool {
        self.attainment.is_some_and(|a| a.share < a.objective)
    }
}
