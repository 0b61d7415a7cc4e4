//! A slot that another VM gave, as its request holds it.

use {
    super::{Slot, remote::Remote},
    clock::Stamp,
    mesh::{LinkMsg, ProgressMsg, TicketNo},
    parking_lot::Mutex,
    route::RequestOutcome,
    std::{sync::Arc, time::Duration},
    types::{ModelId, Tokens, VmId, ZoneId},
};

/// Time between two messages about the tokens of one request.
const PROGRESS_GAP: Duration = Duration::from_millis(500);

/// Withdraws an ask whose request is gone, or gives its slot back.
pub(super) struct Withdraw {
    pub(super) remote: Arc<Remote>,
    pub(super) ticket: TicketNo,
    pub(super) zone: ZoneId,
    pub(super) home: VmId,
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        self.remote.withdraw(self.ticket, &self.home);
    }
}

/// Tokens of a request since its last message.
struct Flow {
    at: Stamp,
    first: Option<Duration>,
    tokens: u64,
    span: Duration,
}

/// The asking side of a lease that another VM gave.
pub(super) struct RemoteSlot {
    granted: Withdraw,
    serves: ModelId,
    flow: Mutex<Flow>,
}

impl RemoteSlot {
    /// A slot that was just granted.
    pub(super) fn new(granted: Withdraw, serves: ModelId) -> Self {
        let at = granted.remote.now();
        let flow = Flow {
            at,
            first: None,
            tokens: 0,
            span: Duration::ZERO,
        };
        Self {
            granted,
            serves,
            flow: Mutex::new(flow),
        }
    }

    fn flush(&self, flow: &mut Flow) {
        if flow.tokens == 0 && flow.first.is_none() {
            return;
        }
        let msg = ProgressMsg {
            ticket: self.granted.ticket,
            first: flow.first.take(),
            tokens: Tokens(std::mem::take(&mut flow.tokens)),
            span: std::mem::take(&mut flow.span),
        };
        flow.at = self.granted.remote.now();
        self.send(LinkMsg::Progress(msg));
    }

    /// Sends to the VM that schedules the model now, and to the one that gave the slot.
    fn send(&self, msg: LinkMsg) {
        let remote = &self.granted.remote;
        let now = remote.home_now(&self.granted.zone, &self.serves);
        if let Some(home) = now.filter(|h| *h != self.granted.home) {
            remote.send(&home, msg.clone());
        }
        remote.send(&self.granted.home, msg);
    }
}

impl Slot for RemoteSlot {
    fn first_token(&self, after: Duration) {
        self.flow.lock().first = Some(after);
    }

    fn progress(&self, tokens: Tokens, span: Duration) {
        let now = self.granted.remote.now();
        let mut flow = self.flow.lock();
        flow.tokens += tokens.0;
        flow.span += span;
        if now.since(flow.at) >= PROGRESS_GAP {
            self.flush(&mut flow);
        }
    }

    fn done(&self, ending: RequestOutcome) {
        self.flush(&mut self.flow.lock());
        let ticket = self.granted.ticket;
        self.granted.remote.ended(ticket);
        self.send(LinkMsg::Done(ticket, ending));
    }
}
