//! Identities as they go over the wire: a key for the name, and what tells lives and renewals of one name apart.

use crate::name::{Life, Name, Start};
use foca::Identity;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The first 64 bits of a name's SHA-256. Members whose settings list their peers in another order, or list more of
/// them, still mean the same one, which an index would not give; and it compares at no cost, which a text does not.
pub(super) fn key_of(name: &Name) -> u64 {
    let digest = Sha256::digest(name.as_str().as_bytes());
    digest.iter().take(8).fold(0, |key, octet| key << 8 | u64::from(*octet))
}

/// Who speaks, or is spoken of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberId {
    /// Which name.
    #[serde(with = "postcard::fixint::le")]
    pub key: u64,
    /// Which life of it.
    pub start: Start,
    /// Drawn by each process for itself: two that came up with one start number (a folder copied, both clocks set
    /// back) are still two.
    pub nonce: u32,
    /// How often this life was declared dead and said that it lives. A start number is a process's and lives on disk,
    /// so a renewal must not make one up; a later start beats any number of renewals of an earlier one.
    pub renewals: u32,
}

impl MemberId {
    pub fn new(life: &Life, nonce: u32) -> Self {
        MemberId { key: key_of(&life.name), start: life.start, nonce, renewals: 0 }
    }

    /// Stands for a peer of which nothing was heard: loses against anyone.
    pub fn unknown(key: u64) -> Self {
        MemberId { key, start: Start(0), nonce: 0, renewals: 0 }
    }

    /// Orders the processes that bore one name; the greatest holds it.
    pub fn process(&self) -> (Start, u32) {
        (self.start, self.nonce)
    }
}

impl Identity for MemberId {
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { renewals: self.renewals.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> u64 {
        self.key
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.process(), self.renewals) > (other.process(), other.renewals)
    }
}
