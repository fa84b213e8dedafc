//! Carries out weight loads, one at a time and in the order in which they were accepted.

use std::sync::Arc;
use std::thread;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::port::target::TargetPort;

/// Accepted loads that may wait. A holder has one load under way for each target.
const LOAD_ROOM: usize = 4;

/// An accepted load.
#[derive(Debug)]
pub struct Load {
    /// Fencing token of the order.
    pub fence: Fence,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// Where the result goes.
    pub reply: Sender<OrderAnswer>,
}

/// Starts the thread that carries out loads. It ends when the sender is dropped.
pub fn start(target: Arc<dyn TargetPort>) -> anyhow::Result<Sender<Load>> {
    let (sender, loads) = flume::bounded(LOAD_ROOM);
    thread::Builder::new()
        .name("orders".to_owned())
        .spawn(move || run(target.as_ref(), &loads))
        .context("could not start the thread for orders")?;
    Ok(sender)
}

fn run(target: &dyn TargetPort, loads: &Receiver<Load>) {
    while let Ok(load) = loads.recv() {
        let result = target.load(&load.model, load.version, load.fence);
        if let Err(failure) = result {
            log::warn!(
                "could not load version {} of model {}: {}",
                load.version,
                load.model,
                failure.kind
            );
        }
        // A closed channel means that the sender of the order has gone.
        let _ = load.reply.send(OrderAnswer {
            fence: load.fence,
            result: result.map_err(|failure| failure.kind),
        });
    }
}
