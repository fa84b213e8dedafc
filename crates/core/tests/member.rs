//! Simulates membership in virtual time under outdated lists, network cuts, lost racks and data
//! centres, and mass restarts.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sardinepath_core::decision::freshness::Freshness;
use sardinepath_core::decision::member::MAX_POLL_INTERVAL;
use sardinepath_core::decision::member::Members;
use sardinepath_core::decision::member::POLL_INTERVAL;
use sardinepath_core::decision::member::Poll;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::host::HostEntry;

const START: Time = Time(1_000_000);

/// Entries of the simulated fleet, three in each data centre.
const ENTRIES: usize = 12;

/// Seconds after which a persistent cut or its end must be detected: the liveness timeout of 10 s,
/// two rotations of heartbeats to three of 11 entries per second, and a margin of two rounds.
const DETECTION_SECONDS: u64 = 10 + 2 * 4 + 2;

fn host(n: usize) -> HostName {
    HostName::from(format!("host-{n}"))
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(1000 + n).unwrap()))
}

fn entry(n: usize, leaving: bool) -> HostEntry {
    HostEntry {
        host: host(n),
        centre: CentreName::from("cx1"),
        address: address(n),
        target: None,
        leaving,
    }
}

fn agent(target: usize, leaving: bool) -> HostEntry {
    let target = TargetName::from(format!("target-{target}"));
    let target = Some(target);
    HostEntry {
        target,
        ..entry(100, leaving)
    }
}

fn report(target: usize, state: ServingState) -> Report {
    Report {
        incarnation: Incarnation(1),
        target: TargetName::from(format!("target-{target}")),
        version: WeightVersion(0),
        running: 0,
        queued: 0,
        capacity: 8,
        state,
        cached: Vec::new(),
        evicted: Vec::new(),
        cache_gap: false,
    }
}

fn after(seconds: u64) -> Time {
    START + Duration::from_secs(seconds)
}

fn members(entries: &[usize]) -> Members {
    let mut members = Members::new(host(0));
    members.set_seeds(START, entries.iter().map(|n| (host(*n), address(*n))));
    members
}

/// Simulated entries that send heartbeats to each other.
struct Fleet {
    members: Vec<Members>,
    freshness: Vec<Freshness>,
    now: u64,
}

fn fleet() -> Fleet {
    let list: Vec<_> = (0..ENTRIES).map(|n| entry(n, false)).collect();
    let mut fleet = Fleet {
        members: Vec::new(),
        freshness: Vec::new(),
        now: 0,
    };
    for n in 0..ENTRIES {
        let mut members = Members::new(host(n));
        members.listed(START, &list);
        let mut freshness = Freshness::default();
        freshness.set_peers(members.entries().map(|(host, _)| host));
        fleet.members.push(members);
        fleet.freshness.push(freshness);
    }
    fleet
}

/// Runs the fleet for some seconds. `open` returns `true` if messages from one entry to another are
/// delivered. The platform answers all entries, so each one asks only a few others in a round.
fn run(fleet: &mut Fleet, seconds: u64, open: impl Fn(usize, usize) -> bool) {
    for _ in 0..seconds {
        fleet.now += 1;
        let now = after(fleet.now);
        for n in 0..ENTRIES {
            fleet.freshness[n].platform_answered(now);
            fleet.freshness[n].applied(Revision(1));
            for asked in fleet.freshness[n].peers_to_ask(now) {
                let other = (0..ENTRIES).find(|other| host(*other) == asked).unwrap();
                if open(n, other) && open(other, n) {
                    fleet.members[n].record_answer(now, &asked);
                }
            }
            fleet.members[n].tick(now);
        }
    }
}

/// Returns `true` if each entry counts exactly the entries that it can reach in both directions.
fn counts_are_true(fleet: &Fleet, open: impl Fn(usize, usize) -> bool) -> bool {
    (0..ENTRIES).all(|n| {
        let others = (0..ENTRIES).filter(|other| *other != n);
        let reached = others.filter(|other| open(n, *other) && open(*other, n));
        let live = fleet.members[n].live_count(after(fleet.now));
        usize::try_from(live).unwrap() == reached.count() + 1
    })
}

/// Failure of the network between entries.
#[derive(Clone, Debug)]
enum Cut {
    /// Messages from the first entry of each pair to the second are lost.
    OneWay(Vec<(usize, usize)>),
    /// The entries of one rack are unreachable.
    Rack(usize),
    /// A data centre is cut off from the others.
    Centre(usize),
}

impl Cut {
    fn delivers(&self, from: usize, to: usize) -> bool {
        match self {
            Self::OneWay(pairs) => !pairs.contains(&(from, to)),
            Self::Rack(rack) => from % 4 != *rack && to % 4 != *rack,
            Self::Centre(centre) => (from / 3 == *centre) == (to / 3 == *centre),
        }
    }
}

fn cuts() -> impl Strategy<Value = Cut> {
    let pair = (0..ENTRIES, 0..ENTRIES);
    prop_oneof![
        proptest::collection::vec(pair, 1..30).prop_map(Cut::OneWay),
        (0..4_usize).prop_map(Cut::Rack),
        (0..4_usize).prop_map(Cut::Centre),
    ]
}

/// Event that one entry observes.
#[derive(Clone, Debug)]
enum Event {
    List(BTreeMap<usize, bool>),
    Heard(usize),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let list = proptest::collection::btree_map(1..8_usize, proptest::bool::ANY, 0..8);
    let event = prop_oneof![
        list.prop_map(Event::List),
        (1..8_usize).prop_map(Event::Heard),
        (1..6_u64).prop_map(Event::Pass),
    ];
    proptest::collection::vec(event, 0..60)
}

proptest! {
    /// Guards against limits that are shared with unreachable entries, or that stay reduced after
    /// the entries recover. Covers one-way cuts and the loss of a rack or a data centre.
    #[test]
    fn live_entries_follow_cuts_and_their_end(first in cuts(), second in cuts()) {
        let mut fleet = fleet();

        for cut in [first, second] {
            run(&mut fleet, DETECTION_SECONDS, |from, to| cut.delivers(from, to));
            let counted = counts_are_true(&fleet, |from, to| cut.delivers(from, to));
            run(&mut fleet, DETECTION_SECONDS, |_, _| true);

            prop_assert!(counted, "{:?}", cut);
            prop_assert!(counts_are_true(&fleet, |_, _| true), "after {:?}", cut);
        }
    }

    /// Guards against an entry that forgets others which answer it because the list is outdated,
    /// empty or wrong. Otherwise a few entries could assume that they are the majority.
    #[test]
    fn entry_that_answers_stays_known(events in events()) {
        let mut members = members(&[1, 2, 3]);
        let mut heard = BTreeMap::new();
        let mut listed = BTreeMap::new();
        // An entry that is leaving when the list omits it is still leaving.
        let mut leaving = BTreeMap::new();
        let mut now = 0;

        for event in events {
            match event {
                Event::List(list) => {
                    let hosts: Vec<_> = list.iter().map(|(n, l)| entry(*n, *l)).collect();
                    members.listed(after(now), &hosts);
                    leaving.extend(list.clone());
                    listed = list;
                }
                Event::Heard(n) => {
                    members.record_answer(after(now), &host(n));
                    if members.entries().any(|(known, _)| known == host(n)) {
                        heard.insert(n, now);
                    }
                }
                Event::Pass(seconds) => now += seconds,
            }
            members.tick(after(now));

            let known: Vec<_> = members.entries().map(|(host, _)| host).collect();
            let answering = heard.iter().filter(|(_, at)| now - **at < 10);
            let mut live = 1;
            for (n, _) in answering {
                prop_assert!(known.contains(&host(*n)), "{} was forgotten", n);
                live += u32::from(leaving.get(n) != Some(&true));
            }
            prop_assert!(members.live_count(after(now)) >= live);
            prop_assert!(known.iter().all(|known| *known != host(0)));
            prop_assert!(listed.keys().all(|n| known.contains(&host(*n))));
        }
    }

    /// Guards against new work for a target whose host was listed as leaving, although its agent
    /// still reports that it serves. This includes lists that later omit the host.
    #[test]
    fn target_of_a_leaving_host_never_serves_again(
        lists in proptest::collection::vec(
            proptest::collection::btree_map(0..4_usize, proptest::bool::ANY, 0..4), 1..20,
        ),
    ) {
        let mut members = members(&[]);
        let mut last = BTreeMap::new();

        for list in lists {
            let hosts: Vec<_> = list.iter().map(|(n, l)| agent(*n, *l)).collect();
            members.listed(START, &hosts);
            last.extend(list);

            for n in 0..4 {
                let corrected = members.correct_report(report(n, ServingState::Serving));
                let leaves = last.get(&n) == Some(&true);
                prop_assert_eq!(corrected.state == ServingState::Leaving, leaves);
            }
        }
    }

    /// Guards against entries that read the list at the same time after a common start or outage.
    #[test]
    fn readings_are_spread_after_a_mass_restart_and_an_outage(seed: u64, outage in 5..60_u64) {
        const FLEET: u32 = 350;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut per_second = vec![0_u32; 240];

        for _ in 0..FLEET {
            let mut poll = Poll::new(&mut random);
            let mut now = poll.wait();
            while let Some(count) = per_second.get_mut(usize::try_from(now.as_secs()).unwrap()) {
                *count += 1;
                let reading = poll.begin_read();
                poll = if now < Duration::from_secs(outage) {
                    reading.failed(&mut random)
                } else {
                    reading.answered(&mut random)
                };
                now += poll.wait();
            }
        }

        // Number of reads per second if they are evenly distributed.
        let even = FLEET / u32::try_from(POLL_INTERVAL.as_secs()).unwrap();
        let most = per_second.iter().max().unwrap();
        prop_assert!(*most < even * 2, "{} readings in a second", most);
        let settled = usize::try_from(outage + 2 * MAX_POLL_INTERVAL.as_secs()).unwrap();
        let rate = per_second[settled..].iter().sum::<u32>() / u32::try_from(240 - settled).unwrap();
        prop_assert!(rate > even * 8 / 10 && rate < even * 12 / 10, "{} a second", rate);
    }
}

/// Guards against a correction that makes a target serve although its agent reports otherwise.
#[test]
fn list_never_makes_a_target_serve() {
    let mut members = members(&[]);
    members.listed(START, &[agent(1, false), agent(2, true)]);

    for state in [ServingState::Starting, ServingState::Leaving] {
        assert_eq!(members.correct_report(report(1, state)), report(1, state));
        assert_eq!(members.correct_report(report(2, state)), report(2, state));
    }
}

/// Guards against entries from old settings that still count for the majority after their hosts
/// were replaced.
#[test]
fn replaced_entry_of_the_settings_is_forgotten() {
    let mut members = members(&[1, 2]);
    members.listed(START, &[entry(0, false), entry(2, false), entry(3, false)]);

    members.tick(after(60));

    let known: Vec<_> = members.entries().collect();
    assert_eq!(known, [(host(2), address(2)), (host(3), address(3))]);
}
