//! A caller that writes and reads raw HTTP/1.1.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// An answer as it was received.
#[derive(Debug)]
pub struct RawAnswer {
    pub head: String,
    pub body: String,
    /// Whether the body was complete.
    pub is_complete: bool,
}

impl RawAnswer {
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(key, _value)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_key, value)| value.to_owned())
    }
}

/// A connection of a caller.
pub struct RawCaller {
    stream: TcpStream,
    read: Vec<u8>,
}

impl From<TcpStream> for RawCaller {
    fn from(stream: TcpStream) -> Self {
        Self {
            stream,
            read: Vec::new(),
        }
    }
}

impl RawCaller {
    pub async fn connect(address: net::SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            read: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads one answer; of a truncated body, returns what was received.
    pub async fn answer(&mut self) -> RawAnswer {
        let limit = time::Duration::from_secs(15);
        tokio::time::timeout(limit, self.read_answer())
            .await
            .expect("no answer in 15 s")
    }

    /// Reads the head of one answer.
    pub async fn head(&mut self) -> String {
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((head, _rest)) = text.split_once("\r\n\r\n") {
                let head = head.to_owned();
                self.read.drain(..head.len() + 4);
                return head;
            }
            assert!(self.more().await, "the connection ended before an answer");
        }
    }

    async fn read_answer(&mut self) -> RawAnswer {
        let head = self.head().await;
        let mut answer = RawAnswer {
            head,
            body: String::new(),
            is_complete: false,
        };
        // Such an answer has no body, and nothing that marks its end.
        if answer.status() == 204 {
            answer.is_complete = true;
            return answer;
        }
        if let Some(length) = answer.header("content-length") {
            let length: usize = length.parse().unwrap();
            while self.read.len() < length && self.more().await {}
            answer.is_complete = self.read.len() >= length;
            let taken: Vec<_> = self.read.drain(..length.min(self.read.len())).collect();
            answer.body = String::from_utf8(taken).unwrap();
            return answer;
        }
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((size, rest)) = text.split_once("\r\n") {
                let size = usize::from_str_radix(size, 16).unwrap();
                if rest.len() >= size + 2 {
                    let start = text.len() - rest.len();
                    answer.body.push_str(&rest[..size]);
                    self.read.drain(..start + size + 2);
                    if size == 0 {
                        answer.is_complete = true;
                        return answer;
                    }
                    continue;
                }
            }
            if !self.more().await {
                return answer;
            }
        }
    }

    async fn more(&mut self) -> bool {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece).await {
            Ok(length) if length > 0 => {
                self.read.extend_from_slice(&piece[..length]);
                true
            }
            _ => false,
        }
    }
}
