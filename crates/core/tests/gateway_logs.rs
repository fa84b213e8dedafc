//! Log lines about targets at gateways, of which each should tell of a change that matters there.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::GatewaySettings;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Answer;
use sardinepath_core::decision::gateway::stored::Purpose;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::lease::Terms;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::domain::cold::ColdTolerance;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::time::Time;

const NOW: Time = Time(1_000);

fn gateway() -> Gateway {
    let settings = GatewaySettings {
        peer: Peer {
            host: "g0".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 1)),
            incarnation: Incarnation(1),
            cpu_percent: 50,
            region: None,
        },
        centre: "c".into(),
        region: "r".into(),
        regions: BTreeMap::new(),
        places: false,
        epoch: 0,
        lease: Terms::default(),
        fence_checked: true,
        usage_window: None,
        entry_lapse: Duration::from_millis(1_200),
        job_retention: Duration::from_secs(60),
        report_deadline: Duration::from_secs(10),
        cold_tolerance: ColdTolerance::default(),
        paces: false,
        memory: MemoryLimits::for_host(256 << 20),
        seed: 1,
    };
    Gateway::new(settings, NOW)
}

/// Creates a gateway that holds the duty.
fn holder() -> Gateway {
    let mut gateway = gateway();
    let _ = gateway.tick(NOW);
    let answered = |answer| Message::Stored(Purpose::Lease, Ok(answer));
    let _ = gateway.handle(NOW, answered(Answer::Found(None)));
    let _ = gateway.tick(NOW);
    let _ = gateway.handle(NOW, answered(Answer::Written(Revision(1))));
    gateway
}

fn entry(version: u64, leaving: bool) -> TargetEntry {
    TargetEntry {
        name: "t0".into(),
        pool: "engines".into(),
        address: SocketAddr::from(([10, 0, 0, 9], 1)),
        centre: "c".into(),
        slots: 8,
        leaving,
        models: vec![("m".into(), WeightVersion(version))],
        software: "v1".into(),
        started_at: 1,
        cold: Duration::ZERO,
    }
}

/// Returns for each entry whether its change is logged.
fn logged(gateway: &mut Gateway, entries: &[TargetEntry]) -> Vec<bool> {
    let change = |entry: &TargetEntry| Message::Changed(WatchedObject::Target(entry.clone()));
    let is_line = |effect: &Effect| matches!(effect, Effect::Log(Event::TargetSeen, _));
    let logs = |entry| gateway.handle(NOW, change(entry)).iter().any(is_line);
    entries.iter().map(logs).collect()
}

/// Fails if a gateway logs entries that change nothing, or versions by which it decides nothing, or
/// leaves out a change by which it decides.
#[test]
fn changes_of_targets_are_logged_where_they_decide() {
    let entries = [
        entry(1, false),
        entry(1, false),
        entry(2, false),
        entry(2, true),
    ];

    let follower = logged(&mut gateway(), &entries);
    let holder = logged(&mut holder(), &entries);

    assert_eq!(follower, [true, false, false, true]);
    assert_eq!(holder, [true, false, true, true]);
}
