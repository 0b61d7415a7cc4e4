//! What answers requests.

use {
    http_types::{Request, Response},
    std::{future::Future, pin::Pin},
};

/// A handler's answer in the making. It is dropped when the caller hangs up.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response> + Send + 'a>>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, request: Request) -> ResponseFuture<'_>;
}
