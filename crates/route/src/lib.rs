//! Load balancing: decides which endpoint serves a request. No I/O; the current time is an
//! argument.

mod adaptive;
mod attempt_budget;
mod crash;
mod hedge;
mod least_outstanding;
mod notice;
mod picker;
mod placement;
mod prompt;
mod retry_reserve;
mod round_robin;
mod silence;
mod sliding_budget;
mod table;

pub use {
    adaptive::Adaptive,
    attempt_budget::{AttemptBudget, RETRY_BURST, RETRY_RATIO},
    crash::{
        CrashChange, CrashNews, CrashReport, CrashTable, EndpointStart, QuarantineNotice,
        RequestHash, SoundNotice, Suspect,
    },
    hedge::{HEDGE_BURST, HEDGE_RATIO, Hedger},
    least_outstanding::LeastOutstanding,
    notice::{FleetRank, LimitNotice, Notice, NoticeTable, Restriction},
    picker::{Candidate, LoadReport, Picker, RequestOutcome, Requirements},
    placement::{
        Admission, AdmissionRule, ColdPolicy, EndpointSpec, EngineProfile, Load, OrgRow, Outcomes,
        PeerLoad, PendingPrefill, Placement, PlacementOutcome, PlacementRequest, Placer, Reporter,
        SlotDemand, UrgencyAmounts,
    },
    prompt::Prompt,
    retry_reserve::RetryReserve,
    round_robin::RoundRobin,
    silence::{Activity, Silence, SilenceAction},
    sliding_budget::SlidingRetryBudget,
};
