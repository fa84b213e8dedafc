//! HTTP interface for the steps of trainers.

use std::sync::Arc;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::split_path;
use sardinepath_core::decision::sample::GroupSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::RouteId;
use sardinepath_core::port::step::Delivery;
use sardinepath_core::port::step::StepFront;
use sardinepath_core::port::step::StepOrder;
use sardinepath_core::port::step::StepPoll;
use serde::Deserialize;
use serde_json::json;

use crate::caller::response::Body;
use crate::caller::response::error_response;

/// First path segment after the route.
const STEPS_SEGMENT: &str = "/steps";

/// Request that posts or polls a step.
pub(super) struct StepCall {
    /// Route in the path of the request.
    pub(super) route: RouteId,
    kind: Kind,
}

enum Kind {
    Post,
    /// Trainer, step number and query string.
    Poll(Arc<str>, u64, Arc<str>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StepBody {
    trainer: Arc<str>,
    step: u64,
    version: WeightVersion,
    staleness: u64,
    groups: Vec<GroupSpec>,
}

impl StepCall {
    /// Returns the step call that a method and path stand for, or `None` if it is another request.
    pub(super) fn from_inbound(inbound: &Inbound) -> Option<Self> {
        let (route, rest) = split_path(&inbound.path).ok()?;
        let (path, query) = rest.split_once('?').unwrap_or((rest, ""));
        let subpath = path.strip_prefix(STEPS_SEGMENT)?;
        let kind = match (&*inbound.method, subpath) {
            ("POST", "") => Kind::Post,
            ("GET", _) => {
                let (trainer, step) = subpath.strip_prefix('/')?.split_once('/')?;
                Kind::Poll(Arc::from(trainer), step.parse().ok()?, Arc::from(query))
            }
            _ => return None,
        };
        Some(Self { route, kind })
    }

    /// Executes the call and returns its response.
    pub(super) async fn respond(self, front: &dyn StepFront, inbound: Inbound) -> Response<Body> {
        match self.execute(front, inbound).await {
            Ok(response) => response,
            Err(failure) => error_response(failure),
        }
    }

    async fn execute(
        self,
        front: &dyn StepFront,
        inbound: Inbound,
    ) -> Result<Response<Body>, Failure> {
        // Marks the body as parsed, although it is not a completions request.
        let inbound = Inbound {
            completion: Some(Completion::default()),
            ..inbound
        };
        match self.kind {
            Kind::Post => {
                let order = parse_order(&inbound.body)?;
                let (sender, reply) = flume::bounded(1);
                front.post(&inbound, order, sender);
                flatten_reply(reply.recv_async().await)?;
                Ok(json_response(202, &json!({"accepted": true})))
            }
            Kind::Poll(trainer, step, query) => {
                let poll = StepPoll {
                    trainer,
                    step,
                    after: Revision(query_number(&query, "after")?),
                    version: WeightVersion(query_number(&query, "version")?),
                };
                let (sender, reply) = flume::bounded(1);
                front.poll(&inbound, poll, sender);
                let delivery = flatten_reply(reply.recv_async().await)?;
                Ok(json_response(200, &delivery_json(&delivery)))
            }
        }
    }
}

/// Decodes the body of a posted step.
fn parse_order(body: &[u8]) -> Result<StepOrder, ErrorKind> {
    let body: StepBody = serde_json::from_slice(body).map_err(|_| ErrorKind::BadRequest)?;
    Ok(StepOrder {
        trainer: body.trainer,
        step: body.step,
        version: body.version,
        staleness: body.staleness,
        groups: body.groups,
    })
}

/// Returns the number in a query field. Fails if the field is missing or malformed.
fn query_number(query: &str, name: &str) -> Result<u64, ErrorKind> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|pair| pair.1);
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or(ErrorKind::BadRequest)
}

/// Returns the reply, or `Draining` if the sender was dropped, which only happens on shutdown.
fn flatten_reply<T>(reply: Result<Result<T, Failure>, flume::RecvError>) -> Result<T, Failure> {
    reply.unwrap_or_else(|_| Err(Failure::from(ErrorKind::Draining)))
}

fn delivery_json(delivery: &Delivery) -> serde_json::Value {
    let groups = delivery.groups.iter().map(
        |group| json!({"group": group.group, "revision": group.revision, "samples": group.samples}),
    );
    let groups: Vec<_> = groups.collect();
    json!({"groups": groups, "next": delivery.next, "done": delivery.done})
}

fn json_response(status: u16, value: &serde_json::Value) -> Response<Body> {
    let body = Full::new(value.to_string().into());
    let body = body.map_err(|never: std::convert::Infallible| match never {});
    let response = Response::builder().status(status);
    let response = response.header("content-type", "application/json");
    response
        .body(body.boxed_unsync())
        .unwrap_or_else(|_| error_response(Failure::from(ErrorKind::Internal)))
}
