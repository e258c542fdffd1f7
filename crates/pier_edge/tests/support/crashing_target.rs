//! A target whose process ends while it runs a certain request, and starts again after a while.

use std::{
    net,
    sync::{Arc, Mutex, atomic},
    time,
};

use pier_fleet::targets;
use pier_types::epochs;
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::watch,
    task,
};

use super::{FakePlatform, Script, scripted_target};

/// A request whose text contains this ends each target that begins to run it.
pub const CRASH_MARKER: &str = "crash-marker";

/// A request whose prompt has this part ends each target that begins to run it.
pub const CRASH_PART: &str = "bad0bad0";

/// A request whose text contains this ends its target right after the last byte of the answer.
pub const CRASH_AFTER_MARKER: &str = "crash-after-answer";

/// Time between the end of a target and its next start.
const DOWN_TIME: time::Duration = time::Duration::from_millis(300);

/// Time between a short answer and the crash that follows it.
const LATE_CRASH_DELAY: time::Duration = time::Duration::from_millis(60);

/// Time that a target runs a request before it answers.
const RUN_TIME: time::Duration = time::Duration::from_millis(80);

/// How a crash of a target looks to others.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashStyle {
    /// Whether the old registration is removed, and the next start has a VM name of its own.
    pub is_renamed: bool,
    /// How long the port stays open after the connections were closed.
    pub listener_delay: time::Duration,
    /// Whether the target sends the first event of an answer without framing before it crashes.
    pub sends_event: bool,
    /// Whether the target answers a request with an odd attempt number completely, and crashes a
    /// moment later.
    pub answers_odd: bool,
}

/// A target on its own port that registers itself at every start.
#[derive(Clone, Debug)]
pub struct CrashingTarget {
    entry: targets::TargetEntry,
    style: CrashStyle,
    platform: FakePlatform,
    script: Script,
    crashes: Arc<watch::Sender<u32>>,
    requests: Arc<Mutex<Vec<(time::Instant, String)>>>,
}

impl CrashingTarget {
    /// Starts a target that answers by a script; its registration gets a free address.
    pub async fn start(
        entry: targets::TargetEntry,
        platform: FakePlatform,
        script: Script,
    ) -> Self {
        Self::start_styled(entry, platform, script, CrashStyle::default()).await
    }

    /// Starts a target whose crashes have this style.
    pub async fn start_styled(
        mut entry: targets::TargetEntry,
        platform: FakePlatform,
        script: Script,
        style: CrashStyle,
    ) -> Self {
        entry.address = super::free_address();
        let listener = TcpListener::bind(entry.address).await.unwrap();
        let target = Self {
            entry,
            style,
            platform,
            script,
            crashes: Arc::new(watch::Sender::new(0)),
            requests: Arc::default(),
        };
        target.register();
        tokio::spawn(target.clone().run(listener));
        target
    }

    /// Starts the first members of groups of two; the second members are only registered.
    pub async fn start_groups(
        platform: &FakePlatform,
        count: usize,
        script: Script,
        style: CrashStyle,
    ) -> Vec<Self> {
        let mut targets = Vec::new();
        for number in 0..count {
            let group = format!("g{number}");
            let address = "127.0.0.1:9".parse().unwrap();
            platform.put_target(super::group_member(&group, 1, address));
            let entry = super::group_member(&group, 0, address);
            let starting = Self::start_styled(entry, platform.clone(), script.clone(), style);
            targets.push(starting.await);
        }
        targets
    }

    pub fn vm(&self) -> &str {
        self.entry.vm.as_str()
    }

    /// Ends the process as a crash does.
    pub fn crash(&self) {
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Returns how often the process has ended.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    /// Returns the head and body of every request as text.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.arrivals().into_iter();
        requests.map(|(_arrived_at, request)| request).collect()
    }

    /// Returns when each request arrived, with its head and body as text.
    pub fn arrivals(&self) -> Vec<(time::Instant, String)> {
        self.requests.lock().unwrap().clone()
    }

    /// Writes the registration of the current start.
    pub fn register(&self) {
        self.platform.put_target(self.current_entry());
    }

    /// Writes a registration which says that the target is leaving.
    pub fn announce_leaving(&self) {
        let mut entry = self.current_entry();
        entry.is_draining = true;
        self.platform.put_target(entry);
    }

    fn current_entry(&self) -> targets::TargetEntry {
        let mut entry = self.entry.clone();
        let crashes = self.crashes();
        entry.standing.born = epochs::VmIncarnation::new(u64::from(crashes) + 1);
        if self.style.is_renamed {
            entry.vm = format!("{}-start{crashes}", self.vm()).parse().unwrap();
        }
        entry
    }

    async fn run(self, mut listener: TcpListener) {
        loop {
            let former = self.current_entry().vm;
            self.serve_until_crash(listener).await;
            if self.style.is_renamed {
                self.platform.remove_target(former.as_str());
            }
            tokio::time::sleep(DOWN_TIME).await;
            listener = self.rebind().await;
            self.register();
        }
    }

    /// Serves until the next crash, which closes the port and all connections.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let mut crashed = self.crashes.subscribe();
        crashed.mark_unchanged();
        let mut connections = task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _from) = accepted.unwrap();
                    connections.spawn(self.clone().serve(stream));
                }
                _changed = crashed.changed() => {
                    if self.style.listener_delay.is_zero() {
                        drop(listener);
                        connections.shutdown().await;
                    } else {
                        connections.shutdown().await;
                        tokio::time::sleep(self.style.listener_delay).await;
                    }
                    return;
                }
            }
        }
    }

    async fn rebind(&self) -> TcpListener {
        let address: net::SocketAddr = self.entry.address;
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(_in_use) => tokio::time::sleep(time::Duration::from_millis(20)).await,
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(request) = scripted_target::read_request(&mut stream).await {
            if scripted_target::is_life_request(&request) {
                if scripted_target::give_life_sign(&mut stream).await.is_none() {
                    return;
                }
                continue;
            }
            let arrival = (time::Instant::now(), request.clone());
            self.requests.lock().unwrap().push(arrival);
            if request.contains(CRASH_MARKER) || request.contains(CRASH_PART) {
                let attempt = scripted_target::header(&request, "x-attempt").unwrap_or_default();
                if self.style.answers_odd && is_odd(&attempt) {
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\ncontent-length: 2\r\n\
                         content-type: text/event-stream\r\n\r\n\n\n"
                    );
                    stream.write_all(text.as_bytes()).await.unwrap();
                    tokio::time::sleep(LATE_CRASH_DELAY).await;
                }
                if self.style.sends_event {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\n\
                         content-type: text/event-stream\r\n\r\nid: 1\ndata: part 1\n\n"
                    );
                    stream.write_all(head.as_bytes()).await.unwrap();
                }
                self.crash();
                // The crash ends this task.
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(RUN_TIME).await;
            let sent = atomic::AtomicUsize::default();
            if scripted_target::answer_request(
                &mut stream,
                &self.script,
                &request,
                "",
                &sent,
                &scripted_target::Silence::default(),
            )
            .await
            .is_none()
            {
                if request.contains(CRASH_AFTER_MARKER) {
                    self.crash();
                    // The crash ends this task.
                    std::future::pending::<()>().await;
                }
                return;
            }
        }
    }
}

/// Returns whether the attempt's id ends with an odd digit.
fn is_odd(attempt: &str) -> bool {
    let last = attempt
        .chars()
        .next_back()
        .and_then(|last| last.to_digit(10));
    last.is_some_and(|digit| digit % 2 == 1)
}
