//! A slot leased from another VM, as held by a request.

use {
    super::{Slot, lease_client::LeaseClient},
    clock::Instant,
    mesh::{LinkMsg, ProgressMsg, TicketNo},
    parking_lot::Mutex,
    route::RequestOutcome,
    std::{sync::Arc, time::Duration},
    types::{ModelId, Tokens, VmId, ZoneId},
};

/// Shortest interval between two progress messages for one request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Identifies a slot requested from another VM. When dropped, it cancels the request if that is
/// still pending.
pub(super) struct TicketGuard {
    pub(super) client: Arc<LeaseClient>,
    pub(super) ticket: TicketNo,
    pub(super) zone: ZoneId,
    pub(super) home: VmId,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.client.cancel(self.ticket, &self.home);
    }
}

/// Progress since the last progress message.
struct UnsentProgress {
    sent_at: Instant,
    first_token: Option<Duration>,
    tokens: u64,
    span: Duration,
}

/// Client side of a lease that another VM granted.
pub(super) struct RemoteSlot {
    guard: TicketGuard,
    serves: ModelId,
    unsent: Mutex<UnsentProgress>,
}

impl RemoteSlot {
    /// Creates the slot for a grant that has just arrived.
    pub(super) fn new(guard: TicketGuard, serves: ModelId) -> Self {
        let sent_at = guard.client.now();
        let unsent = UnsentProgress {
            sent_at,
            first_token: None,
            tokens: 0,
            span: Duration::ZERO,
        };
        Self {
            guard,
            serves,
            unsent: Mutex::new(unsent),
        }
    }

    fn flush(&self, unsent: &mut UnsentProgress) {
        if unsent.tokens == 0 && unsent.first_token.is_none() {
            return;
        }
        let msg = ProgressMsg {
            ticket: self.guard.ticket,
            first_token: unsent.first_token.take(),
            tokens: Tokens(std::mem::take(&mut unsent.tokens)),
            span: std::mem::take(&mut unsent.span),
        };
        unsent.sent_at = self.guard.client.now();
        self.send(LinkMsg::Progress(msg));
    }

    /// Sends to the VM that granted the slot and, if another VM has become home to the model since,
    /// to that one too.
    fn send(&self, msg: LinkMsg) {
        let client = &self.guard.client;
        let current_home = client.current_home(&self.guard.zone, &self.serves);
        if let Some(home) = current_home.filter(|h| *h != self.guard.home) {
            client.send(&home, msg.clone());
        }
        client.send(&self.guard.home, msg);
    }
}

impl Slot for RemoteSlot {
    fn record_first_token(&self, after: Duration) {
        self.unsent.lock().first_token = Some(after);
    }

    fn record_progress(&self, tokens: Tokens, span: Duration) {
        let now = self.guard.client.now();
        let mut unsent = self.unsent.lock();
        unsent.tokens += tokens.0;
        unsent.span += span;
        if now.since(unsent.sent_at) >= PROGRESS_INTERVAL {
            self.flush(&mut unsent);
        }
    }

    fn release(&self, outcome: RequestOutcome) {
        self.flush(&mut self.unsent.lock());
        let ticket = self.guard.ticket;
        self.guard.client.remove_running(ticket);
        self.send(LinkMsg::Done(ticket, outcome));
    }
}
