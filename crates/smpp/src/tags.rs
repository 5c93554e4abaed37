//! The vendor-specific TLVs of the service, in the range that the specification reserves for vendors (0x1400
//! to 0x3FFF). `docs/smpp.md` describes them for authors of clients and receivers.

use rusmpp_core::tlvs::TlvTag;
use rusmpp_core::tlvs::owned::{Tlv, TlvValue};

/// From clients: the key of a message in a class that keeps order, 1 to 64 bytes.
pub const KEY: u16 = 0x1501;
/// To clients: in receipts, the milliseconds to wait before a retry, in four bytes.
pub const RETRY_AFTER: u16 = 0x1502;
/// To receivers: the identity of the message as bytes, the same for each attempt.
pub const MESSAGE_IDENTITY: u16 = 0x1503;
/// From receivers: in an error response, the milliseconds to wait before a retry, in four bytes.
pub const RECEIVER_RETRY_AFTER: u16 = 0x1504;
/// From clients: 1 if the message was submitted before, in one byte.
pub const RESUBMITTED: u16 = 0x1505;

/// Returns the value of a vendor-specific TLV.
pub fn find(tlvs: &[Tlv], wanted: u16) -> Option<&[u8]> {
    tlvs.iter().find_map(|t| match t.value() {
        Some(TlvValue::Other { tag, value }) if u16::from(*tag) == wanted => Some(value.as_ref()),
        _ => None,
    })
}

/// Returns the four-byte value of a vendor-specific TLV.
pub fn find_u32(tlvs: &[Tlv], wanted: u16) -> Option<u32> {
    find(tlvs, wanted).and_then(|v| Some(u32::from_be_bytes(v.try_into().ok()?)))
}

/// Returns the tag in the type of the codec.
pub fn tag(number: u16) -> TlvTag {
    TlvTag::from(number)
}
