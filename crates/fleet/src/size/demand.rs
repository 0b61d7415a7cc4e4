//! What an availability zone's entries say of one model or service.

/// Attainment against its objective, both from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attained {
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
    pub held: u32,
    /// Attainment of the class that misses its objective most, when known.
    pub attained: Option<Attained>,
}

impl Demand {
    /// Requests that wait or run.
    pub fn total(&self) -> u32 {
        self.waiting.saturating_add(self.held)
    }

    /// Whether a class misses its objective.
    pub fn is_missed(&self) -> bool {
        self.attained.is_some_and(|a| a.share < a.objective)
    }
}
