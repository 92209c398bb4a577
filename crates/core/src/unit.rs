//! Quantities with a unit: tokens, money, time and bytes. Their addition and subtraction saturate.

use std::{
    fmt,
    iter::Sum,
    num::ParseIntError,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($($(#[$doc:meta])* $name:ident, $unit:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Difference, or zero if `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<Self, ParseIntError> {
                s.strip_suffix($unit).unwrap_or(s).parse().map(Self)
            }
        }
    )*};
}

quantity! {
    /// Number of tokens.
    Tokens, "tok";
    /// Amount of money in micros (millionths) of the currency unit.
    Cost, "u";
    /// Time in milliseconds: a duration, or a point in time on a monotonic clock of this process.
    Millis, "ms";
    /// Size in bytes.
    Bytes, "B";
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
