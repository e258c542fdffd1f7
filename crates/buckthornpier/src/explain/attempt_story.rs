//! The lines of one request, and those of the targets that it went to.

use std::{collections, fmt, io};

use crate::explain;

/// Events of a target that tell why a request there had no answer.
const TARGET_EVENTS: [&str; 6] = [
    "target-stuck",
    "target-leaving",
    "target-gone",
    "member-lost",
    "group-order",
    "target-registered",
];

/// Most lines shown of each target.
const TARGET_LINES: usize = 40;

/// Collects what logs say of one request.
#[derive(Debug)]
pub(crate) struct AttemptStory {
    attempt: String,
    own: Vec<explain::LogLine>,
    targets: Vec<explain::LogLine>,
    unreadable: u64,
    lines: u64,
}

impl AttemptStory {
    pub(crate) fn new(attempt: &str) -> Self {
        Self {
            attempt: attempt.to_owned(),
            own: Vec::new(),
            targets: Vec::new(),
            unreadable: 0,
            lines: 0,
        }
    }

    /// Takes in the log of one node.
    ///
    /// # Errors
    ///
    /// Fails when the log can not be read on.
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
                self.lines += 1;
                self.take(explain::LogLine::parse(node, text));
            }
        }
    }

    fn take(&mut self, line: Option<explain::LogLine>) {
        let Some(line) = line else {
            self.unreadable += 1;
            return;
        };
        if line.value("attempt") == Some(&self.attempt) {
            self.own.push(line);
        } else if TARGET_EVENTS.contains(&line.event.as_str()) {
            self.targets.push(line);
        }
    }

    /// Tells whether any line names the request.
    pub(crate) fn is_found(&self) -> bool {
        !self.own.is_empty()
    }

    fn target_names(&self) -> collections::BTreeSet<&str> {
        let names = self.own.iter().filter_map(|line| line.value("target_vm"));
        names.collect()
    }
}

impl fmt::Display for AttemptStory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut own: Vec<_> = self.own.iter().collect();
        own.sort_by_key(|line| &line.time);
        writeln!(f, "request {}", self.attempt)?;
        for line in &own {
            write_line(f, line, "attempt")?;
        }
        writeln!(f, "=> {}", outcome(&own))?;
        for target in self.target_names() {
            let lines = self.targets.iter();
            let lines = lines.filter(|line| line.value("target_vm") == Some(target));
            let mut lines: Vec<_> = lines.collect();
            lines.sort_by_key(|line| &line.time);
            writeln!(f, "target {target}: {} events", lines.len())?;
            for line in lines.iter().take(TARGET_LINES) {
                write_line(f, line, "target_vm")?;
            }
            if lines.len() > TARGET_LINES {
                writeln!(f, "  and {} later ones", lines.len() - TARGET_LINES)?;
            }
        }
        let (lines, unreadable) = (self.lines, self.unreadable);
        writeln!(f, "{lines} lines read, {unreadable} of them not understood")
    }
}

/// Writes a line without the pair that all of its block have.
fn write_line(f: &mut fmt::Formatter<'_>, line: &explain::LogLine, left_out: &str) -> fmt::Result {
    write!(f, "  {} {} {}", line.time, line.node, line.event)?;
    for (key, value) in line.pairs.iter().filter(|(key, _value)| key != left_out) {
        if value.is_empty() || value.contains([' ', '"']) {
            write!(f, " {key}={value:?}")?;
        } else {
            write!(f, " {key}={value}")?;
        }
    }
    writeln!(f)
}

/// Returns the last word of the request's node on how it ended.
fn outcome(own: &[&explain::LogLine]) -> String {
    let end = own.iter().rev().find_map(|line| match line.event.as_str() {
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
    end.unwrap_or_else(|| "no line tells how it ended".to_owned())
}
