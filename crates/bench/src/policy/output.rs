//! Formats results as text tables.

use std::fmt::Write;

use crate::policy::Comparison;
use crate::policy::measure::Summary;

/// Row of the table: its label and the function that formats its value.
type Row = (&'static str, fn(&Summary) -> String);

/// Rows of the table, with the main measures first.
const ROWS: [Row; 13] = [
    ("trainer idle time", |s| percent(s.trainer_idle)),
    ("staleness mean (versions)", |s| {
        format!("{:.2}", s.staleness_mean)
    }),
    ("staleness max (versions)", |s| s.staleness_max.to_string()),
    ("worst served/entitled", |s| {
        format!("{} {}", percent(s.worst_share), s.worst_workspace)
    }),
    ("target s per 1000 tokens", |s| {
        format!("{:.3}", s.target_cost)
    }),
    ("late or wrong usage reports", |s| {
        s.usage_reports.to_owned()
    }),
    ("prefix hits", |s| percent(s.prefix_hits)),
    ("first token median (ms)", |s| s.first_median.to_string()),
    ("first token 99th (ms)", |s| s.first_99th.to_string()),
    ("load spread", |s| format!("{:.3}", s.load_spread)),
    ("load amplification", |s| format!("{:.3}", s.amplification)),
    ("tokens per second", |s| format!("{:.0}", s.token_rate)),
    ("whole steps", |s| s.steps.to_string()),
];

/// Formats one table for each comparison.
pub fn table(results: &[Comparison]) -> String {
    let mut text = String::new();
    for result in results {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{} level {} fault {:?}\n{:<28} {:>24} {:>24}",
            result.deployment, result.level, result.fault, "", "product", "baseline"
        );
        for (name, value) in ROWS {
            let (product, baseline) = (value(&result.product), value(&result.baseline));
            let _ = writeln!(text, "{name:<28} {product:>24} {baseline:>24}");
        }
        for (name, service) in &result.product.workspaces {
            let other = &result.baseline.workspaces[name];
            let _ = writeln!(
                text,
                "  {name:<26} {:>24} {:>24}",
                percent(service.ratio),
                percent(other.ratio)
            );
        }
        text.push('\n');
    }
    text
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}
