//! A client at a front, and the sender's part in it: who asks is let in.

use super::Dialect;
use bytes::BytesMut;
use heronroute_engine::Micros;
use heronroute_engine::front::{AdmittedSession, ClientRequest, Front, RejectReason};

/// A connection as seen from both its ends.
pub struct Client<'a> {
    /// What it speaks.
    pub dialect: &'a dyn Dialect,
    /// Its front.
    pub front: Box<dyn Front>,
    /// All that the front has written.
    pub out: BytesMut,
    /// All that it has asked.
    pub asks: Vec<ClientRequest>,
    /// The time.
    pub now: Micros,
    /// Whoever asks is let in.
    pub admits: bool,
}

impl<'a> Client<'a> {
    /// A new connection.
    pub fn new(dialect: &'a dyn Dialect) -> Self {
        let now = 1_000_000;
        Client {
            dialect,
            front: dialect.front(now),
            out: BytesMut::new(),
            asks: Vec::new(),
            now,
            admits: true,
        }
    }

    /// One that was let in and is ready for answers.
    ///
    /// # Errors
    /// Where it was not let in.
    pub fn entered(dialect: &'a dyn Dialect) -> Result<Self, String> {
        let mut c = Client::new(dialect);
        if let Some(octets) = dialect.enter() {
            c.give(&octets);
            if !c.front.entered() {
                return Err(format!("it was not let in: {:?}", c.asks));
            }
        }
        c.give(&dialect.settle());
        Ok(c)
    }

    /// Octets of the client.
    pub fn give(&mut self, octets: &[u8]) {
        let from = self.asks.len();
        self.front.receive(self.now, self.now, octets, &mut self.out, &mut self.asks);
        let enter = self.asks[from..].iter().find_map(|a| match a {
            ClientRequest::Admit { token, .. } => Some(*token),
            _ => None,
        });
        if let Some(token) = enter.filter(|_| self.admits) {
            self.front.admitted(self.now, token, Ok(AdmittedSession::default()), &mut self.out);
            // What came behind the request is looked at now.
            self.give(b"");
        }
    }

    /// Time passes up to here.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        self.front.tick(now, &mut self.out, &mut self.asks);
    }

    /// Tokens of the messages handed in, in order.
    pub fn tokens(&self) -> Vec<u32> {
        let token = |a: &ClientRequest| match a {
            ClientRequest::Submit { token, .. } | ClientRequest::SubmitForTenant { token, .. } => {
                Some(*token)
            }
            _ => None,
        };
        self.asks.iter().filter_map(token).collect()
    }

    /// Whether the connection is over.
    pub fn over(&self) -> bool {
        self.asks.iter().any(|a| matches!(a, ClientRequest::Over(_)))
    }

    /// A message was taken on.
    pub fn accept(&mut self, token: u32) {
        self.front.accepted(token, "0000000001", &mut self.out);
    }

    /// A message is refused.
    pub fn refuse(&mut self, token: u32) {
        self.front.refused(token, RejectReason::Rate, &mut self.out);
    }

    /// The answers to hand-ins so far.
    pub fn answers(&self) -> Vec<(u16, bool)> {
        self.dialect.answers(&self.out)
    }
}

/// Whether it asks for something of a client that is in.
pub fn wants(ask: &ClientRequest) -> bool {
    !matches!(ask, ClientRequest::Admit { .. } | ClientRequest::Over(_))
}
