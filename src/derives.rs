//! Macros for common sets of derives and for newtypes.

/// Derives the common traits of messages and records.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the common traits of small values that are copied, ordered and used as keys.
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
                serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Defines a newtype over an unsigned integer with `Display` and `FromStr`.
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize, derive_more::Display, derive_more::FromStr,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

/// Defines a newtype over a string with `Display` and `FromStr`.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize, derive_more::Display, derive_more::FromStr, derive_more::From,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

pub(crate) use {key, name, quantity, record};
