//! HTTP handler for celerystage's other processes.

use {
    super::App,
    clock::SharedClock,
    http_types::{Request, Response, StatusCode},
    mesh::{
        DEMAND_PATH, Direction, LINK_PATH, LinkBatch, MeshNode, REVOKE_PATH, RevokeRequest,
        SYNC_PATH, count_message,
    },
    std::{sync::Arc, time::Duration},
    types::Bytes,
    usage::PULL_PATH,
    wire::{Handler, ResponseFuture, from_msgpack, read_body, to_msgpack},
};

const MAX_MESSAGE: Bytes = Bytes(16 * 1024 * 1024);
const MAX_BODY_GAP: Duration = Duration::from_secs(2);

/// Serves messages from entries, stewards and operators.
pub(super) struct MeshHandler {
    app: Arc<App>,
    node: Arc<MeshNode>,
    clock: SharedClock,
}

impl MeshHandler {
    pub(super) fn new(app: &Arc<App>) -> Self {
        Self {
            app: app.clone(),
            node: app.node.clone(),
            clock: app.clock.clone(),
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        if !self.node.auth().accepts(&request) {
            return Response::new(StatusCode::Unauthorized);
        }
        let path = request.url().path().to_owned();
        let body = request.take_body();
        let Ok(bytes) = read_body(body, MAX_MESSAGE, MAX_BODY_GAP, &*self.clock).await else {
            return Response::new(StatusCode::BadRequest);
        };
        let (path, answer) = match path.as_str() {
            SYNC_PATH => (SYNC_PATH, self.node.handle_sync_bytes(&bytes)),
            LINK_PATH => (LINK_PATH, self.handle_link(&bytes)),
            REVOKE_PATH => (REVOKE_PATH, self.handle_revoke(&bytes)),
            DEMAND_PATH => (DEMAND_PATH, to_msgpack(&self.app.scheduler.demand()).ok()),
            PULL_PATH => (PULL_PATH, self.app.accounting.handle_pull(&bytes)),
            _ => return Response::new(StatusCode::NotFound),
        };
        let Some(answer) = answer else {
            return Response::new(StatusCode::BadRequest);
        };
        count_message(path, Direction::Received, bytes.len());
        count_message(path, Direction::Sent, answer.len());
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(answer);
        response
    }
}

impl MeshHandler {
    /// Withdraws a key for an operator who cannot reach the log. Returns the number of keys that
    /// are withdrawn this way.
    fn handle_revoke(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let request: RevokeRequest = from_msgpack(bytes).ok()?;
        self.node.revoke(request.key);
        log::warn!(key:% = request.key; "key withdrawn by an operator");
        to_msgpack(&self.node.store().revoked().len()).ok()
    }

    /// Handles a batch of messages from another entry.
    fn handle_link(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let batch: LinkBatch = from_msgpack(bytes).ok()?;
        let msgs = self.node.accept_batch(&batch)?;
        let skipped = batch.msgs.len() - msgs.len();
        for msg in msgs {
            self.app.sharing.handle(&batch.from, msg);
        }
        to_msgpack(&self.node.link_response(skipped, self.app.headroom())).ok()
    }
}

impl Handler for MeshHandler {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}
