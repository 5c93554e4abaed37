//! The protobuf body of a call that carries several messages.

/// The content type of a batch.
pub const BATCH_TYPE: &str = "application/x-protobuf; messageType=\"heronroute.receiver.Batch\"";

/// Several messages in one call, which share its outcome.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// The messages, in order.
    #[prost(message, repeated, tag = "1")]
    pub message: Vec<Item>,
}

/// One message of a batch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    /// The id of the message, which is the same for each attempt. The receiver drops repeats within the
    /// class's window.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The class, in the form of its service_type.
    #[prost(string, tag = "2")]
    pub class: String,
    /// The source address.
    #[prost(string, tag = "3")]
    pub source: String,
    /// The destination address.
    #[prost(string, tag = "4")]
    pub destination: String,
    /// The ordering key, in classes that keep order.
    #[prost(string, tag = "5")]
    pub key: String,
    /// The body.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
}
