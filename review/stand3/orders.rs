//! The holder of the duty is stopped while an order of it is held up by a link that loses packets.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::consumer;
use crate::gateway::Gateway;
use crate::gateway::Site;
use crate::http;
use crate::http::Next;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::record::Record;
use crate::replica::Course;
use crate::replica::MODEL;
use crate::replica::Order;
use crate::replica::Orders;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;

/// Time that a lost packet costs: it is sent again after 200 ms.
const REPORT_HELD_UP: Duration = Duration::from_millis(200);

/// Time that two lost packets in a row cost: the first is sent again after 200 ms, the second after 400 ms.
const ORDER_HELD_UP: Duration = Duration::from_millis(600);

/// Number of versions that are named, each while another holder has the duty.
const ROUNDS: u64 = 12;

/// Time from the end of a round to the next version.
const REST: Duration = Duration::from_secs(4);

/// Time between the starts of two gateways. All machines start within 0.3 s of each other.
const STAGGER: Duration = Duration::from_millis(90);

/// Number of gateways.
const GATEWAYS: u8 = 4;

pub fn play(folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", consumer::config(2));
    let cloud = http::serve([127, 0, 0, 1].into(), |_, _| {
        Next::Answer(200, vec![], vec![])
    });
    let (runs, orders) = (Runs::default(), Orders::default());
    for index in 0..9 {
        let rule = Arc::new(|_: &http::Message| Course::Stream(28, Duration::from_millis(38)));
        let name = format!("i-{index}");
        let replica = Replica::start_with_orders(
            &name,
            "model-pool",
            8,
            &runs,
            record,
            rule,
            &orders,
            Some(&store),
        );
        store.put("servers", &name, replica.entry("ready"));
    }
    // Neither the platform nor the replicas check fencing tokens, as in `hearthstead-recipes-grown`.
    let site = Site {
        store: store.address,
        cloud,
        fencing: false,
    };
    let mut gateways = Vec::new();
    for index in 1..=GATEWAYS {
        gateways.push(Gateway::start(folder, index, site));
        thread::sleep(STAGGER);
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        let version = round + 2;
        let holder = gateways.iter().position(holds);
        let Some(holder) = holder else {
            record.say("no gateway has the duty now");
            thread::sleep(REST);
            continue;
        };
        if trouble {
            hold_up(&gateways[holder], &orders, record);
        }
        let named = Instant::now();
        let spec = vec![("model", text(MODEL)), ("version", num(version))];
        store.put("versions", MODEL, obj(spec));
        record.say(format!("version {version} is named"));
        if trouble {
            stop_holder(&mut gateways[holder], &orders, record, named);
        } else {
            thread::sleep(Duration::from_secs(3));
        }
        if broken(&orders, record) {
            return Verdict::Broken;
        }
        thread::sleep(if trouble {
            REST
        } else {
            Duration::from_secs(1)
        });
    }
    Verdict::Held
}

/// Makes the link of the holder of the duty lose packets.
fn hold_up(holder: &Gateway, orders: &Orders, record: &Record) {
    record.say(format!(
        "the link of {}, the holder, loses packets",
        holder.name
    ));
    let held = Some((holder.name.clone(), ORDER_HELD_UP));
    *orders.held_up.lock().unwrap_or_else(|e| e.into_inner()) = held;
    *orders.reports.lock().unwrap_or_else(|e| e.into_inner()) = Some(REPORT_HELD_UP);
}

/// Returns `true` if the last word of a gateway on the duty is that it has it.
fn holds(gateway: &Gateway) -> bool {
    let log = gateway.log_text();
    let acquired = log.rfind("duty_acquired");
    let ended = log.rfind("duty_lost").max(log.rfind("duty_released"));
    acquired.is_some() && acquired > ended
}

/// Stops the holder of the duty as soon as it turns to a replica, and starts it again.
fn stop_holder(holder: &mut Gateway, orders: &Orders, record: &Record, named: Instant) {
    let until = Instant::now() + Duration::from_secs(4);
    while orders
        .asked
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .is_none_or(|at| at < named)
    {
        if Instant::now() > until {
            return record.say("no replica was asked for its report");
        }
        thread::sleep(Duration::from_millis(2));
    }
    record.say(format!(
        "SIGTERM for {}, whose first order is on its way",
        holder.name
    ));
    holder.signal("TERM");
    // The next holder has another link.
    *orders.reports.lock().unwrap_or_else(|e| e.into_inner()) = None;
    holder.wait_end(Duration::from_secs(8));
    thread::sleep(Duration::from_millis(100));
    holder.spawn();
}

/// The rule: where replicas do not check tokens, none gets an order with a lower one after a higher one.
fn broken(orders: &Orders, record: &Record) -> bool {
    let mut highest: BTreeMap<String, Order> = BTreeMap::new();
    let mut broken = false;
    let seen = orders.seen.lock().unwrap_or_else(|e| e.into_inner());
    for order in seen.iter() {
        let Some(known) = highest.get(&order.replica) else {
            highest.insert(order.replica.clone(), order.clone());
            continue;
        };
        let lower = order.fence < known.fence;
        if lower || (order.fence == known.fence && order.holder != known.holder) {
            record.say(format!(
                "{} got an order of {} with token {} {} ms after one of {} with token {}",
                order.replica,
                order.holder,
                order.fence,
                order.at.duration_since(known.at).as_millis(),
                known.holder,
                known.fence
            ));
            broken = true;
        }
        if !lower {
            highest.insert(order.replica.clone(), order.clone());
        }
    }
    broken
}
