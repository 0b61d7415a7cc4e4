//! Admission: which waiting request runs next, and which is refused. Decisions only: no I/O, and time
//! is an argument.

mod fifo;
mod queue;
mod ticket;

pub use {
    fifo::Fifo,
    queue::{ClassRule, Queue, Shed},
    ticket::{Ticket, TicketId},
};
