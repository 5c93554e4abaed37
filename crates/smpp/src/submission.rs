//! What a submit_sm or data_sm asks for, in plain words; and the submit_sm that carries a message on.

use crate::{Micros, tags, time};
use rusmpp_core::CommandStatus;
use rusmpp_core::pdus::owned::{DataSm, SubmitSm};
use rusmpp_core::tlvs::owned::{MessageSubmissionRequestTlvValue as Tlv, TlvValue};
use rusmpp_core::types::owned::{AnyOctetString, COctetString, EmptyOrFullCOctetString, OctetString};
use rusmpp_core::values::owned::{MessagePayload, ServiceType};
use rusmpp_core::values::{EsmClass, RegisteredDelivery};

/// When the client is told of the end by a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Wanted {
    /// Always.
    Always,
    /// Only of failure.
    Failure,
    /// Only of success.
    Success,
    /// Never asked for. The final answer is owed all the same and is kept for queries.
    #[default]
    Never,
}

/// A message that a client hands in.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Submission {
    /// The service_type.
    pub service: String,
    /// The source address.
    pub source: String,
    /// The destination address.
    pub destination: String,
    /// The validity asked for; `None` for the class's own.
    pub validity: Option<Micros>,
    /// Forward (transaction) mode: the response itself is the answer.
    pub forward: bool,
    /// Which receipts are wanted.
    pub wanted: Wanted,
    /// What it is about, in classes that keep order.
    pub key: Option<String>,
    /// It was handed in before.
    pub again: bool,
    /// The data_coding.
    pub coding: u8,
    /// The esm_class octet's features (UDH), passed on.
    pub esm: u8,
    /// Its text or payload.
    pub body: Vec<u8>,
    /// Its identity, where a sender of ours hands it on to a receiver.
    pub identity: Option<String>,
}

fn wanted(r: RegisteredDelivery) -> Wanted {
    Wanted::from_code(u32::from(u8::from(r)))
}

impl Submission {
    /// Reads a submit_sm.
    ///
    /// # Errors
    /// The status to answer with.
    pub fn from_submit(sm: &SubmitSm, wall: Micros) -> Result<Self, CommandStatus> {
        if !sm.schedule_delivery_time.as_str().is_empty() {
            return Err(CommandStatus::EsmeRinvsched);
        }
        let validity =
            time::parse(sm.validity_period.as_str(), wall).map_err(|_| CommandStatus::EsmeRinvexpiry)?;
        let mut s = Submission {
            service: sm.service_type.value().as_str().to_string(),
            source: sm.source_addr.as_str().to_string(),
            destination: sm.destination_addr.as_str().to_string(),
            validity,
            wanted: wanted(sm.registered_delivery),
            coding: u8::from(sm.data_coding),
            body: sm.short_message().as_ref().to_vec(),
            ..Submission::default()
        };
        s.mode(sm.esm_class)?;
        s.tlvs(sm.tlvs())?;
        Ok(s)
    }

    /// Reads a data_sm.
    ///
    /// # Errors
    /// The status to answer with.
    pub fn from_data(sm: &DataSm) -> Result<Self, CommandStatus> {
        let mut s = Submission {
            service: sm.service_type.value().as_str().to_string(),
            source: sm.source_addr.as_str().to_string(),
            destination: sm.destination_addr.as_str().to_string(),
            wanted: wanted(sm.registered_delivery),
            coding: u8::from(sm.data_coding),
            ..Submission::default()
        };
        s.mode(sm.esm_class)?;
        s.tlvs(sm.tlvs())?;
        Ok(s)
    }

    /// Whether a receipt is owed for an answer that was not told as the response. In forward mode it always is: the
    /// response was to be the answer, and its session is gone.
    pub fn owes_receipt(&self, delivered: bool) -> bool {
        self.forward || self.wanted.receipt(delivered)
    }

    fn mode(&mut self, class: EsmClass) -> Result<(), CommandStatus> {
        let octet = u8::from(class);
        // Bits 1-0 are the mode, 5-2 the type of message: clients hand in ordinary ones.
        if octet & 0b0011_1100 != 0 {
            return Err(CommandStatus::EsmeRinvesmclass);
        }
        self.forward = octet & 3 == 2;
        // Datagram mode asks for no receipts by its definition.
        if octet & 3 == 1 {
            self.wanted = Wanted::Never;
        }
        self.esm = octet & 0b1100_0000;
        Ok(())
    }

    fn tlvs(&mut self, tlvs: &[rusmpp_core::tlvs::owned::Tlv]) -> Result<(), CommandStatus> {
        for t in tlvs {
            match t.value() {
                Some(TlvValue::MessagePayload(p)) => {
                    if !self.body.is_empty() {
                        return Err(CommandStatus::EsmeRinvmsglen);
                    }
                    self.body = p.value.as_ref().to_vec();
                }
                // Seconds; it goes before validity_period, by the specification.
                Some(TlvValue::QosTimeToLive(s)) => self.validity = Some(Micros::from(*s) * 1_000_000),
                _ => {}
            }
        }
        if let Some(key) = tags::find(tlvs, tags::KEY) {
            let text = std::str::from_utf8(key).ok().filter(|k| (1..=64).contains(&k.len()));
            self.key = Some(text.ok_or(CommandStatus::EsmeRinvtlvval)?.to_string());
        }
        let identity = tags::find(tlvs, tags::MESSAGE).and_then(|v| std::str::from_utf8(v).ok());
        self.identity = identity.map(str::to_string);
        self.again = tags::find(tlvs, tags::AGAIN).is_some_and(|v| v == [1]);
        Ok(())
    }

    /// The submit_sm for it, as a client writes it; `message` is its identity towards a receiver.
    pub fn submit(&self, message: Option<&str>) -> SubmitSm {
        let text = |t: &str| COctetString::from_string(t.to_string()).unwrap_or_default();
        let mode = if self.forward { 2 } else { 0 };
        let receipts = self.wanted.code() as u8;
        let validity = self.validity.map(time::relative).unwrap_or_default();
        let service = COctetString::from_string(self.service.clone()).unwrap_or_default();
        let mut sm = SubmitSm::builder()
            .service_type(ServiceType::new(service))
            .source_addr(text(&self.source))
            .destination_addr(text(&self.destination))
            .esm_class(EsmClass::from(self.esm | mode))
            .registered_delivery(RegisteredDelivery::from(receipts))
            .validity_period(EmptyOrFullCOctetString::from_string(validity).unwrap_or_default())
            .data_coding(self.coding.into())
            .build();
        let other = |number: u16, value: &[u8]| Tlv::Other {
            tag: tags::tag(number),
            value: AnyOctetString::from_vec(value.to_vec()),
        };
        match OctetString::from_vec(self.body.clone()) {
            Ok(short) => sm.set_short_message(short),
            Err(_) => {
                let payload = AnyOctetString::from_vec(self.body.clone());
                sm.push_tlv(Tlv::MessagePayload(MessagePayload::new(payload)));
            }
        }
        if let Some(key) = &self.key {
            sm.push_tlv(other(tags::KEY, key.as_bytes()));
        }
        if self.again {
            sm.push_tlv(other(tags::AGAIN, &[1]));
        }
        if let Some(id) = message {
            sm.push_tlv(other(tags::MESSAGE, id.as_bytes()));
        }
        sm
    }
}

impl Wanted {
    /// A number for it, as in registered_delivery.
    pub fn code(self) -> u32 {
        match self {
            Wanted::Never => 0,
            Wanted::Always => 1,
            Wanted::Failure => 2,
            Wanted::Success => 3,
        }
    }

    /// The other way.
    pub fn from_code(code: u32) -> Self {
        match code & 3 {
            1 => Wanted::Always,
            2 => Wanted::Failure,
            3 => Wanted::Success,
            _ => Wanted::Never,
        }
    }

    /// Whether a receipt is wanted of an answer that is a success, or a failure.
    pub fn receipt(self, delivered: bool) -> bool {
        match self {
            Wanted::Always => true,
            Wanted::Failure => !delivered,
            Wanted::Success => delivered,
            Wanted::Never => false,
        }
    }
}
