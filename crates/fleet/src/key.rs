//! The installation's secret key, and the tags and keys derived from it.

use base64::Engine as _;
use base64::alphabet::STANDARD;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// The minimum number of bytes in a key.
pub const MIN_KEY_BYTES: usize = 32;
/// The maximum number of bytes in a key file.
pub const MAX_KEY_FILE_BYTES: usize = 4_096;
/// The number of bytes in a tag: HMAC-SHA256 (RFC 2104, FIPS 198-1), not truncated.
pub const TAG_BYTES: usize = 32;

/// An authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// The reason why a key file is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The file holds only whitespace.
    #[error("the key file is empty; write {MIN_KEY_BYTES} random octets or more into it, as hex or base64")]
    Empty,
    /// The file is longer than [`MAX_KEY_FILE_BYTES`].
    #[error("the key file has more than {max} octets; that can't be a key", max = MAX_KEY_FILE_BYTES)]
    Long,
    /// The content is neither hex nor base64.
    #[error("the key file is neither hex nor base64")]
    Unreadable,
    /// The key has fewer than [`MIN_KEY_BYTES`] bytes.
    #[error("the key has {0} octets; {MIN_KEY_BYTES} are needed at least")]
    Short(usize),
}

/// A secret key, set up for HMAC-SHA256. `Debug` doesn't print it, and only tags and derived keys can be
/// obtained from it.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Parses the text of a key file. Text of hex digits alone is hex; anything else is base64, with or
    /// without padding. Whitespace is ignored.
    ///
    /// # Errors
    /// Fails when the text isn't a valid key. The error doesn't contain the text.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_KEY_FILE_BYTES {
            return Err(KeyError::Long);
        }
        let text: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        // A hex key that is too short must not be read as base64, where it could seem long enough.
        let bytes = if text.iter().all(u8::is_ascii_hexdigit) { hex(&text) } else { base64(&text) };
        let bytes = bytes.ok_or(KeyError::Unreadable)?;
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::Short(bytes.len()));
        }
        Key::from_bytes(&bytes).ok_or(KeyError::Unreadable)
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(bytes).ok().map(Key)
    }

    /// Returns the tag of the concatenated parts. The label separates the purposes that tags are used for; no
    /// label may be a prefix of another.
    pub fn tag(&self, label: &[u8], parts: &[&[u8]]) -> Tag {
        self.mac(label, parts).finalize().into_bytes().into()
    }

    /// Returns whether the tag is that of the parts. The comparison takes constant time.
    pub fn verify(&self, label: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(label, parts).verify_slice(tag).is_ok()
    }

    /// Derives a key for one purpose. Neither the derived key nor its tags reveal this key.
    pub fn derive(&self, label: &[u8], parts: &[&[u8]]) -> Key {
        let bytes = self.tag(label, parts);
        // HMAC accepts keys of any length, so the fallback is unreachable.
        Key::from_bytes(&bytes).unwrap_or_else(|| self.clone())
    }

    fn mac(&self, label: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(label);
        parts.iter().for_each(|part| mac.update(part));
        mac
    }
}

fn hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let (pairs, rest) = text.as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    pairs.iter().map(|[high, low]| Some(digit(*high)? << 4 | digit(*low)?)).collect()
}

fn base64(text: &[u8]) -> Option<Vec<u8>> {
    let lax = GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent);
    GeneralPurpose::new(&STANDARD, lax).decode(text).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_parsed_as_hex_or_base64_and_short_ones_refused() {
        let hex = "00112233445566778899aabbccddeeff\n00112233445566778899AABBCCDDEEFF\n";
        let same = "ABEiM0RVZneImaq7zN3u/wARIjNEVWZ3iJmqu8zd7v8=";
        let tag = |text: &str| Key::read(text).map(|k| k.tag(b"a", &[b"b"]));
        assert_eq!(tag(hex).unwrap(), tag(same).unwrap());
        assert_eq!(tag(same), tag(same.trim_end_matches('=')));
        assert_eq!(tag("  \n"), Err(KeyError::Empty));
        assert_eq!(tag("not a key!"), Err(KeyError::Unreadable));
        assert_eq!(tag(&hex[..64]), Err(KeyError::Unreadable), "half a byte");
        // 48 digits are 24 bytes; read as base64 they would be 36.
        assert_eq!(tag(&"0123456789ab".repeat(4)), Err(KeyError::Short(24)));
        assert_eq!(tag(&"a".repeat(MAX_KEY_FILE_BYTES + 1)), Err(KeyError::Long));
        assert_eq!(format!("{:?}", Key::read(hex).unwrap()), "Key");
    }

    /// Test case 2 of RFC 4231. Its key is shorter than [`Key::read`] accepts, so it is passed in as bytes.
    #[test]
    fn tags_are_hmac_sha256() {
        let key = Key::from_bytes(b"Jefe").unwrap();
        let tag = key.tag(b"what do ya ", &[b"want ", b"for nothing?"]);
        assert_eq!(tag[..4], [0x5b, 0xdc, 0xc1, 0x46]);
        assert!(key.verify(b"what do ya want", &[b" for nothing?"], &tag));
        assert!(!key.verify(b"what do ya want", &[b" for nothing?"], &tag[..31]));
    }
}
