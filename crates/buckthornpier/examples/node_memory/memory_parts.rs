//! The parts of a process's resident memory.

use std::{fmt, fs};

use anyhow::Context as _;

/// The columns.
pub const HEADING: &str =
    " vms  resident_kB  program_kB  libraries_kB  stacks_kB  other_kB  tasks  stack_maps";

/// Size of a thread's stack as the standard library and the runtime ask for it, in kilobytes.
const STACK_KB: u64 = 2_048;

/// Size above that by which a stack's mapping may be larger, in kilobytes.
const STACK_MARGIN_KB: u64 = 16;

/// Resident memory by what it holds, in kilobytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemoryParts {
    program: u64,
    libraries: u64,
    stacks: u64,
    stack_maps: u64,
    other: u64,
    tasks: usize,
}

/// One mapping of the process.
#[derive(Debug, Default)]
struct MemoryMap {
    path: String,
    size: u64,
    resident: u64,
}

impl MemoryParts {
    /// Reads what the system says of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone or the system does not tell.
    pub fn read(process: u32) -> anyhow::Result<Self> {
        let text = fs::read_to_string(format!("/proc/{process}/smaps"))?;
        let mut parts = Self::default();
        for map in read_maps(&text)? {
            parts.add(&map);
        }
        parts.tasks = fs::read_dir(format!("/proc/{process}/task"))?.count();
        Ok(parts)
    }

    fn add(&mut self, map: &MemoryMap) {
        let is_stack = (STACK_KB..=STACK_KB + STACK_MARGIN_KB).contains(&map.size);
        if map.path.ends_with("/buckthornpier") {
            self.program += map.resident;
        } else if map.path.starts_with('/') {
            self.libraries += map.resident;
        } else if map.path == "[stack]" || (map.path.is_empty() && is_stack) {
            self.stacks += map.resident;
            self.stack_maps += 1;
        } else {
            self.other += map.resident;
        }
    }
}

impl fmt::Display for MemoryParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let resident = self.program + self.libraries + self.stacks + self.other;
        write!(
            f,
            "{resident:>12} {:>11} {:>13} {:>10} {:>9} {:>6} {:>11}",
            self.program, self.libraries, self.stacks, self.other, self.tasks, self.stack_maps
        )
    }
}

/// Reads the mappings: a line of addresses and path, then lines of figures.
fn read_maps(text: &str) -> anyhow::Result<Vec<MemoryMap>> {
    let mut maps = Vec::<MemoryMap>::new();
    for line in text.lines() {
        let mut fields = line.split_whitespace();
        let name = fields.next().context("an empty line")?;
        if !name.ends_with(':') {
            let path = fields.nth(4).unwrap_or_default().to_owned();
            maps.push(MemoryMap {
                path,
                ..MemoryMap::default()
            });
            continue;
        }
        let map = maps.last_mut().context("figures of no mapping")?;
        let mut parse_value = || {
            fields
                .next()
                .context("no figure")?
                .parse()
                .context("no number")
        };
        match name {
            "Size:" => map.size = parse_value()?,
            "Rss:" => map.resident = parse_value()?,
            _ => {}
        }
    }
    Ok(maps)
}
