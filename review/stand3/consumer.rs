//! Consumers: the configuration, plain requests, submissions of batch jobs and reads of their results.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::replica::MODEL;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant.
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";

/// Returns the configuration of a small deployment: a rollout route and a route of the plain service.
pub fn config(version: u64) -> Json {
    let route =
        |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, public: bool| {
            obj(vec![
                ("name", text(name)),
                ("host", text(HOST)),
                ("pathPrefix", text(prefix)),
                ("kind", text(kind)),
                ("timeoutMs", num(timeout)),
                (
                    "targetLatencyMs",
                    num(if kind == "rollout" { 400 } else { 150 }),
                ),
                ("priority", num(0)),
                ("service", text(service)),
                ("maxAttempts", num(3)),
                ("public", Json::Bool(public)),
                ("resultDeadlineMs", num(7_500)),
                ("retentionS", num(40)),
            ])
        };
    let service = |name: &str| obj(vec![("name", text(name)), ("healthPath", text("/health"))]);
    let limits = vec![
        ("headerBytes", num(16_384)),
        ("bodyBytes", num(33_554_432)),
        ("headerTimeoutMs", num(3_000)),
        ("idleTimeoutMs", num(15_000)),
    ];
    let tenant = vec![
        ("name", text("hule930")),
        ("apiKeys", Json::Arr(vec![text(KEY)])),
    ];
    obj(vec![
        ("version", num(version)),
        (
            "routes",
            Json::Arr(vec![
                route(
                    "fault-draft",
                    "/pule252/",
                    "rollout",
                    "model-pool",
                    10_000,
                    false,
                ),
                route("job-lookup", "/lohu930/", "safe", "works-app", 2_000, false),
                route(
                    "crew-dispatch",
                    "/dise118/",
                    "unsafe",
                    "works-app",
                    2_000,
                    false,
                ),
                route(
                    "asset-history",
                    "/pufi791/",
                    "safe",
                    "works-app",
                    1_500,
                    true,
                ),
            ]),
        ),
        (
            "services",
            Json::Arr(vec![service("model-pool"), service("works-app")]),
        ),
        ("limits", obj(limits)),
        ("tenants", Json::Arr(vec![obj(tenant)])),
    ])
}

/// Sends a plain request.
pub fn plain(front: SocketAddr, path: &str, id: &str, limit: Duration) -> Option<Message> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", limit.as_millis().to_string()),
        ("X-Key", KEY.to_owned()),
    ];
    http::call(
        front,
        "POST",
        path,
        &headers,
        b"body",
        limit + Duration::from_millis(200),
    )
}

/// Returns the submission of a step with these items, each with its group.
pub fn step(items: &[(String, String)], wanted: usize) -> Json {
    let item = |(id, group): &(String, String)| {
        obj(vec![
            ("id", text(id)),
            ("path", text(format!("/pule252/3/{id}"))),
            (
                "headers",
                obj(vec![
                    ("X-Model", text(MODEL)),
                    ("X-Token-Counts", text("271,400")),
                    ("X-Prompt-Prefix", text(format!("{group}:255"))),
                ]),
            ),
            ("body", text("q83vEjRWeJA=")),
            ("tokenCount", num(671)),
            ("group", text(group)),
        ])
    };
    obj(vec![
        ("step", num(0)),
        ("model", text(MODEL)),
        ("minVersion", num(1)),
        ("desiredCount", num(wanted)),
        ("items", Json::Arr(items.iter().map(item).collect())),
    ])
}

/// Submits a batch job.
pub fn submit(front: SocketAddr, id: &str, body: &Json, limit: Duration) -> Option<Message> {
    submit_text(front, id, &body.to_string(), limit)
}

/// Submits a batch job in its encoded form.
pub fn submit_text(front: SocketAddr, id: &str, text: &str, limit: Duration) -> Option<Message> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", limit.as_millis().to_string()),
        ("X-Key", KEY.to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ];
    http::call(
        front,
        "POST",
        "/pule252/7c41e0",
        &headers,
        text.as_bytes(),
        limit,
    )
}

/// Calls an existing batch job.
pub fn job_call(front: SocketAddr, method: &str, path: &str, wait: u64) -> Option<Message> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Key", KEY.to_owned()),
        ("X-Wait-Ms", wait.to_string()),
    ];
    http::call(
        front,
        method,
        path,
        &headers,
        b"",
        Duration::from_millis(wait + 3_000),
    )
}
