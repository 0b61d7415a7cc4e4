//! HTTP interface of the stand-in platform.

use {
    super::{control::PlatformCommand, state::State},
    crate::http::{empty_response, parse_body},
    clock::{SharedClock, timeout},
    event_listener::Event,
    http_types::{Method, Request, Response},
    parking_lot::Mutex,
    ports::{AppendBody, Appended, Order, Stream},
    std::{future::pending, time::Duration},
    wire::{Handler, ResponseFuture, json_response},
};

/// The stand-in platform.
pub struct Platform {
    clock: SharedClock,
    state: Mutex<State>,
    /// Notified at each append.
    appended: Event,
}

impl Platform {
    /// Creates a platform with empty lists and logs.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            appended: Event::new(),
        }
    }

    async fn respond(&self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        if path == "/control" {
            return self.control(&mut request).await;
        }
        if path == "/control/record" {
            return json_response(200, &self.state.lock().received_calls());
        }
        let faults = self.state.lock().faults.clone();
        if faults.down {
            return empty_response(503);
        }
        self.clock.sleep(faults.delay()).await;
        let has_effect = request.method() == Method::Post;
        let response = self.route(&path, &mut request).await;
        if has_effect && self.take_lost_response() {
            return pending().await;
        }
        response
    }

    /// Whether this response is lost. If so, decrements the number of responses still to lose.
    fn take_lost_response(&self) -> bool {
        let mut state = self.state.lock();
        if state.faults.lose_answers == 0 {
            return false;
        }
        state.faults.lose_answers -= 1;
        true
    }

    async fn route(&self, path: &str, request: &mut Request) -> Response {
        if let Some(name) = path.strip_prefix("/log/") {
            return match name.parse() {
                Ok(stream) if request.method() == Method::Post => {
                    self.append(stream, request).await
                }
                Ok(stream) => self.read(stream, request).await,
                Err(_) => empty_response(404),
            };
        }
        match path {
            "/vms" => json_response(200, self.state.lock().vms()),
            "/endpoints" => json_response(200, &self.state.lock().endpoints()),
            "/orders" => self.order(request).await,
            "/usage" => self.usage(request).await,
            _ => empty_response(404),
        }
    }

    async fn append(&self, stream: Stream, request: &mut Request) -> Response {
        let Some(AppendBody { data }) = parse_body(request).await else {
            return empty_response(400);
        };
        let offset = self.state.lock().append(stream, &data, self.unix_ms());
        self.appended.notify(usize::MAX);
        json_response(200, &Appended { offset })
    }

    /// Reads a page, and waits up to `wait_ms` for the first record at or after `from`.
    async fn read(&self, stream: Stream, request: &Request) -> Response {
        let from = query_number(request, "from");
        let wait = Duration::from_millis(query_number(request, "wait_ms"));
        let until_appended = async {
            loop {
                let appended = self.appended.listen();
                if self.state.lock().read(stream, from).next > from {
                    return;
                }
                appended.await;
            }
        };
        let _ = timeout(&*self.clock, wait, until_appended).await;
        if self.state.lock().faults.down {
            return empty_response(503);
        }
        json_response(200, &self.state.lock().read(stream, from))
    }

    async fn order(&self, request: &mut Request) -> Response {
        let Some(order) = parse_body::<Order>(request).await else {
            return empty_response(400);
        };
        let at_ms = self.unix_ms();
        let accepted = self.state.lock().execute_order(&order, at_ms);
        if accepted {
            json_response(200, &())
        } else {
            empty_response(409)
        }
    }

    async fn usage(&self, request: &mut Request) -> Response {
        let Some(report) = parse_body(request).await else {
            return empty_response(400);
        };
        let at_ms = self.unix_ms();
        self.state.lock().add_report(report, at_ms);
        json_response(200, &())
    }

    async fn control(&self, request: &mut Request) -> Response {
        let Some(command) = parse_body::<PlatformCommand>(request).await else {
            return empty_response(400);
        };
        self.state.lock().apply(command);
        empty_response(200)
    }

    fn unix_ms(&self) -> u64 {
        u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Value of a numeric query parameter; 0 if it is missing or not a number.
fn query_number(request: &Request, name: &str) -> u64 {
    let pairs = request.url().query_pairs();
    let mut values = pairs
        .filter(|(n, _)| n == name)
        .filter_map(|(_, v)| v.parse().ok());
    values.next().unwrap_or_default()
}

impl Handler for Platform {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.respond(request))
    }
}
