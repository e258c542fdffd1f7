//! A child process of a test.

use std::{
    io::{self, BufRead as _, Read as _},
    process, thread,
};

use rustix::process as unix;

use crate::support;

/// A child process that prints a line once it serves; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
    first_line: String,
    log: Option<thread::JoinHandle<String>>,
    _stdout: io::BufReader<process::ChildStdout>,
}

impl ChildProcess {
    /// Starts a process and waits for its first line.
    pub fn start(command: &mut process::Command) -> Self {
        if std::env::var_os("PIER_TEST_LOGS").is_none() {
            command.stderr(process::Stdio::null());
        }
        Self::spawn(command)
    }

    /// Starts a process whose log is kept for [`ChildProcess::wait`].
    pub fn start_logged(command: &mut process::Command) -> Self {
        command.stderr(process::Stdio::piped());
        Self::spawn(command)
    }

    fn spawn(command: &mut process::Command) -> Self {
        command.stdin(process::Stdio::null());
        command.stdout(process::Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = child.stderr.take().map(collect_log);
        let mut stdout = io::BufReader::new(child.stdout.take().unwrap());
        let mut first_line = String::new();
        stdout.read_line(&mut first_line).unwrap();
        assert!(!first_line.is_empty(), "{command:?} ended before it served");
        Self {
            child,
            first_line,
            log,
            _stdout: stdout,
        }
    }

    /// Returns the value of a `NAME=VALUE` field in the first line.
    pub fn announced(&self, name: &str) -> String {
        let fields = self.first_line.split_whitespace();
        let mut values = fields.filter_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        let value = values.next();
        value
            .unwrap_or_else(|| panic!("no {name} in {:?}", self.first_line))
            .to_owned()
    }

    /// Sends SIGSTOP, which freezes the process with its connections open.
    pub fn freeze(&self) {
        self.signal(unix::Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn thaw(&self) {
        self.signal(unix::Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(unix::Signal::TERM);
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has ended; returns its exit code and its log, empty if not kept.
    pub fn wait(&mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        let log = self.log.take();
        let log = log.map(|log| log.join().unwrap());
        (code, log.unwrap_or_default())
    }

    /// Waits until the process exits by itself; panics on time-out.
    pub async fn wait_for_exit(&mut self) -> process::ExitStatus {
        let child = &mut self.child;
        let waiting = async {
            loop {
                if let Some(status) = child.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(support::POLL_INTERVAL).await;
            }
        };
        let exited = tokio::time::timeout(support::WAIT_TIMEOUT, waiting).await;
        exited.expect("the process did not exit in time")
    }

    fn signal(&self, signal: unix::Signal) {
        let id = unix::Pid::from_child(&self.child);
        unix::kill_process(id, signal).unwrap();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ended_already = self.child.kill();
        let _ended_already = self.child.wait();
    }
}

/// Collects a log in a thread of its own, so that the process never blocks on a full pipe.
fn collect_log(mut stderr: process::ChildStderr) -> thread::JoinHandle<String> {
    thread::spawn(move || {
        let mut lines = String::new();
        stderr.read_to_string(&mut lines).unwrap();
        lines
    })
}
