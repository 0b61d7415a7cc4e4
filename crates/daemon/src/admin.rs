//! The admin server's pages: metrics, health and pages of the process itself.

use {
    http_types::{Request, Response, StatusCode},
    metrics_exporter_prometheus::PrometheusHandle,
    parking_lot::RwLock,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    wire::{Handler, ResponseFuture},
};

/// Whether the process takes new work.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process takes new work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::SeqCst);
    }

    /// Whether the process takes new work.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Produces the body of a JSON page.
type Page = Box<dyn Fn() -> Vec<u8> + Send + Sync>;

/// JSON pages that a process adds to its admin address.
#[derive(Clone, Default)]
pub struct AdminPages(Arc<RwLock<BTreeMap<&'static str, Page>>>);

impl AdminPages {
    /// Adds a page at `path`.
    pub fn add(&self, path: &'static str, page: impl Fn() -> Vec<u8> + Send + Sync + 'static) {
        self.0.write().insert(path, Box::new(page));
    }

    fn render(&self, path: &str) -> Option<Vec<u8>> {
        self.0.read().get(path).map(|page| page())
    }
}

/// Serves `/metrics`, `/healthz`, `/readyz` and the pages that the process added.
pub struct AdminHandler {
    metrics: PrometheusHandle,
    ready: Readiness,
    pages: AdminPages,
}

impl AdminHandler {
    /// Creates the handler of a process.
    pub fn new(metrics: PrometheusHandle, ready: Readiness, pages: AdminPages) -> Self {
        Self {
            metrics,
            ready,
            pages,
        }
    }

    fn page(&self, path: &str) -> Response {
        match path {
            "/metrics" => {
                self.metrics.run_upkeep();
                text_response(StatusCode::Ok, self.metrics.render())
            }
            "/healthz" => text_response(StatusCode::Ok, "ok\n".into()),
            "/readyz" if self.ready.get() => text_response(StatusCode::Ok, "ready\n".into()),
            "/readyz" => text_response(StatusCode::ServiceUnavailable, "not ready\n".into()),
            _ => self.added_page(path),
        }
    }

    fn added_page(&self, path: &str) -> Response {
        match self.pages.render(path) {
            Some(body) => json_response(body),
            None => text_response(
                StatusCode::NotFound,
                "pages: /metrics /healthz /readyz\n".into(),
            ),
        }
    }
}

fn json_response(body: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.set_content_type(http_types::mime::JSON);
    response
}

fn text_response(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

impl Handler for AdminHandler {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(async move { self.page(request.url().path()) })
    }
}
