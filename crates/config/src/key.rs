//! New keys for callers.

/// The random bytes of a key.
const KEY_BYTES: usize = 24;

/// The start of each key, by which people recognise one.
const KEY_PREFIX: &str = "wx-";

/// Makes a key from the operating system's random numbers.
///
/// # Errors
///
/// Returns an error if the operating system gives no random numbers.
pub fn new_key() -> Result<String, getrandom::Error> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes)?;
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    Ok(digits.fold(KEY_PREFIX.to_owned(), |key, digits| key + &digits))
}
