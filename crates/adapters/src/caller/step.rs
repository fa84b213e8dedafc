//! Steps of trainers over HTTP.

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

use crate::caller::answer::Body;
use crate::caller::answer::refusal;

/// First segment of the paths under a route.
const SEGMENT: &str = "/steps";

/// A call about a step.
pub(super) struct StepCall {
    pub(super) route: RouteId,
    kind: Kind,
}

enum Kind {
    Post,
    /// Trainer, step and query.
    Poll(Arc<str>, u64, Arc<str>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Posted {
    trainer: Arc<str>,
    step: u64,
    version: WeightVersion,
    staleness: u64,
    groups: Vec<GroupSpec>,
}

impl StepCall {
    /// Recognizes a call by its method and path.
    pub(super) fn recognize(inbound: &Inbound) -> Option<Self> {
        let (route, rest) = split_path(&inbound.path).ok()?;
        let (path, query) = rest.split_once('?').unwrap_or((rest, ""));
        let below = path.strip_prefix(SEGMENT)?;
        let kind = match (&*inbound.method, below) {
            ("POST", "") => Kind::Post,
            ("GET", _) => {
                let (trainer, step) = below.strip_prefix('/')?.split_once('/')?;
                Kind::Poll(Arc::from(trainer), step.parse().ok()?, Arc::from(query))
            }
            _ => return None,
        };
        Some(Self { route, kind })
    }

    /// Carries the call out and builds its response.
    pub(super) async fn answer(self, front: &dyn StepFront, inbound: Inbound) -> Response<Body> {
        match self.carry_out(front, inbound).await {
            Ok(response) => response,
            Err(failure) => refusal(failure),
        }
    }

    async fn carry_out(
        self,
        front: &dyn StepFront,
        inbound: Inbound,
    ) -> Result<Response<Body>, Failure> {
        // The body is understood, though it is no completions request.
        let inbound = Inbound {
            completion: Some(Completion::default()),
            ..inbound
        };
        match self.kind {
            Kind::Post => {
                let order = order(&inbound.body)?;
                let (reply, answer) = flume::bounded(1);
                front.post(&inbound, order, reply);
                received(answer.recv_async().await)?;
                Ok(json_response(202, &json!({"accepted": true})))
            }
            Kind::Poll(trainer, step, query) => {
                let poll = StepPoll {
                    trainer,
                    step,
                    after: Revision(number(&query, "after")?),
                    version: WeightVersion(number(&query, "version")?),
                };
                let (reply, answer) = flume::bounded(1);
                front.poll(&inbound, poll, reply);
                let delivery = received(answer.recv_async().await)?;
                Ok(json_response(200, &encode(&delivery)))
            }
        }
    }
}

/// Reads a posted step.
fn order(body: &[u8]) -> Result<StepOrder, ErrorKind> {
    let posted: Posted = serde_json::from_slice(body).map_err(|_| ErrorKind::BadRequest)?;
    Ok(StepOrder {
        trainer: posted.trainer,
        step: posted.step,
        version: posted.version,
        staleness: posted.staleness,
        groups: posted.groups,
    })
}

/// Reads a number of a query.
fn number(query: &str, name: &str) -> Result<u64, ErrorKind> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|pair| pair.1);
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or(ErrorKind::BadRequest)
}

/// The role drops the reply only when it stops.
fn received<T>(answer: Result<Result<T, Failure>, flume::RecvError>) -> Result<T, Failure> {
    answer.unwrap_or_else(|_| Err(Failure::from(ErrorKind::Draining)))
}

fn encode(delivery: &Delivery) -> serde_json::Value {
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
        .unwrap_or_else(|_| refusal(Failure::from(ErrorKind::Internal)))
}
