//! Objects with versions and conditional writes.

use std::collections;

use bytes::Bytes;
use pier_types::epochs;

/// One object, or what is remembered of a deleted one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Rises with each write and each deletion.
    pub version: epochs::ObjectVersion,
    /// The value; none after a deletion.
    pub value: Option<Bytes>,
}

/// Holds objects; a version of a key is never used twice, also over deletions.
///
/// ```
/// use pier_fakes::platform;
/// use pier_types::epochs;
///
/// let mut store = platform::ObjectStore::default();
/// let absent = epochs::ObjectVersion::new(0);
/// let first = store.put("lease/mvd-a", absent, "a".into());
/// assert_eq!(first, Ok(epochs::ObjectVersion::new(1)));
/// assert_eq!(store.put("lease/mvd-a", absent, "b".into()), Err(epochs::ObjectVersion::new(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    objects: collections::BTreeMap<String, StoredObject>,
}

impl ObjectStore {
    /// Returns an object, also a deleted one.
    pub fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Returns the version that a conditional write is compared with; 0 for an absent object.
    pub fn present_version(&self, key: &str) -> epochs::ObjectVersion {
        match self.objects.get(key) {
            Some(object) if object.value.is_some() => object.version,
            _ => epochs::ObjectVersion::new(0),
        }
    }

    /// Writes a value if the present version is the expected one; returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the present version if it is another one; nothing changes.
    pub fn put(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
        value: Bytes,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        self.write(key, expected, Some(value))
    }

    /// Deletes an object if the present version is the expected one; returns the deletion's version.
    ///
    /// # Errors
    ///
    /// Returns the present version if it is another one; nothing changes.
    pub fn delete(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        self.write(key, expected, None)
    }

    /// Returns the keys under a prefix with their versions, in the order of the keys.
    pub fn list(&self, prefix: &str) -> Vec<(String, epochs::ObjectVersion)> {
        self.objects
            .iter()
            .filter(|(key, object)| key.starts_with(prefix) && object.value.is_some())
            .map(|(key, object)| (key.clone(), object.version))
            .collect()
    }

    fn write(
        &mut self,
        key: &str,
        expected: epochs::ObjectVersion,
        value: Option<Bytes>,
    ) -> Result<epochs::ObjectVersion, epochs::ObjectVersion> {
        let present = self.present_version(key);
        if present != expected {
            return Err(present);
        }
        let last = self.objects.get(key).map(|object| object.version);
        if last.is_none() && value.is_none() {
            return Ok(present);
        }
        let version = last.unwrap_or_default().next();
        let object = StoredObject { version, value };
        self.objects.insert(key.to_owned(), object);
        Ok(version)
    }
}
