//! How a client of the platform speaks.

use super::{Bad, Dialect};
use heronroute_engine::Micros;
use heronroute_engine::front::{Front, RespFront};

/// RESP2, with the platform's one command.
pub struct Resp;

impl Dialect for Resp {
    fn front(&self, now: Micros) -> Box<dyn Front> {
        Box::new(RespFront::new(now))
    }

    fn enter(&self) -> Option<Vec<u8>> {
        None
    }

    fn settle(&self) -> Vec<u8> {
        Vec::new()
    }

    fn hand_in(&self, n: u16) -> Vec<u8> {
        let id = format!("m{n}");
        let args = ["OUT.ADD", "k", &id, "c=n,t=a,d=8000,dest=7", "body"];
        let strings: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
        format!("*5\r\n{strings}").into_bytes()
    }

    fn ping(&self) -> Vec<u8> {
        b"*1\r\n$4\r\nPING\r\n".to_vec()
    }

    fn bad(&self) -> Vec<Bad> {
        let texts = [
            "hello\r\n",
            "*x\r\n",
            "*1\r\n$60000000\r\nxxxx",
            "*99999\r\n",
            "*1\r\n:1\r\n",
            "*1\r\n$4\r\nPINGxx",
        ];
        let bad = |t: &str| Bad { entered: false, octets: t.as_bytes().to_vec(), words: b"-ERR ".to_vec() };
        texts.into_iter().map(bad).collect()
    }

    fn answers(&self, out: &[u8]) -> Vec<(u16, bool)> {
        // They carry no number: they come in the order of the requests.
        let text = String::from_utf8_lossy(out).into_owned();
        let lines = text.lines().filter(|l| *l != "+PONG");
        lines.zip(1..).map(|(line, n)| (n, line == "+OK")).collect()
    }

    fn acknowledge(&self, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn at_once(&self) -> usize {
        32
    }
}
