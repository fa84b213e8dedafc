//! Requests to the stand-in of a target that had said long before that it is leaving.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_platform::names;

use crate::target::DRAIN_TIME;
use crate::target::TargetStandIn;
use crate::target::header;

/// Request to a target that had said that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// Id of the request.
    pub id: String,
    /// Time since the target said so first on the connection.
    pub told: Duration,
    /// Start of the run of the target that said so and got the request.
    pub run: u64,
}

/// First statement on a connection that the target is leaving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    at: Instant,
    /// Start of the run that made the statement.
    run: u64,
}

impl TargetStandIn {
    /// Logs a request on a connection on which the target has said for too long that it leaves.
    pub(crate) fn check_told(&self, told: &Mutex<Option<Told>>, request: &Request<Incoming>) {
        let told = *told.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.lock();
        // A later run of the target was not meant by the statement.
        let told = told.filter(|told| told.run == state.born);
        let Some(told) = told.filter(|told| told.at.elapsed() > DRAIN_TIME) else {
            return;
        };
        if state.says_leaving {
            let late = LateRequest {
                id: header(request.headers(), names::REQUEST_ID).unwrap_or_default(),
                told: told.at.elapsed(),
                run: told.run,
            };
            state.log.late_requests.push(late);
        }
    }

    /// Notes that an answer on a connection says that the target is leaving.
    pub(crate) fn note_told(&self, told: &Mutex<Option<Told>>, headers: &HeaderMap) {
        let run = self.lock().born;
        let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
        if headers.contains_key(names::LEAVING) {
            let earlier = told.filter(|told| told.run == run);
            let at = earlier.map_or_else(Instant::now, |told| told.at);
            *told = Some(Told { at, run });
        } else {
            *told = None;
        }
    }
}
