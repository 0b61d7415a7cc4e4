//! The platform's HTTP interface.

use {
    super::{control::PlatformCommand, state::State},
    crate::reply::{body, empty},
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
    appended: Event,
}

impl Platform {
    /// An empty platform.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            appended: Event::new(),
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        if path == "/control" {
            return self.control(&mut request).await;
        }
        if path == "/control/record" {
            return json_response(200, &self.state.lock().record());
        }
        let fault = self.state.lock().fault.clone();
        if fault.down {
            return empty(503);
        }
        self.clock.sleep(fault.delay()).await;
        let effect = request.method() == Method::Post;
        let response = self.route(&path, &mut request).await;
        if effect && self.lose_answer() {
            return pending().await;
        }
        response
    }

    fn lose_answer(&self) -> bool {
        let mut state = self.state.lock();
        if state.fault.lose_answers == 0 {
            return false;
        }
        state.fault.lose_answers -= 1;
        true
    }

    async fn route(&self, path: &str, request: &mut Request) -> Response {
        if let Some(name) = path.strip_prefix("/log/") {
            return match name.parse() {
                Ok(stream) if request.method() == Method::Post => {
                    self.append(stream, request).await
                }
                Ok(stream) => self.read(stream, request).await,
                Err(_) => empty(404),
            };
        }
        match path {
            "/vms" => json_response(200, self.state.lock().vms()),
            "/endpoints" => json_response(200, &self.state.lock().endpoints()),
            "/orders" => self.order(request).await,
            "/usage" => self.usage(request).await,
            _ => empty(404),
        }
    }

    async fn append(&self, stream: Stream, request: &mut Request) -> Response {
        let Some(AppendBody { data }) = body(request).await else {
            return empty(400);
        };
        let offset = self.state.lock().append(stream, &data, self.unix_ms());
        self.appended.notify(usize::MAX);
        json_response(200, &Appended { offset })
    }

    async fn read(&self, stream: Stream, request: &Request) -> Response {
        let from = query(request, "from");
        let wait = Duration::from_millis(query(request, "wait_ms"));
        let waiting = async {
            loop {
                let appended = self.appended.listen();
                if self.state.lock().read(stream, from).next > from {
                    return;
                }
                appended.await;
            }
        };
        let _ = timeout(&*self.clock, wait, waiting).await;
        if self.state.lock().fault.down {
            return empty(503);
        }
        json_response(200, &self.state.lock().read(stream, from))
    }

    async fn order(&self, request: &mut Request) -> Response {
        let Some(order) = body::<Order>(request).await else {
            return empty(400);
        };
        let at_ms = self.unix_ms();
        let met = self.state.lock().order(&order, at_ms);
        if met {
            json_response(200, &())
        } else {
            empty(409)
        }
    }

    async fn usage(&self, request: &mut Request) -> Response {
        let Some(report) = body(request).await else {
            return empty(400);
        };
        let at_ms = self.unix_ms();
        self.state.lock().report(report, at_ms);
        json_response(200, &())
    }

    async fn control(&self, request: &mut Request) -> Response {
        let Some(control) = body::<PlatformCommand>(request).await else {
            return empty(400);
        };
        self.state.lock().control(control);
        empty(200)
    }

    fn unix_ms(&self) -> u64 {
        u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX)
    }
}

fn query(request: &Request, name: &str) -> u64 {
    let pairs = request.url().query_pairs();
    let mut values = pairs
        .filter(|(n, _)| n == name)
        .filter_map(|(_, v)| v.parse().ok());
    values.next().unwrap_or_default()
}

impl Handler for Platform {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}
