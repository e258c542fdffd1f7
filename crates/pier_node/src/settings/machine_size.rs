//! What the machine gives a node.

use pier_types::sizes;
use procfs::{Current as _, process};

/// Memory that is assumed when the system does not tell, in bytes.
const ASSUMED_MEMORY_BYTES: u64 = 256 << 20;

/// Open files that are assumed when the system does not tell.
const ASSUMED_DESCRIPTORS: u64 = 1_024;

/// What the machine gives a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineSize {
    /// Its memory.
    pub memory: sizes::ByteSize,
    /// Files that the process may have open.
    pub descriptors: u64,
}

impl MachineSize {
    /// Reads the size of this machine; assumes a small one where it cannot be read.
    pub fn load() -> Self {
        let memory = procfs::Meminfo::current().map(|memory| memory.mem_total);
        let limits = process::Process::myself().and_then(|process| process.limits());
        let descriptors = limits.map(|limits| match limits.max_open_files.soft_limit {
            process::LimitValue::Value(files) => files,
            process::LimitValue::Unlimited => u64::MAX,
        });
        Self {
            memory: sizes::ByteSize::new(memory.unwrap_or(ASSUMED_MEMORY_BYTES)),
            descriptors: descriptors.unwrap_or(ASSUMED_DESCRIPTORS),
        }
    }
}
