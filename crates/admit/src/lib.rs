//! Admission: which waiting request runs next, and which is refused. Decisions only: no I/O, and time
//! is an argument.

mod average;
mod fifo;
mod forecast;
mod limiter;
mod queue;
mod ticket;
mod tiered;

pub use {
    fifo::Fifo,
    forecast::{Forecast, admit},
    limiter::{LimitKey, LimitShare, Limited, Limiter, OverLimit},
    queue::{ClassRule, Completion, Queue, Shed},
    ticket::{Ticket, TicketId},
    tiered::Tiered,
};
