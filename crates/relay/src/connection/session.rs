//! Serves the requests of a caller's connection, one after the other.

use {
    super::request_body::{BodyFailure, RequestBody, read_body},
    crate::{
        process::{ConnectionGuard, Node, StreamService},
        request::{Response, RoutedRequest, StreamOutcome, accept, run_buffered, run_stream},
    },
    clock::{Instant, timeout},
    futures_lite::FutureExt,
    h1::{Conn, HeadError, RequestHead},
    std::{sync::Arc, time::Duration},
    types::{Reason, Refusal, Verdict},
};

/// Timeout for sending a buffered response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After` of a request for whose body there is no memory, and the range over which such callers are
/// spread.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(300);
const NO_ROOM_SPREAD_MS: u64 = 600;
/// Time for which a connection is still read after a request was refused unread. Closing it at once
/// would reset it, and the caller might lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Time for which a request is still awaited once idle connections are closed. Callers may have opened the
/// connection just now.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// What happens to a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disposition {
    Keep,
    Close,
}

/// Serves a connection until it is closed.
pub(crate) async fn session(node: Arc<Node>, mut conn: Conn, guard: ConnectionGuard) {
    while serve_request(&node, &mut conn).await == Disposition::Keep {}
    drop(guard);
}

async fn serve_request(node: &Arc<Node>, conn: &mut Conn) -> Disposition {
    let limits = node.caller_limits();
    if conn.buffered().is_empty() {
        let readable = async { matches!(conn.fill().await, Ok(size) if size > 0) };
        let closing = async {
            node.lifecycle.idle_closing().await;
            node.clock.sleep(LAST_REQUEST_TIME).await;
            false
        };
        let first = timeout(&*node.clock, limits.idle, readable.or(closing)).await;
        if first != Ok(true) {
            let reason = if first.is_err() { "idle" } else { "ended" };
            metrics::counter!("celerystage_caller_connections_closed_total", "reason" => reason)
                .increment(1);
            return Disposition::Close;
        }
    }
    let read = timeout(
        &*node.clock,
        limits.head_time,
        conn.request_head(limits.head),
    )
    .await;
    let head = match read {
        Ok(Ok(Ok(Some(head)))) => head,
        Ok(Ok(Ok(None)) | Err(_)) => return Disposition::Close,
        Ok(Ok(Err(HeadError::TooLarge))) => {
            return refuse_unread(node, conn, 431, "head over the size limit").await;
        }
        Ok(Ok(Err(HeadError::Malformed))) => {
            return refuse_unread(node, conn, 400, "malformed head").await;
        }
        Err(_) => return refuse_unread(node, conn, 408, "head took too long").await,
    };
    let arrived = node.clock.now();
    let _open = node.lifecycle.open_request();
    let body = match read_body(node, conn, &head).await {
        Ok(body) => body,
        Err(BodyFailure::Lost) => return Disposition::Close,
        Err(BodyFailure::Invalid(status, text)) => {
            return refuse_unread(node, conn, status, text).await;
        }
        Err(BodyFailure::NoRoom) => return refuse_without_room(node, conn).await,
    };
    let RequestBody { bytes, held } = body;
    let disposition = route_request(node, conn, (head, bytes), arrived).await;
    drop(held);
    disposition
}

/// Refuses a request that was not read to its end, and closes the connection.
async fn refuse_unread(
    node: &Arc<Node>,
    conn: &mut Conn,
    status: u16,
    text: &'static str,
) -> Disposition {
    let mut response = Response::refusal(Refusal::not_run(Reason::BadRequest, text));
    response.head.status = status;
    close_unread(node, conn, &response, text).await
}

/// Refuses a request for whose body there is no memory, and closes the connection.
async fn refuse_without_room(node: &Arc<Node>, conn: &mut Conn) -> Disposition {
    const TEXT: &str = "no memory left for the body";
    metrics::counter!("celerystage_requests_without_room_total").increment(1);
    let spread = Duration::from_millis(fastrand::u64(..NO_ROOM_SPREAD_MS));
    let refusal = Refusal::not_run(Reason::Overloaded, TEXT);
    let refusal = refusal.with_retry_after(NO_ROOM_RETRY_AFTER + spread);
    close_unread(node, conn, &Response::refusal(refusal), TEXT).await
}

/// Sends the response to a request that was not read to its end, and closes the connection.
async fn close_unread(
    node: &Arc<Node>,
    conn: &mut Conn,
    response: &Response,
    cause: &'static str,
) -> Disposition {
    let status = response.head.status;
    log::info!(status = status, cause = cause; "request refused unread");
    let bytes = response.bytes(true, false);
    if !matches!(
        timeout(&*node.clock, WRITE_TIMEOUT, conn.write_all(&bytes)).await,
        Ok(Ok(()))
    ) {
        return Disposition::Close;
    }
    let drain = async {
        while matches!(conn.fill().await, Ok(size) if size > 0) {
            let size = conn.buffered().len();
            conn.consume(size);
        }
    };
    let drained = timeout(&*node.clock, LINGER_TIME, drain).await;
    if drained.is_err() {
        log::debug!(status = status; "caller still sending after a refusal");
    }
    Disposition::Close
}

async fn route_request(
    node: &Arc<Node>,
    conn: &mut Conn,
    (head, body): (RequestHead, Vec<u8>),
    arrived: Instant,
) -> Disposition {
    let is_head = head.method == "HEAD";
    let keep_alive = head.keeps_alive() && !node.lifecycle.is_stopping();
    let request = match accept(node, head, body, arrived) {
        Ok(request) => request,
        Err(refusal) => {
            node.log_refusal(&refusal);
            let response = Response::refusal(refusal);
            return send_response(node, conn, &response, (keep_alive, is_head)).await;
        }
    };
    node.earn_retry(&request);
    if request.route.kind.is_stream() {
        let request = match find_service(node, conn, request, (keep_alive, is_head)).await {
            Ok(request) => request,
            Err(disposition) => return disposition,
        };
        return serve_stream(node, conn, &request, keep_alive).await;
    }
    let Some(response) = run_until_caller_leaves(node, conn, &request).await else {
        node.log_caller_left(&request);
        return Disposition::Close;
    };
    node.log_response(&request, &response);
    send_response(node, conn, &response, (keep_alive, is_head)).await
}

/// Runs a request with a buffered response; `None` if the caller left.
async fn run_until_caller_leaves(
    node: &Arc<Node>,
    conn: &mut Conn,
    request: &RoutedRequest,
) -> Option<Response> {
    let remaining = request.deadline.since(node.clock.now());
    let work = async { Some(run_buffered(node, request).await) };
    let caller_left = async {
        conn.wait_closed().await;
        None
    };
    let done = timeout(&*node.clock, remaining, work.or(caller_left)).await;
    if request.verdict() == Verdict::MayHaveRun {
        node.count_usage(request);
    }
    done.unwrap_or_else(|_| Some(Response::refusal(request.timed_out())))
}

/// Routes a stream to its service, on routes that distribute streams by weight.
async fn find_service(
    node: &Arc<Node>,
    conn: &mut Conn,
    mut request: RoutedRequest,
    options: (bool, bool),
) -> Result<RoutedRequest, Disposition> {
    let lookup = async { Some(node.find_service(&request).await) };
    let caller_left = async {
        conn.wait_closed().await;
        None
    };
    match lookup.or(caller_left).await {
        Some(Ok(StreamService::Selected)) => {}
        Some(Ok(StreamService::Other(service))) => request.service = service,
        Some(Ok(StreamService::Known(origin))) => {
            request.service = origin.service;
            request.set_origin(origin.release);
        }
        Some(Err(refusal)) => {
            let response = Response::refusal(refusal);
            node.log_response(&request, &response);
            return Err(send_response(node, conn, &response, options).await);
        }
        None => {
            node.log_caller_left(&request);
            return Err(Disposition::Close);
        }
    }
    Ok(request)
}

async fn serve_stream(
    node: &Arc<Node>,
    conn: &mut Conn,
    request: &RoutedRequest,
    keep_alive: bool,
) -> Disposition {
    match run_stream(node, request, conn, !keep_alive).await {
        StreamOutcome::Complete => {
            node.log_stream(request, "whole");
            if keep_alive {
                Disposition::Keep
            } else {
                Disposition::Close
            }
        }
        StreamOutcome::CallerLeft => {
            node.log_caller_left(request);
            Disposition::Close
        }
        StreamOutcome::Broken(refusal) => {
            node.log_broken_stream(request, &refusal);
            Disposition::Close
        }
        StreamOutcome::NotStarted(response) => {
            node.log_response(request, &response);
            send_response(node, conn, &response, (keep_alive, false)).await
        }
    }
}

async fn send_response(
    node: &Arc<Node>,
    conn: &mut Conn,
    response: &Response,
    (keep_alive, is_head): (bool, bool),
) -> Disposition {
    let bytes = response.bytes(!keep_alive, is_head);
    let written = timeout(&*node.clock, WRITE_TIMEOUT, conn.write_all(&bytes)).await;
    match written {
        Ok(Ok(())) if keep_alive => Disposition::Keep,
        _ => Disposition::Close,
    }
}
