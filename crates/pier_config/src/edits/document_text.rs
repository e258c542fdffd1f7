//! Line-based editing of a document's text.

use std::fmt;

/// A document's text, in which single entries can be set and removed without touching other lines.
///
/// ```
/// use pier_config::edits;
///
/// let mut text = edits::DocumentText::new("# ours\n[limits]\nfreshness-ms = 900\n");
/// text.set("limits", "freshness-ms", "800");
/// assert_eq!(text.to_string(), "# ours\n[limits]\nfreshness-ms = 800\n");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentText {
    lines: Vec<String>,
}

impl DocumentText {
    /// Splits a text into lines.
    pub fn new(text: &str) -> Self {
        Self {
            lines: text.lines().map(str::to_owned).collect(),
        }
    }

    /// Replaces an entry, or adds it at the end of its section; adds the section if it is missing.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        let line = format!("{key} = {value}");
        let Some((start, end)) = self.section_bounds(section) else {
            self.append_section(section, line);
            return;
        };
        if let Some(index) = self.find_key(start, end, key) {
            self.lines[index] = line;
            return;
        }
        let used = (start..end).rev().find(|index| !self.is_blank(*index));
        self.lines.insert(used.unwrap_or(start) + 1, line);
    }

    /// Removes an entry; returns whether it existed.
    pub fn remove(&mut self, section: &str, key: &str) -> bool {
        let bounds = self.section_bounds(section);
        let found = bounds.and_then(|(start, end)| self.find_key(start, end, key));
        if let Some(index) = found {
            self.lines.remove(index);
        }
        found.is_some()
    }

    fn append_section(&mut self, section: &str, line: String) {
        if !self.lines.is_empty() {
            self.lines.push(String::new());
        }
        self.lines.push(format!("[{section}]"));
        self.lines.push(line);
    }

    /// Returns the index of a section's heading line and the index after its last line.
    fn section_bounds(&self, section: &str) -> Option<(usize, usize)> {
        let headings = self.lines.iter().enumerate();
        let headings = headings.filter_map(|(index, line)| Some((index, heading_of(line)?)));
        let mut later = headings.skip_while(|(_index, heading)| heading != section);
        let (start, _heading) = later.next()?;
        let end = later.next().map_or(self.lines.len(), |(index, _)| index);
        Some((start, end))
    }

    fn find_key(&self, start: usize, end: usize, key: &str) -> Option<usize> {
        (start..end).find(|index| key_of(&self.lines[*index]) == Some(key))
    }

    fn is_blank(&self, index: usize) -> bool {
        self.lines[index].trim().is_empty()
    }
}

impl fmt::Display for DocumentText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}

/// Returns the heading on a line, with whitespace normalized as the parser does.
fn heading_of(line: &str) -> Option<String> {
    let inner = line.trim().strip_prefix('[')?;
    let (inner, _rest) = inner.split_once(']')?;
    let inner = inner.trim();
    let (kind, name) = inner.split_once(' ').unwrap_or((inner, ""));
    Some(format!("{kind} {}", name.trim()).trim().to_owned())
}

fn key_of(line: &str) -> Option<&str> {
    let line = line.trim();
    if line.starts_with(['#', ';', '[']) {
        return None;
    }
    let (key, _value) = line.split_once(['=', ':'])?;
    Some(key.trim())
}
