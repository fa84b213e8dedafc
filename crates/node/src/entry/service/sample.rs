//! Samples that the entry itself requests. They are admitted and run like callers' requests.

use std::sync::Arc;

use flume::Sender;
use sardinepath_adapters::target::completion::completion_body;
use sardinepath_core::decision::admission::admission_request;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::authorize_sample;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::target::CallGuard;

use crate::entry::service::EntryService;
use crate::entry::service::Shared;
use crate::entry::service::job::Job;

/// Request for one sample of a trainer's step.
#[derive(Clone, Debug)]
pub struct SampleCall {
    /// Content of the step.
    pub record: Arc<StepRecord>,
    /// Digest of the trainer's key.
    pub key: KeyDigest,
    /// Prompt of the sample.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Lowest weight version of a target that may answer.
    pub min_version: WeightVersion,
}

impl EntryService {
    /// Starts the generation of a sample, as a request of priority `training`. The answer is sent
    /// only once it is complete. Dropping the returned guard cancels the request.
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
    /// Authorizes a sample and asks the control thread to admit it.
    fn admit_sample(&self, call: &SampleCall, events: Sender<CallEvent>) -> Result<Job, ErrorKind> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let (config, fresh) = (&snapshot.config, snapshot.view().is_fresh(now));
        let authorized = authorize_sample(config, fresh, &call.record, call.key)?;
        let inbound = Inbound {
            method: Arc::from("POST"),
            path: authorized.path.clone(),
            fields: Arc::default(),
            body: Arc::from(completion_body(&call.prompt, call.max_tokens)),
            texts: Vec::new(),
            completion: Some(Completion {
                streamed: true,
                prompt: call.prompt.clone(),
                max_tokens: call.max_tokens,
            }),
        };
        let request = admission_request(&authorized, &inbound, call.min_version, now);
        let job = self.request_admission(authorized, request, inbound, events)?;
        Ok(Job {
            buffered: true,
            ..job
        })
    }
}
