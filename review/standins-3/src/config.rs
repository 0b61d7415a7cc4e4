//! The operator's configuration of a small deployment.

use {
    crate::platform::{OTHER_WRITER, Store},
    serde_json::{Value, json},
};

/// Host of all routes.
pub(crate) const HOST: &str = "f.example";
/// Names of the generation services and of the plain one.
pub(crate) const LLM: &str = "surveyor-llm";
pub(crate) const LLM_B: &str = "surveyor-llm-b";
pub(crate) const DESK: &str = "permit-desk";
/// The tenants.
pub(crate) const TENANTS: [&str; 4] = ["huka270", "puhu251", "wexa118", "tiro906"];

/// Key of a tenant.
pub(crate) fn key(tenant: &str) -> String {
    format!("k-{tenant}")
}

/// A stream route with the figures of the sheet.
pub(crate) fn stream_route(name: &str, prefix: &str, resume: bool, attempts: u32) -> Value {
    json!({"name": name, "host": HOST, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 15_000,
        "latencySloMs": 400, "priority": 0, "service": LLM, "maxAttempts": attempts,
        "streamResume": resume, "gapTargetMs": 200})
}

/// The same route, with a tenth of its streams at the second generation service.
pub(crate) fn split_route(name: &str, prefix: &str) -> Value {
    let mut route = stream_route(name, prefix, true, 2);
    if let Some(fields) = route.as_object_mut() {
        fields.remove("service");
        let split = json!([{"service": LLM, "weight": 90}, {"service": LLM_B, "weight": 10}]);
        fields.insert("trafficSplit".into(), split);
    }
    route
}

/// A route of requests that may run once.
pub(crate) fn unsafe_route(name: &str, prefix: &str, timeout_ms: u32) -> Value {
    json!({"name": name, "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": timeout_ms,
        "latencySloMs": 300, "priority": 2, "service": DESK, "maxAttempts": 1})
}

/// Writes a configuration with these routes.
pub(crate) fn write_config(store: &Store, version: u64, routes: &[Value]) {
    write_config_without(store, version, routes, "");
}

/// Writes a configuration with these routes, in which one tenant has no key.
pub(crate) fn write_config_without(store: &Store, version: u64, routes: &[Value], dropped: &str) {
    let tenants = TENANTS.map(|t| {
        let keys: Vec<_> = (t != dropped).then(|| key(t)).into_iter().collect();
        json!({"name": t, "apiKeys": keys})
    });
    let config = json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": LLM, "healthPath": "/health", "maxConns": 620,
                "engine": {"slots": 128, "kvCapacity": 526_654, "stride": 3}},
            {"name": LLM_B, "healthPath": "/health", "maxConns": 620,
                "engine": {"slots": 128, "kvCapacity": 526_654, "stride": 3}},
            {"name": DESK, "healthPath": "/health", "maxConns": 110},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
        "tenants": tenants,
    });
    let config = config.to_string();
    store.write_keyed(OTHER_WRITER, "keyed.op", "config", config.as_bytes());
}
