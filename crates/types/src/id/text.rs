//! Text identifiers, restricted to a small character set so that they are safe in paths, headers
//! and logs.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
};

/// Longest accepted text identifier, in bytes.
const MAX_ID_BYTES: usize = 96;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    TooLong(usize),
    /// The text holds a character outside `A-Z a-z 0-9 . _ - : /`.
    BadChar(char),
    /// The text is not the expected number of hexadecimal digits.
    BadHex,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "an identifier may not be empty"),
            Self::TooLong(n) => write!(
                f,
                "identifier of {n} bytes, at most {MAX_ID_BYTES} accepted"
            ),
            Self::BadChar(c) => {
                write!(
                    f,
                    "character {c:?} in identifier; accepted: A-Z a-z 0-9 . _ - : /"
                )
            }
            Self::BadHex => write!(f, "not the expected number of hexadecimal digits"),
        }
    }
}

impl Error for ParseIdError {}

fn check(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::TooLong(text.len()));
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"._-:/".contains(*c))
    {
        Some(c) => Err(ParseIdError::BadChar(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check(text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseIdError;

            fn try_from(text: CompactString) -> Result<Self, Self::Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )*};
}

text_id! {
    /// An organisation: the customer that keys belong to and that usage is billed to.
    OrgId,
    /// A class of requests, with a tier, latency targets and limits.
    ClassId,
    /// A model, by the name that callers send; for plain services, the name of the service.
    ModelId,
    /// A route from a path to a plain service.
    RouteId,
    /// An availability zone.
    ZoneId,
    /// A VM that runs celerystage processes, such as an entry and a steward.
    VmId,
    /// An endpoint: one replica of a model engine or of a plain service.
    EndpointId,
    /// An operator who publishes configuration.
    OperatorId,
    /// A service: all endpoints that serve the same model or plain service.
    ServiceId,
    /// One attempt at a request, by the id that the caller chose.
    AttemptId,
    /// A release of the software that an endpoint runs.
    Release,
}
