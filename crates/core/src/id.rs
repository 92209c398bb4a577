//! Identifier types. Text ids are short strings without white space; number ids are plain integers.

use std::{convert::Infallible, fmt, num::ParseIntError, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Whether the id is an empty string.
            pub fn is_empty(&self) -> bool {
                self.0.is_empty()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(s: &str) -> Result<Self, Infallible> {
                Ok(Self(s.into()))
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<Self, ParseIntError> {
                s.parse().map(Self)
            }
        }
    )*};
}

text_id! {
    /// A host: an entry host with a router, or the host of a backend server with its agent.
    HostId;
    /// A failure domain.
    DomainId;
    /// A customer.
    CustomerId;
    /// A model.
    ModelName;
    /// A version of a model.
    VersionName;
    /// A service: a pool of backend servers of one kind (model engines or a plain service).
    ServiceName;
    /// A class of requests with one quality target.
    ClassName;
    /// One start of a backend server; a restart usually results in a new id.
    BackendId;
    /// A request, or one attempt to run it. Attempt ids have the form `<uuid>.<host id of the agent>`; answers carry
    /// the id of their attempt.
    RequestId;
}

number_id! {
    /// Random number that a process generates at its start.
    Incarnation(u64);
    /// Revision of the configuration; increases with every change.
    Revision(u64);
    /// Era of the store; rises each time it comes back from an older copy. 0 stands for an era that is not known.
    Era(u64);
    /// Fencing token of a lease; increases with every new holder.
    Fence(u64);
    /// Number of a shard.
    ShardId(u32);
}
