//! A trainer that posts steps, polls for their samples and keeps a book of what it received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::RouteName;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::name::TrainerName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Time for one call, in seconds.
const CALL_LIMIT: u64 = 30;

/// Pause between two polls that brought nothing.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Where and as whom a trainer works.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// Name of the trainer.
    pub name: TrainerName,
    /// Team of its route.
    pub team: TeamName,
    /// Route to the engines.
    pub route: RouteName,
    /// Secret of its key.
    pub key: String,
    /// Entries, at least one, used in turn when one fails.
    pub entries: Vec<SocketAddr>,
    /// Address of the weight store.
    pub store: SocketAddr,
    /// Model that it trains.
    pub model: ModelName,
    /// Largest difference between its version and the lowest version of a sample.
    pub staleness: u64,
}

/// A group of samples of one prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupOrder {
    /// Name of the group within the step.
    pub group: String,
    /// Prompt of all its samples.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
}

/// One sample as it was delivered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Place within the group.
    pub index: u32,
    /// Answer of the engine.
    pub text: String,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Score by the scoring service.
    pub score: f64,
    /// Weight versions that generated it.
    pub versions: Vec<WeightVersion>,
}

/// A sample in the book.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleEntry {
    /// Step of the sample.
    pub step: u64,
    /// Group of the sample.
    pub group: String,
    /// Revision of the group's record.
    pub revision: Revision,
    /// Version of the trainer when the sample was asked for.
    pub version: WeightVersion,
    /// The sample.
    pub sample: Sample,
}

/// What was wrong with the samples of a book.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Samples received more than once, as step, group and index.
    pub repeated: Vec<(u64, String, u32)>,
    /// Samples older than the staleness bound, or without a version.
    pub stale: Vec<(u64, String, u32)>,
    /// Samples that were asked for and not received.
    pub missing: Vec<(u64, String, u32)>,
    /// Samples that were received and not asked for.
    pub foreign: Vec<(u64, String, u32)>,
}

/// A trainer, driven by the thread that owns it.
#[derive(Debug)]
pub struct Trainer {
    settings: TrainerSettings,
    version: WeightVersion,
    /// Place in the list of the entry in use.
    entry: usize,
    cursors: BTreeMap<u64, Revision>,
    asked: BTreeMap<u64, Vec<GroupOrder>>,
    book: Vec<SampleEntry>,
    /// Answers to polls that the trainer will lose before it reads them.
    pub lose_polls: u32,
}

/// What a poll brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Polled {
    /// Some groups, and more are to come.
    Some(usize),
    /// The last groups of the step.
    Done,
    /// The answer was lost, so the cursor stays.
    Lost,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Delivery {
    groups: Vec<Group>,
    next: Revision,
    done: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    group: String,
    revision: Revision,
    samples: Vec<Sample>,
}

impl Trainer {
    /// Creates a trainer at a version.
    pub fn new(settings: TrainerSettings, version: WeightVersion) -> Self {
        Self {
            settings,
            version,
            entry: 0,
            cursors: BTreeMap::new(),
            asked: BTreeMap::new(),
            book: Vec::new(),
            lose_polls: 0,
        }
    }

    /// Returns every sample received, in order.
    pub fn book(&self) -> &[SampleEntry] {
        &self.book
    }

    /// Posts a step. After an error the step may have been accepted; posting it again is safe.
    pub fn post_step(&mut self, step: u64, groups: &[GroupOrder]) -> Result<(), String> {
        self.asked.insert(step, groups.to_vec());
        let body = json!({
            "trainer": self.settings.name,
            "step": step,
            "version": self.version,
            "staleness": self.settings.staleness,
            "groups": groups,
        });
        let request = minreq::post(self.url("steps")).with_body(body.to_string());
        self.call(request).map(|_| ())
    }

    /// Polls once. After an error the next poll goes to the next entry with the same cursor.
    pub fn poll(&mut self, step: u64) -> Result<Polled, String> {
        let after = self.cursors.get(&step).copied().unwrap_or_default();
        let (name, version) = (&self.settings.name, self.version);
        let path = format!("steps/{name}/{step}?after={after}&version={version}");
        let answer = self.call(minreq::get(self.url(&path)))?;
        if self.lose_polls > 0 {
            self.lose_polls -= 1;
            return Ok(Polled::Lost);
        }
        let delivery: Delivery = decode(&answer)?;
        let count = delivery.groups.len();
        for group in delivery.groups {
            self.receive(step, group);
        }
        self.cursors.insert(step, delivery.next);
        Ok(if delivery.done {
            Polled::Done
        } else {
            Polled::Some(count)
        })
    }

    /// Posts a step and polls until it is done, with any entry that answers.
    pub fn run_step(
        &mut self,
        step: u64,
        groups: &[GroupOrder],
        limit: Duration,
    ) -> Result<(), String> {
        let end = Instant::now() + limit;
        let mut posted = false;
        let mut last = String::from("the step was not done");
        while Instant::now() < end {
            let polled = if posted {
                self.poll(step)
            } else {
                self.post_step(step, groups).map(|()| Polled::Some(0))
            };
            posted |= polled.is_ok();
            match polled {
                Ok(Polled::Done) => return Ok(()),
                Ok(Polled::Lost | Polled::Some(0)) => std::thread::sleep(POLL_PAUSE),
                Ok(Polled::Some(_)) => {}
                Err(e) => {
                    last = e;
                    std::thread::sleep(POLL_PAUSE);
                }
            }
        }
        Err(format!("step {step} ran out of time: {last}"))
    }

    /// Publishes the next version in the weight store and works with it from then on.
    pub fn publish(&mut self) -> Result<WeightVersion, String> {
        let next = WeightVersion(self.version.0 + 1);
        let (store, model) = (self.settings.store, &self.settings.model);
        let url = format!("http://{store}/models/{model}/versions/{next}");
        let answer = minreq::put(url).with_timeout(CALL_LIMIT).send();
        let answer = answer.map_err(|e| e.to_string())?;
        // 409 means that the answer to an earlier try was lost.
        if !matches!(answer.status_code, 200 | 409) {
            return Err(format!("the store answered with {}", answer.status_code));
        }
        self.version = next;
        Ok(next)
    }

    /// Compares the book with what was asked for.
    pub fn faults(&self) -> Faults {
        let mut counts: BTreeMap<_, u32> = self.expected().map(|key| (key, 0)).collect();
        let mut faults = Faults::default();
        for entry in &self.book {
            let key = (entry.step, entry.group.clone(), entry.sample.index);
            if self.is_stale(entry) {
                faults.stale.push(key.clone());
            }
            match counts.get_mut(&key) {
                None => faults.foreign.push(key),
                Some(count) => {
                    *count += 1;
                    if *count > 1 {
                        faults.repeated.push(key);
                    }
                }
            }
        }
        let missing = counts.into_iter().filter(|(_, count)| *count == 0);
        faults.missing = missing.map(|(key, _)| key).collect();
        faults
    }

    fn expected(&self) -> impl Iterator<Item = (u64, String, u32)> {
        self.asked.iter().flat_map(|(step, groups)| {
            groups.iter().flat_map(move |order| {
                (0..order.samples).map(move |index| (*step, order.group.clone(), index))
            })
        })
    }

    fn is_stale(&self, entry: &SampleEntry) -> bool {
        let lowest = entry.sample.versions.iter().min();
        lowest.is_none_or(|lowest| entry.version.0 > lowest.0 + self.settings.staleness)
    }

    fn receive(&mut self, step: u64, group: Group) {
        let (version, revision) = (self.version, group.revision);
        let entries = group.samples.into_iter().map(|sample| SampleEntry {
            step,
            group: group.group.clone(),
            revision,
            version,
            sample,
        });
        self.book.extend(entries);
    }

    fn url(&self, path: &str) -> String {
        let entries = &self.settings.entries;
        let entry = entries[self.entry % entries.len()];
        let (team, route) = (&self.settings.team, &self.settings.route);
        format!("http://{entry}/{team}/{route}/{path}")
    }

    /// Calls an entry. Moves on to the next entry after an error.
    fn call(&mut self, request: minreq::Request) -> Result<Vec<u8>, String> {
        let key = format!("Bearer {}", self.settings.key);
        let request = request.with_header("authorization", key);
        let answer = request.with_timeout(CALL_LIMIT).send();
        let answer = answer.map_err(|e| e.to_string()).and_then(|answer| {
            let status = answer.status_code;
            let body = answer.into_bytes();
            match status {
                200..300 => Ok(body),
                _ => Err(format!("{status}: {}", String::from_utf8_lossy(&body))),
            }
        });
        self.entry += usize::from(answer.is_err());
        answer
    }
}

fn decode<T: DeserializeOwned>(answer: &[u8]) -> Result<T, String> {
    serde_json::from_slice(answer).map_err(|e| format!("the answer is malformed: {e}"))
}
