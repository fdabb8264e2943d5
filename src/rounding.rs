//! Deserialization of fractional numbers in settings, rounded to the safe side.
//!
//! Settings are rendered from templates, which may scale a number to a fraction. Upper bounds
//! are rounded down; times that other processes rely on are rounded up.

use serde::{Deserialize, Deserializer, de::Error};

/// Largest number that is accepted. A larger one can only be a mistake.
const MAX_NUMBER: f64 = 1e15;
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    match (0.0..=MAX_NUMBER).contains(&number) {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "{number} is out of range: use a number from 0 to {MAX_NUMBER}"
        ))),
    }
}

/// Deserializes an upper bound, rounded down.
///
/// # Errors
/// Fails with the value if it is not a number, is negative or exceeds `MAX_NUMBER`.
pub fn down<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| number.floor() as u64)
}

/// Deserializes a time that other processes rely on, rounded up.
///
/// # Errors
/// As [`down`].
pub fn up<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| number.ceil() as u64)
}

/// Deserializes an upper bound as thousandths of a ratio, or as milliseconds of a number of
/// seconds, rounded down.
///
/// # Errors
/// As [`down`].
pub fn thousandths<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| (number * THOUSANDTHS_PER_UNIT).floor() as u64)
}
