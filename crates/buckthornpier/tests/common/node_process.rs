//! A node as a process of its own.

use std::{
    io::{BufRead, BufReader, Read},
    net, process, thread, time,
};

use crate::common;

/// Pause between two looks.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Looks until a state that does not come fails the test; far above what it takes.
const LOOK_LIMIT: u32 = 1_500;

/// A running node; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: process::Child,
    /// Where operators are accepted.
    pub operators: net::SocketAddr,
    /// Where other nodes are accepted.
    pub peers: net::SocketAddr,
    log: Option<thread::JoinHandle<String>>,
}

impl NodeProcess {
    /// Starts a node and waits for its ports.
    pub fn start(test: &str, name: &str, platform: &str, seeds: &str) -> Self {
        let path = common::file(test, &format!("{name}.ini"), &settings(platform, seeds));
        let mut command = common::command(&["node", "--settings", &path]);
        command.stdout(process::Stdio::piped());
        let mut child = command.stderr(process::Stdio::piped()).spawn().unwrap();
        let mut stderr = child.stderr.take().unwrap();
        let log = thread::spawn(move || {
            let mut lines = String::new();
            stderr.read_to_string(&mut lines).unwrap();
            lines
        });
        let mut ports = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        stdout.read_line(&mut ports).unwrap();
        Self {
            operators: port(&ports, "operators="),
            peers: port(&ports, "peers="),
            child,
            log: Some(log),
        }
    }

    /// Returns what `status` says of the node.
    pub fn status(&self) -> String {
        let node = self.operators.to_string();
        common::expect(0, &["status", "--node", &node]).out
    }

    /// Waits until `status` holds a line.
    pub fn wait_for(&self, line: &str) -> String {
        for _look in 0..LOOK_LIMIT {
            let status = self.status();
            if status.lines().any(|found| found == line) {
                return status;
            }
            thread::sleep(LOOK_PAUSE);
        }
        panic!("{line:?} never came: {}", self.status());
    }

    /// Sends SIGTERM; returns the exit code and the log.
    pub fn stop(mut self) -> (Option<i32>, String) {
        let signal = process::Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(signal.unwrap().success());
        let code = self.child.wait().unwrap().code();
        let log = self.log.take().unwrap().join().unwrap();
        (code, log)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Returns settings of a node on ports that the system chooses.
pub fn settings(platform: &str, seeds: &str) -> String {
    format!(
        "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\nseeds = {seeds}\n\
         peer-key = 0123456789abcdef0123456789abcdef\ndrain-notice-seconds = 0\n\
         [platform]\nurl = {platform}\n"
    )
}

fn port(ports: &str, name: &str) -> net::SocketAddr {
    let mut words = ports.split_whitespace();
    let word = words.find_map(|word| word.strip_prefix(name));
    word.unwrap().parse().unwrap()
}
