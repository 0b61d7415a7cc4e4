//! Metrics and health pages.

use {
    http_types::{Request, Response, StatusCode},
    metrics_exporter_prometheus::PrometheusHandle,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    wire::{Handled, Handler},
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

/// Serves `/metrics`, `/healthz` and `/readyz`.
pub struct Admin {
    metrics: PrometheusHandle,
    ready: Readiness,
}

impl Admin {
    /// Pages for a process.
    pub fn new(metrics: PrometheusHandle, ready: Readiness) -> Self {
        Self { metrics, ready }
    }

    fn page(&self, path: &str) -> Response {
        match path {
            "/metrics" => {
                self.metrics.run_upkeep();
                text(StatusCode::Ok, self.metrics.render())
            }
            "/healthz" => text(StatusCode::Ok, "ok\n".into()),
            "/readyz" if self.ready.get() => text(StatusCode::Ok, "ready\n".into()),
            "/readyz" => text(StatusCode::ServiceUnavailable, "not ready\n".into()),
            _ => text(
                StatusCode::NotFound,
                "pages: /metrics /healthz /readyz\n".into(),
            ),
        }
    }
}

fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

impl Handler for Admin {
    fn call(&self, request: Request) -> Handled<'_> {
        Box::pin(async move { self.page(request.url().path()) })
    }
}
