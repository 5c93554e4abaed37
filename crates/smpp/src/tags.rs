//! TLVs of our own, in the range that the specification leaves to vendors (0x1400 to 0x3FFF). `docs/smpp.md`
//! describes them for those who write clients and receivers.

use rusmpp_core::tlvs::TlvTag;
use rusmpp_core::tlvs::owned::{Tlv, TlvValue};

/// From clients: the key of a message in a class that keeps order. Octets, 1 to 64.
pub const KEY: u16 = 0x1501;
/// To clients: in receipts, milliseconds for which to stay away. Four octets.
pub const RETRY_AFTER: u16 = 0x1502;
/// To receivers: identity of the message, the same for each attempt. Octets.
pub const MESSAGE: u16 = 0x1503;
/// From receivers: in a response that refuses, milliseconds to wait. Four octets.
pub const WAIT: u16 = 0x1504;
/// From clients: 1 where the message was handed in before. One octet.
pub const AGAIN: u16 = 0x1505;

/// The value of a TLV of ours.
pub fn find(tlvs: &[Tlv], wanted: u16) -> Option<&[u8]> {
    tlvs.iter().find_map(|t| match t.value() {
        Some(TlvValue::Other { tag, value }) if u16::from(*tag) == wanted => Some(value.as_ref()),
        _ => None,
    })
}

/// A four-octet value of a TLV of ours.
pub fn find_u32(tlvs: &[Tlv], wanted: u16) -> Option<u32> {
    find(tlvs, wanted).and_then(|v| Some(u32::from_be_bytes(v.try_into().ok()?)))
}

/// The tag as the codec has it.
pub fn tag(number: u16) -> TlvTag {
    TlvTag::from(number)
}
