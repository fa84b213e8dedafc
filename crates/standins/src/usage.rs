//! Stand-in of the platform's usage report API.

use std::collections::BTreeMap;
use std::time::Instant;

use sardinepath_core::port::usage::UsageReport;
use serde_json::json;

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Running usage report API that stops when dropped.
pub type Usage = Service<UsageState>;

/// Received report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// The report.
    pub report: UsageReport,
    /// Time at which the report arrived.
    pub time: Instant,
    /// True if the first report with the same id differs from this one. This one is then refused.
    pub contradicts: bool,
}

/// State of the usage report API.
#[derive(Debug, Default)]
pub struct UsageState {
    /// All reports in order of arrival, including repeated and refused ones.
    pub log: Vec<ReportEntry>,
    /// First report with each id.
    accepted: BTreeMap<String, UsageReport>,
}

impl UsageState {
    /// Returns the number of billed tokens by report id.
    pub fn billed(&self) -> BTreeMap<String, u64> {
        let reports = self.accepted.iter();
        reports
            .map(|(id, report)| (id.clone(), report.tokens))
            .collect()
    }

    fn report(&mut self, report: UsageReport, now: Instant) -> Reply {
        let id = report.id.clone();
        let accepted = self.accepted.entry(id).or_insert_with(|| report.clone());
        let contradicts = *accepted != report;
        self.log.push(ReportEntry {
            report,
            time: now,
            contradicts,
        });
        if contradicts {
            return Reply::Json(409, json!({"error": "contradiction"}));
        }
        Reply::Json(200, json!({"accepted": true}))
    }
}

impl Protocol for UsageState {
    fn handle(&mut self, request: &ReceivedRequest, now: Instant) -> Reply {
        if (request.method.as_str(), request.route()) != ("POST", "/reports") {
            return Reply::Json(404, json!({"error": "unknown path"}));
        }
        match serde_json::from_slice(&request.body) {
            Ok(report) => self.report(report, now),
            Err(e) => Reply::Json(400, json!({"error": e.to_string()})),
        }
    }
}
