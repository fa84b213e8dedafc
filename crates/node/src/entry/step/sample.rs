//! Generation of one sample on the traffic threads.

use flume::Receiver;
use sardinepath_adapters::target::completion::completion_text;
use sardinepath_core::decision::sample::Sample;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;

use crate::entry::service::EntryService;
use crate::entry::service::SampleCall;

/// Maximum number of events of one sample that wait to be read.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Generates the sample with the given index of its group. Its score is 0 until it is scored.
pub(super) async fn generate(
    service: EntryService,
    call: SampleCall,
    index: u32,
) -> Result<Sample, Failure> {
    let (sender, events) = flume::bounded(EVENT_QUEUE_CAPACITY);
    let _guard = service.submit_sample(call, sender);
    let (answer, ending) = collect(&events).await?;
    let text = completion_text(&answer).ok_or(Failure::from(ErrorKind::Truncated))?;
    Ok(Sample {
        index,
        versions: ending.versions,
        tokens: ending.tokens,
        score: 0.0,
        text: text.into(),
    })
}

async fn collect(events: &Receiver<CallEvent>) -> Result<(Vec<u8>, AnswerSummary), Failure> {
    let mut answer = Vec::new();
    loop {
        match events.recv_async().await {
            Ok(CallEvent::Head { status: 200, .. } | CallEvent::Heartbeat) => {}
            Ok(CallEvent::Head { .. }) => return Err(Failure::from(ErrorKind::TargetFailed)),
            Ok(CallEvent::Chunk(part)) => answer.extend(part),
            Ok(CallEvent::End(ending)) => return Ok((answer, ending)),
            Ok(CallEvent::Failed(failure)) => return Err(failure),
            Err(_) => return Err(Failure::from(ErrorKind::Draining)),
        }
    }
}
