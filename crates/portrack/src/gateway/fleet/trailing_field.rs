//! Fields added to the end of a message format.

use serde::{Deserialize, Deserializer};

/// Deserialises a trailing field that earlier builds do not write; if it is missing, it has its
/// default. Without this, two builds could not read each other's messages while the nodes of a
/// fleet are upgraded.
pub fn or_default<'de, D, T>(from: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(from).unwrap_or_default())
}
