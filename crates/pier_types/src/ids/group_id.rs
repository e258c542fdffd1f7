//! The identifier of a replica group.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::ids;

/// Identifies a replica group by its data centre and a number that is never reused there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GroupId {
    /// The data centre whose placement holds the group.
    pub data_centre: ids::DataCentreName,
    /// The group's number in that placement.
    pub number: u64,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.number)
    }
}

impl str::FromStr for GroupId {
    type Err = ids::NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (data_centre, number) = text.split_once('/').unwrap_or((text, ""));
        let data_centre = data_centre.parse()?;
        let number = number
            .parse()
            .map_err(|_error| ids::NameError::new("group", text))?;
        Ok(Self {
            data_centre,
            number,
        })
    }
}

impl TryFrom<String> for GroupId {
    type Error = ids::NameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<GroupId> for String {
    fn from(id: GroupId) -> Self {
        id.to_string()
    }
}
