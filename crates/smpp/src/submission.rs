//! Converts submit_sm and data_sm into submissions, and submissions into submit_sm.

use crate::{Micros, tags, time};
use rusmpp_core::CommandStatus;
use rusmpp_core::pdus::owned::{DataSm, SubmitSm};
use rusmpp_core::tlvs::owned::{MessageSubmissionRequestTlvValue as Tlv, TlvValue};
use rusmpp_core::types::owned::{AnyOctetString, COctetString, EmptyOrFullCOctetString, OctetString};
use rusmpp_core::values::owned::{MessagePayload, ServiceType};
use rusmpp_core::values::{EsmClass, RegisteredDelivery};

/// The outcomes for which the client requests a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ReceiptRequest {
    /// Every outcome.
    Always,
    /// Failures only.
    Failure,
    /// Successes only.
    Success,
    /// None. The final answer is still owed, and is kept for queries.
    #[default]
    Never,
}

/// A message that a client submits.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Submission {
    /// The service_type.
    pub service: String,
    /// The source address.
    pub source: String,
    /// The destination address.
    pub destination: String,
    /// The requested validity; `None` for the default of the class.
    pub validity: Option<Micros>,
    /// Whether the message uses forward (transaction) mode, in which the response itself is the final answer.
    pub forward: bool,
    /// The requested receipts.
    pub wanted: ReceiptRequest,
    /// The ordering key, in classes that keep order.
    pub key: Option<String>,
    /// Whether the message was submitted before.
    pub again: bool,
    /// The data_coding.
    pub coding: u8,
    /// The feature bits of the esm_class byte (UDH), which are forwarded.
    pub esm: u8,
    /// The text or payload.
    pub body: Vec<u8>,
    /// The message identity, on the way from a sender of the service to a receiver.
    pub identity: Option<String>,
}

fn requested_receipts(r: RegisteredDelivery) -> ReceiptRequest {
    ReceiptRequest::from_code(u32::from(u8::from(r)))
}

impl Submission {
    /// Converts a submit_sm.
    ///
    /// # Errors
    /// Returns the status to answer with if the request is invalid.
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
            wanted: requested_receipts(sm.registered_delivery),
            coding: u8::from(sm.data_coding),
            body: sm.short_message().as_ref().to_vec(),
            ..Submission::default()
        };
        s.apply_esm_class(sm.esm_class)?;
        s.apply_tlvs(sm.tlvs())?;
        Ok(s)
    }

    /// Converts a data_sm.
    ///
    /// # Errors
    /// Returns the status to answer with if the request is invalid.
    pub fn from_data(sm: &DataSm) -> Result<Self, CommandStatus> {
        let mut s = Submission {
            service: sm.service_type.value().as_str().to_string(),
            source: sm.source_addr.as_str().to_string(),
            destination: sm.destination_addr.as_str().to_string(),
            wanted: requested_receipts(sm.registered_delivery),
            coding: u8::from(sm.data_coding),
            ..Submission::default()
        };
        s.apply_esm_class(sm.esm_class)?;
        s.apply_tlvs(sm.tlvs())?;
        Ok(s)
    }

    /// Returns whether a receipt is owed for an answer that was not sent as the response. In forward mode it
    /// always is, because the response was to be the answer and its session is gone.
    pub fn owes_receipt(&self, delivered: bool) -> bool {
        self.forward || self.wanted.receipt(delivered)
    }

    fn apply_esm_class(&mut self, class: EsmClass) -> Result<(), CommandStatus> {
        let byte = u8::from(class);
        // Bits 1-0 are the mode and 5-2 the message type, of which clients may submit only the default.
        if byte & 0b0011_1100 != 0 {
            return Err(CommandStatus::EsmeRinvesmclass);
        }
        self.forward = byte & 3 == 2;
        // Datagram mode has no receipts by definition.
        if byte & 3 == 1 {
            self.wanted = ReceiptRequest::Never;
        }
        self.esm = byte & 0b1100_0000;
        Ok(())
    }

    fn apply_tlvs(&mut self, tlvs: &[rusmpp_core::tlvs::owned::Tlv]) -> Result<(), CommandStatus> {
        for t in tlvs {
            match t.value() {
                Some(TlvValue::MessagePayload(p)) => {
                    if !self.body.is_empty() {
                        return Err(CommandStatus::EsmeRinvmsglen);
                    }
                    self.body = p.value.as_ref().to_vec();
                }
                // In seconds; it overrides validity_period, by the specification.
                Some(TlvValue::QosTimeToLive(s)) => self.validity = Some(Micros::from(*s) * 1_000_000),
                _ => {}
            }
        }
        if let Some(key) = tags::find(tlvs, tags::KEY) {
            let text = std::str::from_utf8(key).ok().filter(|k| (1..=64).contains(&k.len()));
            self.key = Some(text.ok_or(CommandStatus::EsmeRinvtlvval)?.to_string());
        }
        let identity = tags::find(tlvs, tags::MESSAGE_IDENTITY).and_then(|v| std::str::from_utf8(v).ok());
        self.identity = identity.map(str::to_string);
        self.again = tags::find(tlvs, tags::RESUBMITTED).is_some_and(|v| v == [1]);
        Ok(())
    }

    /// Returns the submit_sm for the message as a client writes it; `message` is its identity towards a
    /// receiver.
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
        let own_tlv = |number: u16, value: &[u8]| Tlv::Other {
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
            sm.push_tlv(own_tlv(tags::KEY, key.as_bytes()));
        }
        if self.again {
            sm.push_tlv(own_tlv(tags::RESUBMITTED, &[1]));
        }
        if let Some(id) = message {
            sm.push_tlv(own_tlv(tags::MESSAGE_IDENTITY, id.as_bytes()));
        }
        sm
    }
}

impl ReceiptRequest {
    /// Returns the code in registered_delivery.
    pub fn code(self) -> u32 {
        match self {
            ReceiptRequest::Never => 0,
            ReceiptRequest::Always => 1,
            ReceiptRequest::Failure => 2,
            ReceiptRequest::Success => 3,
        }
    }

    /// Returns the value for a code in registered_delivery.
    pub fn from_code(code: u32) -> Self {
        match code & 3 {
            1 => ReceiptRequest::Always,
            2 => ReceiptRequest::Failure,
            3 => ReceiptRequest::Success,
            _ => ReceiptRequest::Never,
        }
    }

    /// Returns whether a receipt is requested for a success (`delivered`) or a failure.
    pub fn receipt(self, delivered: bool) -> bool {
        match self {
            ReceiptRequest::Always => true,
            ReceiptRequest::Failure => !delivered,
            ReceiptRequest::Success => delivered,
            ReceiptRequest::Never => false,
        }
    }
}
