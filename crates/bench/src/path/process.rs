//! Processes under measurement, with their memory use and CPU time.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use serde_json::Value;

/// Clock ticks per second in `/proc/PID/stat`. It is 100 on every Linux host.
const CLOCK_TICKS: u64 = 100;

/// A running entry or agent process, which is killed when dropped.
pub(super) struct Process {
    pub(super) address: SocketAddr,
    /// Address for connections from other entries. `None` on an agent.
    pub(super) peer: Option<SocketAddr>,
    child: Child,
}

impl Process {
    /// Starts a role with the given settings and waits until it listens.
    pub(super) fn start(program: &Path, role: &str, settings: &Value) -> anyhow::Result<Self> {
        let name = format!(
            "sardinepath-bench-{}-{}",
            std::process::id(),
            settings["host"]
        );
        let file = std::env::temp_dir().join(name.replace('"', "") + ".json");
        fs::write(&file, settings.to_string())?;
        let mut child = Command::new(program)
            .args([role, "--settings"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("could not start {}", program.display()))?;
        let errors = child.stderr.take().context("standard error is not piped")?;
        let mut lines = BufReader::new(errors).lines();
        // Other events, for example about a missing setting, may precede the serving event.
        let line = loop {
            let line = lines
                .next()
                .context("the process ended before it served")??;
            if line.contains("\"address\"") {
                break line;
            }
        };
        // The pipe must be drained, because a full pipe would block the process.
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| eprintln!("{line}"))
        });
        let _ = fs::remove_file(&file);
        let serving: Value = serde_json::from_str(&line).with_context(|| line.clone())?;
        let address = |field: &str| serving[field].as_str()?.parse().ok();
        Ok(Self {
            address: address("address").with_context(|| line.clone())?,
            peer: address("peer"),
            child,
        })
    }

    /// Returns the resident memory in bytes.
    pub(super) fn resident_memory(&self) -> anyhow::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes: u64 = kilobytes
            .context("VmRSS is missing in /proc/PID/status")?
            .parse()?;
        Ok(kilobytes * 1024)
    }

    /// Returns the CPU time that the process has used so far.
    pub(super) fn cpu_time(&self) -> anyhow::Result<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The program name is in parentheses and may contain spaces.
        let (_, fields) = stat
            .rsplit_once(')')
            .context("the program name is missing in /proc/PID/stat")?;
        let fields: Vec<_> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok());
        let used = ticks(11).context("utime is missing in /proc/PID/stat")?
            + ticks(12).context("stime is missing in /proc/PID/stat")?;
        Ok(Duration::from_millis(used * 1000 / CLOCK_TICKS))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls may fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
