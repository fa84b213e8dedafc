//! Limits of a step, which its route and its workspace set.
#![allow(clippy::unwrap_used, missing_docs)]

mod traffic_support;

use std::time::Duration;

use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::sample::RunLimits;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::RouteId;

use crate::traffic_support::config;
use crate::traffic_support::tree;
use crate::traffic_support::workspace;

fn step(route: &str, name: &str) -> StepRecord {
    StepRecord {
        route: RouteId {
            team: "print".into(),
            name: route.into(),
        },
        workspace: workspace(name),
        version: WeightVersion(1),
        staleness: 1,
        groups: Vec::new(),
    }
}

/// Guards against a step that runs one sample at a time for a second each, because its entry made up
/// limits before it knew the route.
#[test]
fn a_step_has_no_limits_before_its_route_is_known() {
    let spec = WorkspaceSpec {
        concurrency: 40,
        ..WorkspaceSpec::default()
    };
    let config = config(1, tree(1, &[("diary", spec)], false));

    let known = RunLimits::of(&config, &step("route", "diary"));
    let no_route = RunLimits::of(&config, &step("other", "diary"));
    let no_workspace = RunLimits::of(&config, &step("route", "other"));
    let no_config = RunLimits::of(&Config::default(), &step("route", "diary"));

    let limits = RunLimits {
        slots: 40,
        time: Duration::from_secs(60),
    };
    assert_eq!(known, Some(limits));
    assert_eq!([no_route, no_workspace, no_config], [None, None, None]);
}
