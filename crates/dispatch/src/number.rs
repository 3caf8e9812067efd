//! Conversions between integers and floating point where rounding is harmless.

/// Nearest floating-point value.
#[expect(
    clippy::cast_precision_loss,
    reason = "estimates need far fewer than 52 bits"
)]
pub(crate) fn real(value: u64) -> f64 {
    value as f64
}

/// Nearest whole number; negative and undefined values give zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, which is what is wanted"
)]
pub(crate) fn whole(value: f64) -> u64 {
    (value + 0.5) as u64
}

/// `greater - smaller` with its sign, saturating.
pub(crate) fn difference(minuend: u64, subtrahend: u64) -> i64 {
    let magnitude = i64::try_from(minuend.abs_diff(subtrahend)).unwrap_or(i64::MAX);
    if minuend >= subtrahend {
        magnitude
    } else {
        -magnitude
    }
}
