//! A target that answers by a script and records the requests that it received.

use std::{
    net,
    sync::{Arc, Mutex, atomic},
    time,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Least number of bytes that are written at once of an answer without end.
const ENDLESS_WRITE_BYTES: usize = 65_536;

/// How a target answers each request.
#[derive(Clone, Debug)]
pub enum Script {
    /// A complete answer with this body.
    Whole(&'static str),
    /// A complete answer with this body, followed by the bytes of another one.
    WholeAndExtra(&'static str),
    /// An answer that ends before its stated length.
    Truncated,
    /// An answer with these header lines and this body, after which the connection ends.
    UntilClose { headers: &'static str, body: String },
    /// The beginning of an answer with these header lines, without its end.
    Stalled { headers: &'static str, body: String },
    /// An answer that begins with this text and goes on with this piece, again and again, until
    /// the connection is closed.
    Endless {
        start: &'static str,
        piece: &'static str,
    },
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and never answers.
    Silent,
    /// States that it has not run the request.
    NotRun,
    /// A complete answer of its own that states a failure.
    Failure,
    /// A complete answer with this status line, these header lines and this body.
    Answer {
        status: &'static str,
        headers: &'static str,
        body: &'static str,
    },
    /// The head of a stream and this many events, after which it is silent and then closes the
    /// connection.
    Breaks { events: u32, silent_ms: u64 },
    /// Many events that a caller may leave unread.
    Long(LongStream),
    /// Numbered events up to the last one, with a pause between them. Starts after the event that
    /// the request names.
    Events {
        last: u32,
        pause_ms: u64,
        /// Closes the connection in the middle of this event.
        cut_in: Option<u32>,
        /// Stays silent from this event on.
        silent_from: Option<u32>,
    },
}

/// Numbered events of one size up to the last one. The target closes the connection when it can send
/// nothing for a while, and also after the last event unless chunks mark the end.
#[derive(Clone, Copy, Debug)]
pub struct LongStream {
    pub headers: &'static str,
    pub last: u32,
    pub event_bytes: usize,
    pub patience: time::Duration,
}

impl LongStream {
    /// Writes the events after the one that the request names.
    async fn write(self, stream: &mut TcpStream, head: &str, after: u32) -> Option<()> {
        let text = format!("{head}{}\r\n", self.headers);
        stream.write_all(text.as_bytes()).await.ok()?;
        let size = self.event_bytes;
        let is_chunked = self.headers.contains("chunked");
        for id in after + 1..=self.last {
            let mut part = format!("id: {id}\ndata: ");
            part.extend(std::iter::repeat_n('a', size - 2 - part.len()));
            part.push_str("\n\n");
            if is_chunked {
                part = format!("{size:x}\r\n{part}\r\n");
            }
            let writing = stream.write_all(part.as_bytes());
            tokio::time::timeout(self.patience, writing)
                .await
                .ok()?
                .ok()?;
        }
        if is_chunked {
            return stream.write_all(b"0\r\n\r\n").await.ok();
        }
        None
    }
}

/// A target on its own port.
#[derive(Clone, Debug)]
pub struct ScriptedTarget {
    pub address: net::SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    /// Bytes written of answers without end.
    sent: Arc<atomic::AtomicUsize>,
    accepted: Arc<Mutex<u32>>,
    closed: Arc<Mutex<u32>>,
    headers: Arc<Mutex<String>>,
    silent_until: Arc<Mutex<Option<time::Instant>>>,
    is_cut: Arc<watch::Sender<bool>>,
}

impl ScriptedTarget {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            sent: Arc::default(),
            accepted: Arc::default(),
            closed: Arc::default(),
            headers: Arc::default(),
            silent_until: Arc::default(),
            is_cut: Arc::default(),
        };
        let serving = target.clone();
        tokio::spawn(async move {
            let mut cut = serving.is_cut.subscribe();
            let mut listener = listener;
            loop {
                let (stream, _from) = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap(),
                    () = wait_for_link(&mut cut, true) => {
                        drop(listener);
                        wait_for_link(&mut cut, false).await;
                        listener = TcpListener::bind(serving.address).await.unwrap();
                        continue;
                    }
                };
                *serving.accepted.lock().unwrap() += 1;
                let (target, script) = (serving.clone(), script.clone());
                let mut cut = serving.is_cut.subscribe();
                tokio::spawn(async move {
                    tokio::select! {
                        () = target.serve(stream, script) => {}
                        () = wait_for_link(&mut cut, true) => {}
                    }
                    *target.closed.lock().unwrap() += 1;
                });
            }
        });
        target
    }

    /// Returns the head and body of every request as text.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns how many bytes of answers without end were written.
    pub fn sent(&self) -> usize {
        self.sent.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many connections were accepted.
    pub fn accepted(&self) -> u32 {
        *self.accepted.lock().unwrap()
    }

    /// Returns how many connections have ended.
    pub fn closed(&self) -> u32 {
        *self.closed.lock().unwrap()
    }

    /// States in the head of each answer from now on that the target leaves, and nowhere else.
    pub fn leave(&self) {
        self.set_headers("x-leaving: 1\r\n");
    }

    /// Closes all connections and refuses others, as a link does that is cut, or restores the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Sends nothing for a while and then goes on, as a process does that was not scheduled.
    pub fn fall_silent(&self, duration: time::Duration) {
        let end = time::Instant::now() + duration;
        *self.silent_until.lock().unwrap() = Some(end);
    }

    /// Sets header lines that each answer has from now on.
    pub fn set_headers(&self, lines: &str) {
        lines.clone_into(&mut self.headers.lock().unwrap());
    }

    async fn serve(&self, mut stream: TcpStream, script: Script) {
        while let Some(request) = read_request(&mut stream).await {
            if is_life_request(&request) {
                Silence(Arc::clone(&self.silent_until)).wait().await;
                if give_life_sign(&mut stream).await.is_none() {
                    return;
                }
                continue;
            }
            self.requests.lock().unwrap().push(request.clone());
            let headers = self.headers.lock().unwrap().clone();
            let silence = Silence(Arc::clone(&self.silent_until));
            if answer_request(
                &mut stream,
                &script,
                &request,
                &headers,
                &self.sent,
                &silence,
            )
            .await
            .is_none()
            {
                return;
            }
        }
    }
}

/// Until when a target sends nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence(Arc<Mutex<Option<time::Instant>>>);

impl Silence {
    /// Waits until the silence is over, also one that began meanwhile.
    async fn wait(&self) {
        loop {
            let end = *self.0.lock().unwrap();
            match end {
                Some(end) if end > time::Instant::now() => {
                    tokio::time::sleep_until(end.into()).await;
                }
                _ => return,
            }
        }
    }
}

/// Answers one request by a script with these header lines, and counts the bytes of an answer without end; returns `None`
/// when the connection has to be closed.
pub(super) async fn answer_request(
    stream: &mut TcpStream,
    script: &Script,
    request: &str,
    headers: &str,
    sent: &atomic::AtomicUsize,
    silence: &Silence,
) -> Option<()> {
    silence.wait().await;
    let attempt = header(request, "x-attempt").unwrap_or_default();
    let after = header(request, "x-after")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!("HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\n{headers}");
    match script {
        Script::Whole(body) => write_answer(stream, "200 OK", &attempt, headers, body).await,
        Script::WholeAndExtra(body) => {
            let extra = "HTTP/1.1 200 OK\r\nx-attempt: other\r\ncontent-length: 5\r\n\r\nextra";
            let text = format!("{head}content-length: {}\r\n\r\n{body}{extra}", body.len());
            stream.write_all(text.as_bytes()).await.ok()
        }
        Script::Truncated => {
            let text = format!("{head}content-length: 100\r\n\r\nonly this");
            stream.write_all(text.as_bytes()).await.ok()?;
            None
        }
        Script::UntilClose { headers, body } => {
            let text = format!("{head}{headers}\r\n{body}");
            stream.write_all(text.as_bytes()).await.ok()?;
            None
        }
        Script::Endless { start, piece } => {
            let text = start.replace("{attempt}", &attempt);
            stream.write_all(text.as_bytes()).await.ok()?;
            write_endlessly(stream, piece, sent).await
        }
        Script::Close => None,
        Script::Silent => stay_silent(stream).await,
        Script::Stalled { headers, body } => {
            let text = format!("{head}{headers}\r\n{body}");
            stream.write_all(text.as_bytes()).await.ok()?;
            stay_silent(stream).await
        }
        Script::NotRun => {
            let headers = format!("{headers}x-not-run: 1\r\n");
            write_answer(stream, "503 Busy", &attempt, &headers, "").await
        }
        Script::Answer {
            status,
            headers: own_headers,
            body,
        } => {
            let headers = format!("{headers}{own_headers}");
            write_answer(stream, status, &attempt, &headers, body).await
        }
        Script::Failure => write_answer(stream, "500 Failed", &attempt, headers, "").await,
        Script::Breaks { events, silent_ms } => {
            let text = format!(
                "{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await.ok()?;
            for id in after + 1..=*events {
                let event = format!("id: {id}\ndata: part {id}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await.ok()?;
            }
            tokio::time::sleep(time::Duration::from_millis(*silent_ms)).await;
            None
        }
        Script::Long(stream_script) => stream_script.write(stream, &head, after).await,
        Script::Events {
            last,
            pause_ms,
            cut_in,
            silent_from,
        } => {
            let text = format!(
                "{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await.ok()?;
            for id in after + 1..=*last {
                silence.wait().await;
                if *silent_from == Some(id) {
                    return stay_silent(stream).await;
                }
                let event = format!("id: {id}\ndata: part {id}\n\n");
                if *cut_in == Some(id) {
                    let half = &event[..event.len() / 2];
                    let chunk = format!("{:x}\r\n{half}\r\n", half.len());
                    stream.write_all(chunk.as_bytes()).await.ok()?;
                    return None;
                }
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await.ok()?;
                tokio::time::sleep(time::Duration::from_millis(*pause_ms)).await;
            }
            silence.wait().await;
            stream.write_all(b"0\r\n\r\n").await.ok()
        }
    }
}

/// Writes a piece again and again until the connection is closed.
async fn write_endlessly(
    stream: &mut TcpStream,
    piece: &str,
    sent: &atomic::AtomicUsize,
) -> Option<()> {
    let pieces = piece.repeat(ENDLESS_WRITE_BYTES / piece.len() + 1);
    while stream.write_all(pieces.as_bytes()).await.is_ok() {
        sent.fetch_add(pieces.len(), atomic::Ordering::Relaxed);
    }
    None
}

/// Writes a complete answer.
async fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    attempt: &str,
    headers: &str,
    body: &str,
) -> Option<()> {
    let text = format!(
        "HTTP/1.1 {status}\r\nx-attempt: {attempt}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.ok()
}

/// Returns whether a request asks for a sign of life; such requests aren't recorded.
pub(super) fn is_life_request(request: &str) -> bool {
    request.starts_with("GET /alive ")
}

/// Gives a sign of life.
pub(super) async fn give_life_sign(stream: &mut TcpStream) -> Option<()> {
    write_answer(stream, "200 OK", "", "x-alive: 1\r\n", "").await
}

/// Waits until the link is cut, or restored.
async fn wait_for_link(cut: &mut watch::Receiver<bool>, is_cut: bool) {
    drop(cut.wait_for(|now_cut| *now_cut == is_cut).await);
}

/// Waits until the node closes the connection.
async fn stay_silent(stream: &mut TcpStream) -> Option<()> {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.ok()? > 0 {}
    None
}

pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|length| length.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let length = stream.read(&mut piece).await.ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..length]);
    }
}

/// Returns the value of a header.
pub fn header(request: &str, name: &str) -> Option<String> {
    let lines = request.lines();
    let mut values = lines.filter_map(|line| line.split_once(": "));
    let found = values.find(|(key, _value)| key.eq_ignore_ascii_case(name));
    found.map(|(_key, value)| value.trim().to_owned())
}
