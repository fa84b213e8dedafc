//! The platform's interface for usage reports.

use std::collections::BTreeMap;
use std::time::Instant;

use sardinepath_core::port::usage::UsageReport;
use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// A running usage interface. It stops when dropped.
pub type Usage = Service<UsageState>;

/// A report in the book.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// The report.
    pub report: UsageReport,
    /// Time at which it arrived.
    pub time: Instant,
    /// True if an earlier report with the same id has other figures.
    pub contradicts: bool,
}

/// State of the usage interface.
#[derive(Debug, Default)]
pub struct UsageState {
    /// Every report that arrived, in order, with repeated ones.
    pub book: Vec<ReportEntry>,
    accepted: BTreeMap<String, UsageReport>,
}

impl UsageState {
    /// Returns the tokens billed for each report id.
    pub fn billed(&self) -> BTreeMap<String, u64> {
        let reports = self.accepted.iter();
        reports
            .map(|(id, report)| (id.clone(), report.tokens))
            .collect()
    }

    fn report(&mut self, report: UsageReport, now: Instant) -> Reply {
        let id = report.id.clone();
        let first = self.accepted.entry(id).or_insert_with(|| report.clone());
        let contradicts = *first != report;
        self.book.push(ReportEntry {
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
    fn handle(&mut self, seen: &Seen, now: Instant) -> Reply {
        if (seen.method.as_str(), seen.route()) != ("POST", "/reports") {
            return Reply::Json(404, json!({"error": "unknown path"}));
        }
        match serde_json::from_slice(&seen.body) {
            Ok(report) => self.report(report, now),
            Err(e) => Reply::Json(400, json!({"error": e.to_string()})),
        }
    }
}
