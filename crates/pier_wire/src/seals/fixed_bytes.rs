//! Serializes byte arrays of fixed length without a length prefix.

use std::fmt;

use serde::{de, ser, ser::SerializeTuple};

/// Serializes the bytes as a tuple.
pub(crate) fn write_fixed<const N: usize, S: ser::Serializer>(
    bytes: [u8; N],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut tuple = serializer.serialize_tuple(N)?;
    for byte in &bytes {
        tuple.serialize_element(byte)?;
    }
    tuple.end()
}

/// Deserializes bytes written by [`write_fixed`].
pub(crate) fn read_fixed<'de, const N: usize, D: de::Deserializer<'de>>(
    deserializer: D,
) -> Result<[u8; N], D::Error> {
    deserializer.deserialize_tuple(N, ArrayVisitor::<N>)
}

struct ArrayVisitor<const N: usize>;

impl<'de, const N: usize> de::Visitor<'de> for ArrayVisitor<N> {
    type Value = [u8; N];

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{N} bytes")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut bytes = [0; N];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = seq
                .next_element()?
                .ok_or_else(|| de::Error::invalid_length(index, &self))?;
        }
        Ok(bytes)
    }
}
