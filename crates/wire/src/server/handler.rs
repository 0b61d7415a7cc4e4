//! The interface between the server and the code that answers requests.

use {
    http_types::{Request, Response},
    std::{future::Future, pin::Pin},
};

/// Resolves to a handler's response. The server drops it when the caller disconnects.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response> + Send + 'a>>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, request: Request) -> ResponseFuture<'_>;
}
