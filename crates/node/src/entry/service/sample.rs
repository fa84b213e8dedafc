//! Samples that the entry itself asks for. They run as any other request.

use std::sync::Arc;

use flume::Sender;
use sardinepath_adapters::target::completion::completion_body;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::authorize_sample;
use sardinepath_core::decision::entrance::question;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::target::CallGuard;

use crate::entry::service::EntryService;
use crate::entry::service::Job;
use crate::entry::service::Shared;

/// A sample that the entry itself asks for.
#[derive(Clone, Debug)]
pub struct SampleCall {
    /// The step of the sample.
    pub record: Arc<StepRecord>,
    /// Digest of the trainer's key.
    pub key: KeyDigest,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub tokens: u32,
    /// Lowest weight version of a target that may answer.
    pub floor: WeightVersion,
}

impl EntryService {
    /// Starts the generation of a sample, as a request of priority `training`. Events are those of
    /// a whole answer.
    pub fn submit_sample(&self, call: SampleCall, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let shared = self.shared.clone();
        let work = async move {
            let admitted = shared.admit_sample(&call, events.clone());
            shared.run_admitted(admitted, events).await;
        };
        Box::new(self.shared.spawner.spawn(work))
    }
}

impl Shared {
    /// Authorizes a sample and asks the control thread for admission.
    fn admit_sample(&self, call: &SampleCall, events: Sender<CallEvent>) -> Result<Job, ErrorKind> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let (config, fresh) = (&snapshot.config, snapshot.view().is_fresh(now));
        let authorized = authorize_sample(config, fresh, &call.record, call.key)?;
        let inbound = Inbound {
            method: Arc::from("POST"),
            path: authorized.path.clone(),
            fields: Arc::default(),
            body: Arc::from(completion_body(&call.prompt, call.tokens)),
            texts: Vec::new(),
            completion: Some(Completion {
                streamed: true,
                prompt: call.prompt.clone(),
                tokens: call.tokens,
            }),
        };
        let ask = question(&authorized, &inbound, call.floor, now);
        let job = self.ask(authorized, ask, inbound, events)?;
        Ok(Job {
            collected: true,
            ..job
        })
    }
}
