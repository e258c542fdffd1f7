//! A chunk of a request's or an answer's body.

use std::fmt;

use serde::{de, ser, ser::SerializeTuple};

/// Bytes of a body and the position of the chunk in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyChunk {
    /// Number of the chunk in the body, counted from 0.
    pub index: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl ser::Serialize for BodyChunk {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&ByteSlice(&self.bytes))?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for BodyChunk {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, ChunkVisitor)
    }
}

/// Serializes the bytes as one slice instead of byte by byte.
struct ByteSlice<'a>(&'a [u8]);

impl ser::Serialize for ByteSlice<'_> {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

/// Deserializes the bytes as one slice instead of byte by byte.
struct ByteVector(Vec<u8>);

impl<'de> de::Deserialize<'de> for ByteVector {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BytesVisitor).map(Self)
    }
}

struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Self::Value, E> {
        Ok(v.to_vec())
    }
}

struct ChunkVisitor;

impl<'de> de::Visitor<'de> for ChunkVisitor {
    type Value = BodyChunk;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an index and bytes")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let index = seq
            .next_element()?
            .ok_or_else(|| de::Error::invalid_length(0, &self))?;
        let bytes = seq
            .next_element::<ByteVector>()?
            .ok_or_else(|| de::Error::invalid_length(1, &self))?;
        Ok(BodyChunk {
            index,
            bytes: bytes.0,
        })
    }
}
