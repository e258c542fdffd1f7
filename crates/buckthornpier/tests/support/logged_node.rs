//! A node process whose log and status a test reads.

use std::{net, thread, time};

use crate::support;

/// Time between two polls of the status.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Polls before a missing status line fails the test; far more than a working node needs.
const MAX_POLLS: u32 = 1_500;

/// A running node; killed when dropped.
#[derive(Debug)]
pub struct LoggedNode {
    process: support::ChildProcess,
    /// The operator port.
    pub operators: net::SocketAddr,
    /// The port for other nodes.
    pub peers: net::SocketAddr,
}

impl LoggedNode {
    /// Starts a node and waits for its ports.
    pub fn start(test: &str, name: &str, platform: &str, seeds: &str) -> Self {
        let path = support::file(
            test,
            &format!("{name}.ini"),
            &node_settings(platform, seeds),
        );
        let mut command = support::command(&["node", "--settings", &path]);
        let process = support::ChildProcess::start_logged(&mut command);
        Self {
            operators: process.announced("operators").parse().unwrap(),
            peers: process.announced("peers").parse().unwrap(),
            process,
        }
    }

    /// Returns the output of `status` for the node.
    pub fn status(&self) -> String {
        let node = self.operators.to_string();
        support::expect(0, &["status", "--node", &node]).out
    }

    /// Polls `status` until it contains a line, and returns its output.
    pub fn wait_for(&self, line: &str) -> String {
        for _poll in 0..MAX_POLLS {
            let status = self.status();
            if status.lines().any(|found| found == line) {
                return status;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("{line:?} never came: {}", self.status());
    }

    /// Sends SIGTERM; returns the exit code and the log.
    pub fn stop(mut self) -> (Option<i32>, String) {
        self.process.terminate();
        self.process.wait()
    }
}

/// Returns the settings of a node whose ports the system chooses.
pub fn node_settings(platform: &str, seeds: &str) -> String {
    format!(
        "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\nseeds = {seeds}\n\
         peer-key = 0123456789abcdef0123456789abcdef\ndrain-notice-seconds = 0\n\
         [platform]\nurl = {platform}\n"
    )
}
