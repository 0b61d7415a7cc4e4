//! Endpoint choice: which endpoint takes a request. Decisions only: no I/O, and time is an argument.

mod adaptive;
mod budget;
mod hedge;
mod least;
mod picker;
mod placement;
mod prompt;
mod robin;
mod table;
mod window;

pub use {
    adaptive::Adaptive,
    budget::{Budget, RETRY_CAP, RETRY_SHARE},
    hedge::{HEDGE_CAP, HEDGE_SHARE, Hedger},
    least::LeastOutstanding,
    picker::{Candidate, LoadReport, Picker, RequestOutcome, Requirements},
    placement::{
        EndpointSpec, EngineProfile, Load, PeerLoad, Placement, PlacementOutcome, PlacementRequest,
        Placer,
    },
    prompt::Prompt,
    robin::RoundRobin,
    window::WindowBudget,
};
