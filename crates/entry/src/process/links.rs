//! Answers the system's other processes.

use {
    super::App,
    crate::sched::Scheduler,
    clock::SharedClock,
    http_types::{Request, Response, StatusCode},
    mesh::{DEMAND_PATH, Node, SYNC_PATH},
    std::{sync::Arc, time::Duration},
    types::Bytes,
    wire::{Handled, Handler, read_body, to_rmp},
};

const MAX_MESSAGE: Bytes = Bytes(16 * 1024 * 1024);
const MESSAGE_GAP: Duration = Duration::from_secs(2);

/// Handles messages from the system's other processes.
pub(super) struct MeshHandler {
    node: Arc<Node>,
    scheduler: Arc<Scheduler>,
    clock: SharedClock,
}

impl MeshHandler {
    pub(super) fn new(app: &App) -> Self {
        Self {
            node: app.node.clone(),
            scheduler: app.scheduler.clone(),
            clock: app.clock.clone(),
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        if !self.node.auth().accepts(&request) {
            return Response::new(StatusCode::Unauthorized);
        }
        let path = request.url().path().to_owned();
        let body = request.take_body();
        let Ok(bytes) = read_body(body, MAX_MESSAGE, MESSAGE_GAP, &*self.clock).await else {
            return Response::new(StatusCode::BadRequest);
        };
        let answer = match path.as_str() {
            SYNC_PATH => self.node.answer_bytes(&bytes),
            DEMAND_PATH => to_rmp(&self.scheduler.demand()).ok(),
            _ => return Response::new(StatusCode::NotFound),
        };
        let Some(answer) = answer else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(answer);
        response
    }
}

impl Handler for MeshHandler {
    fn call(&self, request: Request) -> Handled<'_> {
        Box::pin(self.answer(request))
    }
}
