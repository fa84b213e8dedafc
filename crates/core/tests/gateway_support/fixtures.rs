//! Names, configuration, submissions and targets of the simulation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::domain::batch::Batch;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::batch::Scorer;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::GroupName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::RouteName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::table::BatchSettings;
use sardinepath_core::domain::table::Route;
use sardinepath_core::domain::table::RouteKind;
use sardinepath_core::domain::table::RouteTable;
use sardinepath_core::domain::table::StreamSettings;

pub fn host(index: usize) -> HostName {
    HostName::from(format!("g{index}"))
}

pub fn batch_id() -> BatchId {
    BatchId::from("b1")
}

pub fn workspace() -> Option<WorkspaceName> {
    Some(WorkspaceName::from("press"))
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(index).unwrap()))
}

pub fn route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("dreams"),
        host: Arc::from("dreams.example"),
        prefix: Arc::from("/dreams/"),
        kind: RouteKind::Batch(BatchSettings {
            retention: Some(Duration::from_secs(600)),
            single: false,
        }),
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_millis(400),
        split: vec![(PoolName::from("engines"), 1)],
        attempts: Some(3),
        open: false,
        rank: 0,
        homes: None,
    })
}

pub fn score_route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("scores"),
        prefix: Arc::from("/scores/"),
        kind: RouteKind::Safe,
        ..(*route()).clone()
    })
}

pub(super) fn stream_route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("streams"),
        prefix: Arc::from("/streams/"),
        kind: RouteKind::Stream(StreamSettings { resumable: true }),
        ..(*route()).clone()
    })
}

pub fn table() -> Arc<RouteTable> {
    let mut table = RouteTable {
        version: 1,
        needs_key: true,
        ..RouteTable::default()
    };
    table.hosts.insert(
        Arc::from("dreams.example"),
        vec![route(), score_route(), stream_route()],
    );
    Arc::new(table)
}

/// Creates a submission of items in groups of four.
pub fn batch(items: usize) -> Arc<Batch> {
    let item = |index: usize| {
        Arc::new(Item {
            id: ItemId::from(format!("i{index}")),
            path: Arc::from("/dreams/x"),
            headers: Vec::new(),
            body: Arc::from(&b"body"[..]),
            expected_tokens: 10,
            group: Some(GroupName::from(format!("g{}", index / 4))),
            scorer: Some(Scorer {
                id: Arc::from(format!("s{index}")),
                host: Arc::from("dreams.example"),
                path: Arc::from("/scores/x"),
                body: Arc::from(&b"text"[..]),
            }),
        })
    };
    Arc::new(Batch {
        model: Some(ModelName::from("m")),
        min_version: WeightVersion(1),
        items: (0..items).map(item).collect(),
        source: Arc::from(items.to_string()),
    })
}

/// Creates a submission of a caller that does not say how long it waits.
pub fn submission(items: usize) -> SubmitRequest {
    SubmitRequest {
        id: batch_id(),
        workspace: workspace(),
        route: route(),
        batch: batch(items),
        until: None,
        passed_to: None,
    }
}

pub(super) fn target(index: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("t{index}")),
        pool: PoolName::from("engines"),
        address: address(500 + index),
        centre: CentreName::from("c"),
        slots: 8,
        leaving: false,
        models: vec![(ModelName::from("m"), WeightVersion(1))],
        software: SoftwareVersion::from("v1"),
        started_at: 1,
        cold: Duration::ZERO,
    }
}
