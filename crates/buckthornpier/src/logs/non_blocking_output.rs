//! Log output that never blocks its writer.

use std::{io, time};

use rustix::fs;

/// Lines written per second at most; lines beyond that are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 600;

/// Writes log lines to standard output and drops those that it does not accept at once.
///
/// The number of dropped lines is logged before the next line that is written.
#[derive(Debug)]
pub(crate) struct NonBlockingOutput {
    second: u64,
    lines_in_second: u32,
    dropped: u64,
    /// The current line so far; the logging library writes a line in several pieces.
    line: Vec<u8>,
    started: time::Instant,
}

impl NonBlockingOutput {
    /// Makes standard output non-blocking.
    ///
    /// # Errors
    ///
    /// Fails when the flags of standard output cannot be read or set.
    pub(crate) fn open() -> io::Result<Self> {
        let stdout = io::stdout();
        let flags = fs::fcntl_getfl(&stdout)?;
        fs::fcntl_setfl(&stdout, flags | fs::OFlags::NONBLOCK)?;
        Ok(Self {
            second: 0,
            lines_in_second: 0,
            dropped: 0,
            line: Vec::new(),
            started: time::Instant::now(),
        })
    }

    /// Counts a line and returns whether it is over this second's limit.
    fn exceeds_rate_limit(&mut self) -> bool {
        let second = self.started.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        self.lines_in_second > MAX_LINES_PER_SECOND
    }

    /// Writes the completed line, unless it is over the rate limit.
    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.exceeds_rate_limit() {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let notice = format!("event=log-lines-lost count={}\n", self.dropped);
            if Self::write_all_at_once(notice.as_bytes()) {
                self.dropped = 0;
            }
        }
        if !Self::write_all_at_once(&line) {
            self.dropped += 1;
        }
    }

    fn write_all_at_once(bytes: &[u8]) -> bool {
        matches!(rustix::io::write(io::stdout(), bytes), Ok(written) if written == bytes.len())
    }
}

impl io::Write for NonBlockingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.end_line();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
