//! A node process that serves callers.

use std::{fs, net, path, process};

use crate::support;

/// A running node and its addresses.
#[derive(Debug)]
pub struct NodeProcess {
    /// The process.
    pub process: support::ChildProcess,
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address for other nodes.
    pub peers: net::SocketAddr,
}

impl NodeProcess {
    /// Starts a node that contacts the given nodes as its seeds, with a settings file of its own.
    pub fn start(ip: net::Ipv4Addr, others: &[Self], platform: net::SocketAddr) -> Self {
        let seeds: Vec<_> = others.iter().map(|node| node.peers.to_string()).collect();
        let node_number = others.len();
        let text = format!(
            "[node]\ndata-centre = mvd-a\nregion = mvd\ncallers = {ip}:0\noperators = {ip}:0\n\
             peers = {ip}:0\nseeds = {}\npeer-key = 0123456789abcdef0123456789abcdef\n\
             drain-notice-seconds = 1\n[platform]\nurl = http://{platform}\n",
            seeds.join(", "),
        );
        let file = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = file.join(format!("node-{ip}-{node_number}.ini"));
        fs::write(&file, text).unwrap();
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_buckthornpier"));
        command.arg("node").arg("--settings").arg(file);
        let process = support::ChildProcess::start(&mut command);
        let callers = process.announced("callers").parse().unwrap();
        let operators = process.announced("operators").parse().unwrap();
        let peers = process.announced("peers").parse().unwrap();
        Self {
            process,
            callers,
            operators,
            peers,
        }
    }

    /// Creates a completion request to this node.
    pub fn complete(&self, prompt: &str) -> support::CallerCall {
        support::CallerCall::completion(self.callers, prompt)
    }

    /// Creates a charge to the service through this node.
    pub fn charge(&self, text: &str) -> support::CallerCall {
        support::CallerCall::charge(self.callers, text)
    }

    /// Returns the number of targets of which the node holds a share.
    pub async fn count_shared_targets(&self) -> usize {
        let url = format!("http://{}/operator/groups", self.operators);
        let Ok(answer) = support::client().get(url).send().await else {
            return 0;
        };
        let response: serde_json::Value = answer.json().await.unwrap();
        let targets = response["targets"].as_array().into_iter().flatten();
        let shared = targets.filter(|target| target["share"].as_u64() > Some(0));
        shared.count()
    }

    /// Returns whether the node reports itself ready for the load balancer in front of it.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let answer = support::client().get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}
