//! A small SMPP 3.4 client: binds, submits, queries.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub command: u32,
    pub status: u32,
    pub sequence: u32,
    pub body: Vec<u8>,
}

pub struct Client {
    stream: TcpStream,
    sequence: u32,
}

fn text(out: &mut Vec<u8>, value: &str) {
    out.extend(value.as_bytes());
    out.push(0);
}

impl Client {
    /// Binds as transceiver.
    pub fn bind(address: SocketAddr, system_id: &str, password: &str) -> Result<Client, String> {
        let stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
        _ = stream.set_nodelay(true);
        _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut client = Client { stream, sequence: 0 };
        let mut body = Vec::new();
        text(&mut body, system_id);
        text(&mut body, password);
        text(&mut body, "");
        body.extend([0x34, 0, 0, 0]);
        let bound = client.request(0x0000_0009, &body)?;
        if bound.status == 0 { Ok(client) } else { Err(format!("bind refused: {:#x}", bound.status)) }
    }

    fn request(&mut self, command: u32, body: &[u8]) -> Result<Response, String> {
        self.sequence += 1;
        let sequence = self.sequence;
        let length = 16 + body.len() as u32;
        let mut pdu = Vec::new();
        [length, command, 0, sequence].iter().for_each(|n| pdu.extend(n.to_be_bytes()));
        pdu.extend(body);
        self.stream.write_all(&pdu).map_err(|e| e.to_string())?;
        loop {
            let found = self.read()?;
            if found.command == command | 0x8000_0000 && found.sequence == sequence {
                return Ok(found);
            }
            if found.command & 0x8000_0000 == 0 {
                // enquire_link and others: answered as they are.
                let mut answer = Vec::new();
                [16, found.command | 0x8000_0000, 0, found.sequence]
                    .iter()
                    .for_each(|n: &u32| answer.extend(n.to_be_bytes()));
                self.stream.write_all(&answer).map_err(|e| e.to_string())?;
            }
        }
    }

    fn read(&mut self) -> Result<Response, String> {
        let mut head = [0; 16];
        self.stream.read_exact(&mut head).map_err(|e| e.to_string())?;
        let number = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let mut body = vec![0; (number(0) as usize).saturating_sub(16)];
        self.stream.read_exact(&mut body).map_err(|e| e.to_string())?;
        Ok(Response { command: number(4), status: number(8), sequence: number(12), body })
    }

    /// Submits a message without asking for a receipt. Returns the status and the message_id.
    pub fn submit(&mut self, class: &str, to: &str, message: &str) -> Result<(u32, String), String> {
        let mut body = Vec::new();
        text(&mut body, class);
        body.extend([0, 0]);
        text(&mut body, "");
        body.extend([0, 0]);
        text(&mut body, to);
        // esm_class, protocol_id, priority_flag
        body.extend([0, 0, 0]);
        text(&mut body, "");
        text(&mut body, "");
        // registered_delivery, replace_if_present_flag, data_coding, sm_default_msg_id
        body.extend([0, 0, 0, 0]);
        body.push(message.len() as u8);
        body.extend(message.as_bytes());
        let found = self.request(0x0000_0004, &body)?;
        let id = found.body.split(|b| *b == 0).next().unwrap_or_default();
        Ok((found.status, String::from_utf8_lossy(id).into_owned()))
    }

    /// Asks for the state of a message. Returns the status and the message_state.
    pub fn query(&mut self, id: &str) -> Result<(u32, u8), String> {
        let mut body = Vec::new();
        text(&mut body, id);
        body.extend([0, 0]);
        text(&mut body, "");
        let found = self.request(0x0000_0003, &body)?;
        // message_id, final_date, message_state, error_code
        let state = found.body.iter().rev().nth(1).copied().unwrap_or(0);
        Ok((found.status, state))
    }
}
