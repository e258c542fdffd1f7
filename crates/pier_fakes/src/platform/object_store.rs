//! Versioned objects with conditional writes.

use std::{collections, time};

use bytes::Bytes;
use pier_types::{epochs, times};

/// Latest states of an object that are kept, so that lagging reads can see earlier ones.
const MAX_OBJECT_STATES: usize = 16;

/// One object, or the tombstone of a deleted one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Increases with each write and each deletion.
    pub version: epochs::ObjectVersion,
    /// The value; `None` after a deletion.
    pub value: Option<Bytes>,
}

/// A store of objects; a key never reuses a version, even after a deletion.
///
/// ```
/// use pier_fakes::platform;
/// use pier_types::{epochs, times};
///
/// let mut store = platform::ObjectStore::default();
/// let (absent, now) = (epochs::ObjectVersion::new(0), times::BootTime::from_millis(1));
/// let first = epochs::ObjectVersion::new(1);
/// assert_eq!(store.put("lease/mvd-a", absent, "a".into(), now), Ok(first));
/// assert_eq!(store.put("lease/mvd-a", absent, "b".into(), now), Err(first));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    /// Age of the state that readers see.
    pub read_lag: time::Duration,
    objects: collections::BTreeMap<String, collections::VecDeque<(times::BootTime, StoredObject)>>,
}

impl ObjectStore {
    /// Returns the current state of an object, also of a deleted one.
    pub fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)?.back().map(|(_at, object)| object)
    }

    /// Returns the state of an object that readers see at `now`, given the read lag.
    pub fn read(&self, key: &str, now: times::BootTime) -> Option<&StoredObject> {
        let mut states = self.objects.get(key)?.iter().rev();
        let seen = states.find(|(written_at, _object)| now.since(*written_at) >= self.read_lag);
        seen.map(|(_written_at, object)| object)
    }

    /// Returns the version against which a conditional write is checked; 0 for an absent object.
    pub fn current_version(&self, key: &str) -> epochs::ObjectVersion {
        match self.get(key) {
            Some(object) if object.value.is_some() => object.version,
            _ => epochs::ObjectVersion::new(0),
        }
    }

    /// Writes a value if the current version is the expected one; returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the current version if it differs; nothing changes.
    pub fn put(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
        value: Bytes,
        now: times::BootTime,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        self.write(key, expected, Some(value), now)
    }

    /// Deletes an object if the current version is the expected one.
    ///
    /// Returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns the current version if it differs; nothing changes.
    pub fn delete(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
        now: times::BootTime,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        self.write(key, expected, None, now)
    }

    /// Returns the keys under a prefix with their versions, ordered by key.
    pub fn list(&self, prefix: &str, now: times::BootTime) -> Vec<(String, epochs::ObjectVersion)> {
        let keys = self.objects.keys().filter(|key| key.starts_with(prefix));
        keys.filter_map(|key| {
            let object = self.read(key, now)?;
            object.value.as_ref()?;
            Some((key.clone(), object.version))
        })
        .collect()
    }

    fn write(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
        value: Option<Bytes>,
        now: times::BootTime,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        let current = self.current_version(key);
        if current != expected {
            return Err(current);
        }
        let last = self.get(key).map(|object| object.version);
        if last.is_none() && value.is_none() {
            return Ok(current);
        }
        let version = last.unwrap_or_default().next();
        let object = StoredObject { version, value };
        let states = self.objects.entry(key.to_owned()).or_default();
        states.push_back((now, object));
        while states.len() > MAX_OBJECT_STATES {
            states.pop_front();
        }
        Ok(version)
    }
}
