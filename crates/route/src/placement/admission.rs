//! The share of requests that is admitted while slots are short, and the rule that refuses the others.

/// Rule by which requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRule {
    /// There are too few slots for all requests of their urgency.
    Urgency,
    /// Their organisation exceeds its share.
    Organisation,
}

impl AdmissionRule {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgency => "urgency",
            Self::Organisation => "organisation",
        }
    }
}

/// The share of requests that is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// From 0 to 1.
    pub share: f64,
    /// Rule by which the others are refused.
    pub rule: AdmissionRule,
}

impl Admission {
    /// All requests are admitted.
    pub(super) const ALL: Self = Self {
        share: 1.0,
        rule: AdmissionRule::Urgency,
    };

    /// Whether a request is admitted; `draw` is uniform in [0, 1). A retry that honoured `Retry-After` has two
    /// independent chances.
    pub fn admits(self, draw: f64, timely_retry: bool) -> bool {
        let refused = 1.0 - self.share;
        let refused = if timely_retry {
            refused * refused
        } else {
            refused
        };
        draw >= refused
    }
}
