//! Thread that executes weight loads one at a time, in the order in which they were accepted.

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

/// Maximum number of accepted loads that wait. A holder has one load under way for each target.
const LOAD_QUEUE_CAPACITY: usize = 4;

/// An accepted order to load weights.
#[derive(Debug)]
pub struct Load {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Model whose weights are loaded.
    pub model: ModelName,
    /// Weight version to load.
    pub version: WeightVersion,
    /// Channel for the result.
    pub reply: Sender<OrderAnswer>,
}

/// Starts the thread that executes loads. It ends when the returned sender is dropped.
pub fn start(target: Arc<dyn TargetPort>) -> anyhow::Result<Sender<Load>> {
    let (sender, loads) = flume::bounded(LOAD_QUEUE_CAPACITY);
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
        // A closed channel means that the sender of the order no longer waits.
        let _ = load.reply.send(OrderAnswer {
            fence: load.fence,
            result: result.map_err(|failure| failure.kind),
        });
    }
}
