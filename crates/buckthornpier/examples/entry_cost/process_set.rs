//! The processes of a measurement.

use std::io::BufRead as _;
use std::{env, fs, io, path, process, time};

use anyhow::Context as _;
use serde_json::json;

/// VMs of the only replica group.
const MEMBERS: usize = 4;

/// Unit of the CPU times in `/proc/PID/stat` (`USER_HZ` of Linux).
const TICKS_PER_SECOND: u64 = 100;

/// Longest wait until the node serves.
const START_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// A platform, the engines of one group and a node, all killed when dropped.
#[derive(Debug)]
pub struct ProcessSet {
    children: Vec<process::Child>,
    engine: String,
    group: (String, String),
    node: String,
    node_id: u32,
}

impl ProcessSet {
    /// Starts all processes and waits until the node serves the model.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the node does not serve within the time limit.
    pub async fn launch() -> anyhow::Result<Self> {
        let mut set = Self {
            children: Vec::new(),
            engine: String::new(),
            group: <(String, String)>::default(),
            node: String::new(),
            node_id: 0,
        };
        let platform = set.start_fake(&["platform"])?;
        let mut list = Vec::new();
        for number in 0..MEMBERS {
            let vm = format!("vm-{number}");
            let arguments = [
                "engine",
                "--vm",
                &vm,
                "--token-ms",
                "0",
                "--warm-after",
                "1",
            ];
            let address = set.start_fake(&arguments)?;
            list.push(json!({
                "name": vm, "incarnation": 1, "address": address, "data_centre": "scot-central-a",
                "domain": "fabric-1", "pool": "accelerator", "state": "live"
            }));
        }
        publish(&platform, &list).await?;
        set.start_node(&platform)?;
        set.wait_until_served().await?;
        set.find_group(&platform).await?;
        Ok(set)
    }

    /// Returns the address of the group's first member.
    pub fn engine_address(&self) -> &str {
        &self.engine
    }

    /// Returns the group and its generation, as the headers of requests to an engine give them.
    pub fn engine_group(&self) -> (String, String) {
        self.group.clone()
    }

    /// Returns the node's address for callers.
    pub fn node_address(&self) -> &str {
        &self.node
    }

    /// Returns the CPU time that the node has used so far.
    ///
    /// # Errors
    ///
    /// Fails when the CPU time cannot be read from `/proc`.
    pub fn node_cpu(&self) -> anyhow::Result<time::Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.node_id))?;
        let (_name, fields) = stat
            .rsplit_once(')')
            .context("/proc/PID/stat has no process name")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<u64> {
            Ok(fields
                .get(index)
                .context("/proc/PID/stat has too few fields")?
                .parse()?)
        };
        // Fields 14 and 15, `utime` and `stime`, counted here from the field after the name.
        let total = ticks(11)? + ticks(12)?;
        Ok(time::Duration::from_millis(
            total * 1_000 / TICKS_PER_SECOND,
        ))
    }

    /// Returns the node's resident memory, in kilobytes.
    pub fn node_memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node_id)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn start_fake(&mut self, arguments: &[&str]) -> anyhow::Result<String> {
        let line = self.start("pier-fakes", arguments)?;
        let address = line
            .strip_prefix("listening=")
            .context("no listening= in the first line")?;
        Ok(address.to_owned())
    }

    fn start_node(&mut self, platform: &str) -> anyhow::Result<()> {
        let settings = format!(
            "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             peer-key = 0123456789abcdef0123456789abcdef\n[platform]\nurl = http://{platform}\n\
             [telemetry]\nlog-level = warn\n"
        );
        let path = env::temp_dir().join(format!("entry-cost-{}.ini", process::id()));
        fs::write(&path, settings)?;
        let line = self.start(
            "buckthornpier",
            &["node", "--settings", &path.to_string_lossy()],
        )?;
        fs::remove_file(&path)?;
        let mut fields = line.split_whitespace();
        let callers = fields.find_map(|field| field.strip_prefix("callers="));
        callers
            .context("no callers= in the node's first line")?
            .clone_into(&mut self.node);
        self.node_id = self.children.last().context("no process")?.id();
        Ok(())
    }

    /// Starts a program from the folder above this example's and returns its first line.
    fn start(&mut self, name: &str, arguments: &[&str]) -> anyhow::Result<String> {
        let folder = env::current_exe()?;
        let folder = folder.parent().and_then(path::Path::parent);
        let program = folder.context("the example is in no folder")?.join(name);
        let mut child = process::Command::new(&program)
            .args(arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        let output = child.stdout.take().context("the process has no output")?;
        self.children.push(child);
        let mut line = String::new();
        io::BufReader::new(output).read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// Reads the group, its generation and the address of its first member from the platform.
    async fn find_group(&mut self, platform: &str) -> anyhow::Result<()> {
        let url = format!("http://{platform}/objects/placement/scot-central-a");
        let placement: serde_json::Value = reqwest::get(url).await?.json().await?;
        let groups = placement["groups"]
            .as_object()
            .context("the placement has no groups")?;
        let (number, group) = groups
            .iter()
            .next()
            .context("the placement's list of groups is empty")?;
        let address = &group["members"][0]["address"];
        address
            .as_str()
            .context("no address")?
            .clone_into(&mut self.engine);
        let id = format!("scot-central-a/{number}");
        self.group = (id, group["generation"].to_string());
        Ok(())
    }

    async fn wait_until_served(&self) -> anyhow::Result<()> {
        let client = crate::load_client::LoadClient::new(&self.node);
        let started = time::Instant::now();
        while let Err(error) = client.calls(1, 1).await {
            if started.elapsed() > START_TIMEOUT {
                return Err(error.context("the node did not serve in time"));
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        Ok(())
    }
}

impl Drop for ProcessSet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Errors are ignored: the process may have ended already.
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}

async fn publish(platform: &str, list: &[serde_json::Value]) -> anyhow::Result<()> {
    let client = reqwest::Client::new();
    let url = format!("http://{platform}/control/vms");
    client
        .put(url)
        .json(list)
        .send()
        .await?
        .error_for_status()?;
    let document = include_str!("../../../../examples/laurel-north.ini");
    // Only the first member of a fake group answers calls, so the group never becomes warm and the
    // limit for cold groups applies throughout.
    let document = document.replace("cold-limit = 2\n", "cold-limit = 24\n");
    let url = format!("http://{platform}/objects/config/document");
    let writing = client.put(url).header("if-version", "0").body(document);
    writing.send().await?.error_for_status()?;
    Ok(())
}
