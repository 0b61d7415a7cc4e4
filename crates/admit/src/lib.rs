//! Admission control: decides which waiting request is dispatched next and which is refused. No
//! I/O; the current time is an argument.

mod average;
mod fifo;
mod forecast;
mod limiter;
mod queue;
mod queued_request;
mod retry_detector;
mod tiered;

pub use {
    fifo::FifoQueue,
    forecast::{Forecast, QueueForecast, admit},
    limiter::{LimitExceeded, LimitKey, LimitKind, LimitShare, Limiter},
    queue::{ClassRule, Completion, Queue, ShedRequest},
    queued_request::{QueuedRequest, QueuedRequestId},
    retry_detector::{MIN_RETRY_WAIT_SHARE, RetryDetector},
    tiered::TieredQueue,
};
