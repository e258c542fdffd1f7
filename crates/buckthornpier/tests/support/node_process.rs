//! A node as a process.

use std::{fs, net, path, process};

use crate::support;

/// A node of the product.
#[derive(Debug)]
pub struct NodeProcess {
    /// The process.
    pub process: support::ChildProcess,
    /// Where callers reach it.
    pub callers: net::SocketAddr,
    /// Where operators reach it.
    pub operators: net::SocketAddr,
    /// Where other nodes reach it.
    pub peers: net::SocketAddr,
}

impl NodeProcess {
    /// Starts a node that says hello to others, with a settings file of its own.
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

    /// Starts a call to a model.
    pub fn complete(&self, prompt: &str) -> support::CallerCall {
        support::CallerCall::completion(self.callers, prompt)
    }

    /// Starts a call to the plain service.
    pub fn charge(&self, text: &str) -> support::CallerCall {
        support::CallerCall::charge(self.callers, text)
    }

    /// Returns the number of targets that it may send to.
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

    /// Tells whether the balancer may send callers here.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let answer = support::client().get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}
