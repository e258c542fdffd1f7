//! The parts of a process's resident memory.

use std::{fmt, fs};

use anyhow::Context as _;

/// Headings of the columns that [`MemoryParts`] displays, after the number of VMs.
pub const HEADING: &str =
    " vms  resident_kB  program_kB  libraries_kB  stacks_kB  other_kB  tasks  stack_maps";

/// Stack size that the standard library and the runtime request for a thread, in kilobytes.
const STACK_KB: u64 = 2_048;

/// Amount by which the mapping of a stack may be larger than that, in kilobytes.
const STACK_MARGIN_KB: u64 = 16;

/// Resident memory in kilobytes, by what it is used for.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemoryParts {
    program: u64,
    libraries: u64,
    stacks: u64,
    stack_maps: u64,
    other: u64,
    tasks: usize,
}

/// A memory mapping of the process; sizes in kilobytes.
#[derive(Debug, Default)]
struct MemoryMap {
    path: String,
    size: u64,
    resident: u64,
}

impl MemoryParts {
    /// Reads the memory mappings of a process from `/proc`.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended or its mappings cannot be read.
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

/// Parses `smaps`: for each mapping a line with addresses and path, then `Name: value` lines.
fn read_maps(text: &str) -> anyhow::Result<Vec<MemoryMap>> {
    let mut maps = Vec::<MemoryMap>::new();
    for line in text.lines() {
        let mut fields = line.split_whitespace();
        let name = fields.next().context("empty line in smaps")?;
        if !name.ends_with(':') {
            let path = fields.nth(4).unwrap_or_default().to_owned();
            maps.push(MemoryMap {
                path,
                ..MemoryMap::default()
            });
            continue;
        }
        let map = maps
            .last_mut()
            .context("smaps begins with a value instead of a mapping")?;
        let mut parse_value = || {
            fields
                .next()
                .context("a name without a value in smaps")?
                .parse()
                .context("a value in smaps is not a number")
        };
        match name {
            "Size:" => map.size = parse_value()?,
            "Rss:" => map.resident = parse_value()?,
            _ => {}
        }
    }
    Ok(maps)
}
