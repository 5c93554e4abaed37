//! Messages between members about reservations. Each may be lost, duplicated or delayed.

use super::ReservationKey;
use crate::Micros;
use heronroute_fleet::{Life, Name, Start};
use serde::{Deserialize, Serialize};

/// The maximum number of entries in one [`Message::TransferPart`].
pub const MAX_PART_ENTRIES: usize = 64;

/// The reservation of a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The life that reserved the name first.
    pub by: Life,
    /// The number of its request.
    pub number: u64,
    /// The name is remembered until this time of day.
    pub until: Micros,
    /// Whether the message is known to be accepted; if not, the name is only reserved.
    pub accepted: bool,
}

/// The reply of a home to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The name is reserved for the requesting life.
    New,
    /// The message was accepted at this member.
    AcceptedAt(Name),
    /// It is not known yet.
    Unsettled,
}

/// A message from one member to another; the link identifies the sending life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a reservation; `number` is the requesting life's own.
    Request { key: ReservationKey, number: u64, until: Micros },
    /// The reply to [`Message::Request`].
    Reply { key: ReservationKey, number: u64, answer: Reply },
    /// Reports whether the message was accepted. Repeated until [`Message::ResultRecorded`].
    Result { key: ReservationKey, number: u64, until: Micros, accepted: bool },
    /// The acknowledgement of [`Message::Result`]; the result is durable.
    ResultRecorded { key: ReservationKey, number: u64 },
    /// Asks for the result of a reservation, from the member that made it or the member that took that one
    /// over.
    ResultQuery { key: ReservationKey, of: Life, number: u64 },
    /// The reply to [`Message::ResultQuery`]: whether that life accepted the message.
    ResultReply { key: ReservationKey, of: Life, number: u64, accepted: bool },
    /// Transfers the authority over a slot with its entries, in parts: this one has the entries after the
    /// key `after`. `epoch` is raised with each transfer. The transfer is for a member with this `folder`
    /// only, identified by its first life; without one it only asks for the folder.
    TransferPart {
        slot: u16,
        epoch: u64,
        folder: Option<Start>,
        forgotten_until: Micros,
        after: Option<ReservationKey>,
        entries: Vec<(ReservationKey, Entry)>,
        last: bool,
    },
    /// The acknowledgement of [`Message::TransferPart`]: all entries up to `upto` are received; with
    /// `done`, the member durably has the authority.
    TransferAck { slot: u16, epoch: u64, folder: Start, upto: Option<ReservationKey>, done: bool },
}
