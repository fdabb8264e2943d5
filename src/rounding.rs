//! Numbers in settings that may have a fraction, rounded to the side that keeps a promise.
//!
//! Deployments are rendered from templates, whose figures may have been scaled. Bounds that
//! must not be passed are rounded down; times that others are given are rounded up.

use serde::{Deserialize, Deserializer, de::Error};

/// The largest number that is taken: beyond it a value is a mistake, not a bound.
const MOST: f64 = 1e15;
const MILLIS: f64 = 1000.0;

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    match (0.0..=MOST).contains(&number) {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "{number} is out of range: use a number from 0 to {MOST}"
        ))),
    }
}

/// A bound that must not be passed: rounded down.
///
/// # Errors
/// Fails with the value if it is no number, negative or absurd.
pub fn down<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| number.floor() as u64)
}

/// A time that others are given: rounded up.
///
/// # Errors
/// As [`down`].
pub fn up<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| number.ceil() as u64)
}

/// Thousandths of a ratio or milliseconds of seconds that must not be passed: rounded down.
///
/// # Errors
/// As [`down`].
pub fn thousandths<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|number| (number * MILLIS).floor() as u64)
}
