//! Conversions between integers and floating-point numbers where rounding does no harm.

/// Nearest floating-point value.
#[expect(
    clippy::cast_precision_loss,
    reason = "estimates need far fewer than 52 bits"
)]
pub(crate) fn to_f64(value: u64) -> f64 {
    value as f64
}

/// Nearest integer; 0 for negative values and NaN.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, as intended"
)]
pub(crate) fn to_u64(value: f64) -> u64 {
    (value + 0.5) as u64
}

/// `minuend - subtrahend` with its sign, saturating.
pub(crate) fn signed_difference(minuend: u64, subtrahend: u64) -> i64 {
    let magnitude = i64::try_from(minuend.abs_diff(subtrahend)).unwrap_or(i64::MAX);
    if minuend >= subtrahend {
        magnitude
    } else {
        -magnitude
    }
}
