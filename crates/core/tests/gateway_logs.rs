//! Log lines about targets at gateways, of which each should tell of a change that matters there.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
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
use sardinepath_core::domain::table::RouteTable;
use sardinepath_core::domain::time::Time;

const NOW: Time = Time(1_000);

/// Fields of a log line.
type Fields = Vec<(&'static str, String)>;

fn settings() -> GatewaySettings {
    GatewaySettings {
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
        memory: MemoryLimits::for_host(256 << 20),
        seed: 1,
    }
}

fn gateway() -> Gateway {
    Gateway::new(settings(), NOW)
}

/// Creates a gateway of a deployment with evacuations and homes, whose data centre `c` lies in `r`.
fn placed_gateway() -> Gateway {
    let regions = BTreeMap::from([("c".into(), "r".into())]);
    let settings = GatewaySettings {
        regions,
        places: true,
        ..settings()
    };
    Gateway::new(settings, NOW)
}

/// Returns the events that a change of an object causes, with their fields.
fn events(gateway: &mut Gateway, view: WatchedObject) -> Vec<(Event, Fields)> {
    let effects = gateway.handle(NOW, Message::Changed(view));
    let logs = effects.into_iter().filter_map(|effect| match effect {
        Effect::Log(event, fields) => Some((event, fields)),
        _ => None,
    });
    logs.collect()
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

/// Guards against evacuations that begin and end unseen, and against lines that repeat.
#[test]
fn evacuations_are_logged_once() {
    let mut gateway = placed_gateway();
    let _ = events(&mut gateway, WatchedObject::Target(entry(1, false)));
    let evacuation = || WatchedObject::Evacuation("c".into());

    let begun = events(&mut gateway, evacuation());
    let again = events(&mut gateway, evacuation());
    let ended = events(&mut gateway, WatchedObject::EvacuationGone("c".into()));

    let field = |name, value: &str| (name, value.to_owned());
    let fields = vec![
        field("centre", "c"),
        field("targets", "1"),
        field("running", "0"),
    ];
    assert_eq!(begun, [(Event::EvacuationBegun, fields)]);
    assert_eq!(again, []);
    let fields = vec![field("centre", "c"), field("reason", "removed")];
    assert_eq!(ended, [(Event::EvacuationEnded, fields)]);
}

/// Guards against an evacuation of a data centre that the settings do not name and of which nobody is
/// told.
#[test]
fn an_evacuation_of_an_unknown_data_centre_is_logged() {
    let mut gateway = placed_gateway();

    let begun = events(&mut gateway, WatchedObject::Evacuation("nowhere".into()));

    assert!(matches!(begun[..], [(Event::EvacuationUnknown, _)]));
}

/// Guards against homes without a known region that refuse all requests of a workspace without a word,
/// and against lines about homes that are known.
#[test]
fn homes_without_a_known_region_are_logged() {
    let mut gateway = placed_gateway();
    let homes = |region: &str| [region.into()].into_iter().collect();
    let table = RouteTable {
        version: 1,
        workspace_homes: BTreeMap::from([
            ("lost".into(), homes("nowhere")),
            ("sound".into(), homes("r")),
        ]),
        ..RouteTable::default()
    };

    let logs = events(&mut gateway, WatchedObject::Table(Arc::new(table)));

    let unmet: Vec<_> = logs
        .into_iter()
        .filter(|(event, _)| *event == Event::HomesUnknown)
        .map(|(_, fields)| fields)
        .collect();
    let expected = vec![
        ("workspace", "lost".to_owned()),
        ("homes", "nowhere".to_owned()),
    ];
    assert_eq!(unmet, [expected]);
}
