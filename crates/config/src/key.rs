//! Generation of caller keys.

/// The number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// The prefix that makes a key recognizable to people.
const KEY_PREFIX: &str = "wx-";

/// Generates a key from the operating system's random number generator.
///
/// # Errors
///
/// Returns an error if the operating system provides no random bytes.
pub fn new_key() -> Result<String, getrandom::Error> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes)?;
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    Ok(digits.fold(KEY_PREFIX.to_owned(), |key, digits| key + &digits))
}
