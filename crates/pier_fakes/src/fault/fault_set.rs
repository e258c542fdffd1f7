//! The active faults.

use std::sync;

use crate::{fault, serve};

/// Faults that apply to later calls; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct FaultSet {
    specs: sync::Arc<sync::Mutex<Vec<fault::FaultSpec>>>,
}

impl FaultSet {
    /// Adds a fault.
    pub(crate) fn add(&self, spec: fault::FaultSpec) {
        serve::lock(&self.specs).push(spec);
    }

    /// Removes every fault.
    pub(crate) fn clear(&self) {
        serve::lock(&self.specs).clear();
    }

    /// Returns the first wanted fault that applies to a call, and decrements its count.
    pub(crate) fn take(
        &self,
        request: &serve::FakeRequest,
        wanted: impl Fn(&fault::FaultKind) -> bool,
    ) -> Option<fault::FaultKind> {
        let mut specs = serve::lock(&self.specs);
        let applies = |spec: &fault::FaultSpec| {
            spec.count != Some(0) && spec.matches(&request.method, &request.path)
        };
        let spec = specs
            .iter_mut()
            .find(|spec| applies(spec) && wanted(&spec.kind))?;
        if let Some(count) = &mut spec.count {
            *count -= 1;
        }
        Some(spec.kind.clone())
    }
}
