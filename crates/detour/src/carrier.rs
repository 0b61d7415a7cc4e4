//! A VM that takes requests of others to their endpoints.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
    types::{VmId, ZoneId},
};

/// A VM that reaches the endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carrier {
    /// Name.
    pub vm: VmId,
    /// Address for the calls of other VMs.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// CPU share, in thousandths of a core.
    pub millicores: u32,
}

/// Why a carrier has not sent a request to its endpoint. None of them means that it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CarryRefusal {
    /// The carrier itself has lost its links to the endpoints.
    Cut,
    /// It carries as many requests as it can.
    Busy,
    /// It shuts down.
    Stopping,
    /// The endpoint refuses its connections.
    Refused,
    /// The endpoint doesn't respond to its connections, or not as the listed process.
    Unreachable,
    /// The endpoint takes no requests of the carrier, or isn't listed there.
    Closed,
}

impl CarryRefusal {
    const ALL: [Self; 6] = [
        Self::Cut,
        Self::Busy,
        Self::Stopping,
        Self::Refused,
        Self::Unreachable,
        Self::Closed,
    ];

    /// The word that VMs send each other.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Closed => "closed",
        }
    }

    /// Whether it concerns the carrier rather than the endpoint.
    pub fn is_of_carrier(self) -> bool {
        match self {
            Self::Cut | Self::Busy | Self::Stopping => true,
            Self::Refused | Self::Unreachable | Self::Closed => false,
        }
    }
}

impl fmt::Display for CarryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Text that is no [`CarryRefusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownRefusal;

impl FromStr for CarryRefusal {
    type Err = UnknownRefusal;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|r| r.as_str() == text).ok_or(UnknownRefusal)
    }
}
