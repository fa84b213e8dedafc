//! Stand-in of a trainer, which posts steps, polls for their samples and logs them.

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

/// Timeout of one call in seconds.
const CALL_TIMEOUT_SECONDS: u64 = 30;

/// Pause before the next poll after one that failed or returned no samples.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Identity of a trainer and addresses that it uses.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// Name of the trainer.
    pub name: TrainerName,
    /// Team that owns the route.
    pub team: TeamName,
    /// Route over which samples are generated.
    pub route: RouteName,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Addresses of one or more entries. After an error the trainer uses the next one.
    pub entries: Vec<SocketAddr>,
    /// Address of the weight store.
    pub store: SocketAddr,
    /// Model that the trainer publishes.
    pub model: ModelName,
    /// Maximum difference between the version of the trainer and the lowest version of a sample.
    pub staleness: u64,
}

/// Request for a group of samples of one prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupOrder {
    /// Name of the group, unique within its step.
    pub group: String,
    /// Prompt of all samples.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
    /// Maximum number of tokens of each sample.
    pub max_tokens: u32,
}

/// Delivered sample.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Index within the group.
    pub index: u32,
    /// Answer of the engine.
    pub text: String,
    /// Number of tokens of the answer.
    pub tokens: u64,
    /// Score from the scoring service.
    pub score: f64,
    /// Weight versions that generated the answer.
    pub versions: Vec<WeightVersion>,
}

/// Received sample with the context of its delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleEntry {
    /// Step of the sample.
    pub step: u64,
    /// Group of the sample.
    pub group: String,
    /// Revision of the stored record of the group.
    pub revision: Revision,
    /// Version of the trainer when it polled for the sample.
    pub version: WeightVersion,
    /// Sample as it was delivered.
    pub sample: Sample,
}

/// Differences between the requested and the received samples.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Samples received more than once, as step, group and index.
    pub repeated: Vec<(u64, String, u32)>,
    /// Samples without a version, or with a version older than the staleness bound allows.
    pub stale: Vec<(u64, String, u32)>,
    /// Samples that were requested and not received.
    pub missing: Vec<(u64, String, u32)>,
    /// Samples that were received and not requested.
    pub foreign: Vec<(u64, String, u32)>,
}

/// Trainer, whose calls block the thread that owns it.
#[derive(Debug)]
pub struct Trainer {
    settings: TrainerSettings,
    version: WeightVersion,
    /// Number of failed calls, which selects the entry for the next call.
    failed_calls: usize,
    /// Revision after which the next poll continues, by step.
    cursors: BTreeMap<u64, Revision>,
    requested: BTreeMap<u64, Vec<GroupOrder>>,
    received: Vec<SampleEntry>,
    /// Number of upcoming answers to polls that the trainer drops unread.
    pub lose_polls: u32,
}

/// Result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Polled {
    /// This number of groups, with more to come.
    Groups(usize),
    /// The last groups of the step.
    Done,
    /// The answer was dropped, so the cursor stays.
    Lost,
}

/// Body of the answer to a poll.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Delivery {
    groups: Vec<Group>,
    next: Revision,
    done: bool,
}

/// Delivered group of samples.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    group: String,
    revision: Revision,
    samples: Vec<Sample>,
}

impl Trainer {
    /// Creates a trainer whose latest published weights have this version.
    pub fn new(settings: TrainerSettings, version: WeightVersion) -> Self {
        Self {
            settings,
            version,
            failed_calls: 0,
            cursors: BTreeMap::new(),
            requested: BTreeMap::new(),
            received: Vec::new(),
            lose_polls: 0,
        }
    }

    /// Returns all received samples in order of arrival.
    pub fn samples(&self) -> &[SampleEntry] {
        &self.received
    }

    /// Posts a step. After an error the step may have been accepted; posting it again is safe.
    pub fn post_step(&mut self, step: u64, groups: &[GroupOrder]) -> Result<(), String> {
        self.requested.insert(step, groups.to_vec());
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

    /// Polls for samples once. After an error the next poll uses the next entry and the same
    /// cursor.
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
            Polled::Groups(count)
        })
    }

    /// Posts a step and polls until it is done, and uses the next entry after each error. Returns
    /// the last error if the step is not done within `limit`.
    pub fn run_step(
        &mut self,
        step: u64,
        groups: &[GroupOrder],
        limit: Duration,
    ) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        let mut posted = false;
        let mut last_error = String::from("no call failed");
        while Instant::now() < deadline {
            let polled = if posted {
                self.poll(step)
            } else {
                self.post_step(step, groups).map(|()| Polled::Groups(0))
            };
            posted |= polled.is_ok();
            match polled {
                Ok(Polled::Done) => return Ok(()),
                Ok(Polled::Lost | Polled::Groups(0)) => std::thread::sleep(POLL_INTERVAL),
                Ok(Polled::Groups(_)) => {}
                Err(e) => {
                    last_error = e;
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        }
        Err(format!(
            "step {step} was not done within {limit:?}: {last_error}"
        ))
    }

    /// Publishes the next version in the weight store and uses it for all later calls.
    pub fn publish(&mut self) -> Result<WeightVersion, String> {
        let next = WeightVersion(self.version.0 + 1);
        let (store, model) = (self.settings.store, &self.settings.model);
        let url = format!("http://{store}/models/{model}/versions/{next}");
        let answer = minreq::put(url).with_timeout(CALL_TIMEOUT_SECONDS).send();
        let answer = answer.map_err(|e| e.to_string())?;
        // Status 409 means that an earlier attempt took effect and its answer was lost.
        if !matches!(answer.status_code, 200 | 409) {
            return Err(format!(
                "the weight store answered with status {}",
                answer.status_code
            ));
        }
        self.version = next;
        Ok(next)
    }

    /// Compares the received samples with the requested ones.
    pub fn faults(&self) -> Faults {
        let mut counts: BTreeMap<_, u32> = self.expected().map(|key| (key, 0)).collect();
        let mut faults = Faults::default();
        for entry in &self.received {
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
        self.requested.iter().flat_map(|(step, groups)| {
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
        self.received.extend(entries);
    }

    fn url(&self, path: &str) -> String {
        let entries = &self.settings.entries;
        let entry = entries[self.failed_calls % entries.len()];
        let (team, route) = (&self.settings.team, &self.settings.route);
        format!("http://{entry}/{team}/{route}/{path}")
    }

    /// Sends a request with the API key. After an error the next call uses the next entry.
    fn call(&mut self, request: minreq::Request) -> Result<Vec<u8>, String> {
        let token = format!("Bearer {}", self.settings.key);
        let request = request.with_header("authorization", token);
        let answer = request.with_timeout(CALL_TIMEOUT_SECONDS).send();
        let answer = answer.map_err(|e| e.to_string()).and_then(|answer| {
            let status = answer.status_code;
            let body = answer.into_bytes();
            match status {
                200..300 => Ok(body),
                _ => Err(format!(
                    "status {status}: {}",
                    String::from_utf8_lossy(&body)
                )),
            }
        });
        self.failed_calls += usize::from(answer.is_err());
        answer
    }
}

fn decode<T: DeserializeOwned>(answer: &[u8]) -> Result<T, String> {
    serde_json::from_slice(answer).map_err(|e| format!("the answer is malformed: {e}"))
}
