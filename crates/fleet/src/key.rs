//! The installation's key, and what is made from it.

use base64::Engine as _;
use base64::alphabet::STANDARD;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Octets of a key at least.
pub const MIN_KEY_BYTES: usize = 32;
/// Octets of a key file at most.
pub const MOST_KEY_TEXT: usize = 4_096;
/// Octets of a tag: HMAC-SHA256 (RFC 2104, FIPS 198-1), not cut short.
pub const TAG_BYTES: usize = 32;

/// A message's tag.
pub type Tag = [u8; TAG_BYTES];

/// Why a text is no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Nothing but space.
    #[error("the key file is empty; write {MIN_KEY_BYTES} random octets or more into it, as hex or base64")]
    Empty,
    /// Longer than [`MOST_KEY_TEXT`].
    #[error("the key file has more than {MOST_KEY_TEXT} octets; that can't be a key")]
    Long,
    /// Neither hex nor base64.
    #[error("the key file is neither hex nor base64")]
    Unreadable,
    /// Fewer than [`LEAST_KEY`] octets.
    #[error("the key has {0} octets; {MIN_KEY_BYTES} are needed at least")]
    Short(usize),
}

/// A secret key, set up for HMAC-SHA256. It is never shown, and never leaves but as tags and keys made from it.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Reads a key file's text: hex digits alone are hex, anything else is base64 with or without padding. Space and line
    /// ends don't count.
    ///
    /// # Errors
    /// Where it is no key; the text itself is not told again.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        if text.len() > MOST_KEY_TEXT {
            return Err(KeyError::Long);
        }
        let text: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        // Guards against a short key in hex that, read as base64, would seem long enough.
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

    /// The tag of these parts, one after the other. The label keeps tags made for one purpose from serving another; it must
    /// not be the beginning of another label.
    pub fn tag(&self, label: &[u8], parts: &[&[u8]]) -> Tag {
        self.mac(label, parts).finalize().into_bytes().into()
    }

    /// Whether that is their tag, in a time that says nothing of where it differs.
    pub fn verify(&self, label: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(label, parts).verify_slice(tag).is_ok()
    }

    /// A key for one purpose. Knowing it, or any tag made by it, says nothing of this one.
    pub fn derive(&self, label: &[u8], parts: &[&[u8]]) -> Key {
        let bytes = self.tag(label, parts);
        // HMAC takes keys of any length; the other arm can't be reached.
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
    fn keys_are_read_as_hex_or_base64_and_short_ones_named() {
        let hex = "00112233445566778899aabbccddeeff\n00112233445566778899AABBCCDDEEFF\n";
        let same = "ABEiM0RVZneImaq7zN3u/wARIjNEVWZ3iJmqu8zd7v8=";
        let tag = |text: &str| Key::read(text).map(|k| k.tag(b"a", &[b"b"]));
        assert_eq!(tag(hex).unwrap(), tag(same).unwrap());
        assert_eq!(tag(same), tag(same.trim_end_matches('=')));
        assert_eq!(tag("  \n"), Err(KeyError::Empty));
        assert_eq!(tag("not a key!"), Err(KeyError::Unreadable));
        assert_eq!(tag(&hex[..64]), Err(KeyError::Unreadable), "half an octet");
        // 48 digits are 24 octets; as base64 they would pass for 36.
        assert_eq!(tag(&"0123456789ab".repeat(4)), Err(KeyError::Short(24)));
        assert_eq!(tag(&"a".repeat(MOST_KEY_TEXT + 1)), Err(KeyError::Long));
        assert_eq!(format!("{:?}", Key::read(hex).unwrap()), "Key");
    }

    /// RFC 4231, test case 2 has a shorter key than is let in here; its octets are put in as they are.
    #[test]
    fn tags_are_hmac_sha256() {
        let key = Key::from_bytes(b"Jefe").unwrap();
        let tag = key.tag(b"what do ya ", &[b"want ", b"for nothing?"]);
        assert_eq!(tag[..4], [0x5b, 0xdc, 0xc1, 0x46]);
        assert!(key.verify(b"what do ya want", &[b" for nothing?"], &tag));
        assert!(!key.verify(b"what do ya want", &[b" for nothing?"], &tag[..31]));
    }
}
