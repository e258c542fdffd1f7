//! The log lines of one request and the events of the targets that it was sent to.

use std::{collections, fmt, io};

use crate::explain;

/// Events of a target that may explain why a request there got no answer.
const TARGET_EVENTS: [&str; 6] = [
    "target-stuck",
    "target-leaving",
    "target-gone",
    "member-lost",
    "group-order",
    "target-registered",
];

/// Lines shown for each target at most.
const MAX_TARGET_LINES: usize = 40;

/// Collects the log lines that concern one request.
#[derive(Debug)]
pub(crate) struct AttemptReport {
    attempt: String,
    attempt_lines: Vec<explain::LogLine>,
    target_lines: Vec<explain::LogLine>,
    skipped: u64,
    line_count: u64,
}

impl AttemptReport {
    pub(crate) fn new(attempt: &str) -> Self {
        Self {
            attempt: attempt.to_owned(),
            attempt_lines: Vec::new(),
            target_lines: Vec::new(),
            skipped: 0,
            line_count: 0,
        }
    }

    /// Reads the log of one node.
    ///
    /// # Errors
    ///
    /// Fails when reading the log fails.
    pub(crate) fn read(&mut self, node: &str, mut log: impl io::BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&bytes);
            let text = text.trim_end();
            if !text.is_empty() {
                self.line_count += 1;
                self.add_line(explain::LogLine::parse(node, text));
            }
        }
    }

    fn add_line(&mut self, line: Option<explain::LogLine>) {
        let Some(line) = line else {
            self.skipped += 1;
            return;
        };
        if line.value("attempt") == Some(&self.attempt) {
            self.attempt_lines.push(line);
        } else if TARGET_EVENTS.contains(&line.event.as_str()) {
            self.target_lines.push(line);
        }
    }

    /// Returns whether any line names the request.
    pub(crate) fn is_found(&self) -> bool {
        !self.attempt_lines.is_empty()
    }

    fn target_names(&self) -> collections::BTreeSet<&str> {
        let names = self
            .attempt_lines
            .iter()
            .filter_map(|line| line.value("target_vm"));
        names.collect()
    }
}

impl fmt::Display for AttemptReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut attempt_lines: Vec<_> = self.attempt_lines.iter().collect();
        attempt_lines.sort_by_key(|line| &line.time);
        writeln!(f, "request {}", self.attempt)?;
        for line in &attempt_lines {
            write_line(f, line, "attempt")?;
        }
        writeln!(f, "=> {}", outcome(&attempt_lines))?;
        for target in self.target_names() {
            let lines = self.target_lines.iter();
            let lines = lines.filter(|line| line.value("target_vm") == Some(target));
            let mut lines: Vec<_> = lines.collect();
            lines.sort_by_key(|line| &line.time);
            writeln!(f, "target {target}: {} events", lines.len())?;
            for line in lines.iter().take(MAX_TARGET_LINES) {
                write_line(f, line, "target_vm")?;
            }
            if lines.len() > MAX_TARGET_LINES {
                writeln!(f, "  and {} later ones", lines.len() - MAX_TARGET_LINES)?;
            }
        }
        let (line_count, skipped) = (self.line_count, self.skipped);
        writeln!(
            f,
            "{line_count} lines read, {skipped} of them not understood"
        )
    }
}

/// Writes a line without the pair that is the same in all lines of its block.
fn write_line(
    f: &mut fmt::Formatter<'_>,
    line: &explain::LogLine,
    omitted_key: &str,
) -> fmt::Result {
    write!(f, "  {} {} {}", line.time, line.node, line.event)?;
    for (key, value) in line.pairs.iter().filter(|(key, _value)| key != omitted_key) {
        if value.is_empty() || value.contains([' ', '"']) {
            write!(f, " {key}={value:?}")?;
        } else {
            write!(f, " {key}={value}")?;
        }
    }
    writeln!(f)
}

/// Describes how the request ended, by the last line that reports an end.
fn outcome(attempt_lines: &[&explain::LogLine]) -> String {
    let ending = attempt_lines
        .iter()
        .rev()
        .find_map(|line| match line.event.as_str() {
            "stream-ended" => Some(format!(
                "the stream ended: {}, {} events, resumed {} times",
                line.value("outcome").unwrap_or("?"),
                line.value("events").unwrap_or("?"),
                line.value("resumed").unwrap_or("?")
            )),
            "request-refused" => Some(format!(
                "the node answered by itself: {}, status {}",
                line.value("cause").unwrap_or("?"),
                line.value("status").unwrap_or("?")
            )),
            "request-answered" => Some(format!(
                "a target's answer was passed on: status {}",
                line.value("status").unwrap_or("?")
            )),
            _ => None,
        });
    ending.unwrap_or_else(|| "no line tells how it ended".to_owned())
}
