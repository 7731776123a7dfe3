//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Header names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name);
        decode(pair.map_or("", |(_, value)| value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Whether the peer has closed the connection in order. A process that closes a connection before it
    /// has read all bytes resets it instead.
    pub has_closed: bool,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new(), has_closed: false }
    }

    /// Reads more bytes. Returns false at the end of the connection or of the time limit.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 << 10];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    self.has_closed = true;
                    return false;
                }
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Option<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message. `to_end` is set for answers, which may end with the connection.
    pub fn body(&mut self, message: &mut Message, to_end: bool) {
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let Some(line) = self.line() else { return };
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return };
                let Some(mut bytes) = self.take(size + 2) else {
                    message.body.append(&mut self.buffer);
                    return;
                };
                bytes.truncate(size);
                message.body.extend(bytes);
                if size == 0 {
                    message.is_complete = true;
                    return;
                }
            }
        }
        match message.header("content-length").parse::<usize>() {
            Ok(count) => match self.take(count) {
                Some(bytes) => {
                    message.body = bytes;
                    message.is_complete = true;
                }
                None => message.body.append(&mut self.buffer),
            },
            Err(_) if to_end => {
                while self.fill() {}
                message.body.append(&mut self.buffer);
                message.is_complete = true;
            }
            Err(_) => message.is_complete = true,
        }
    }

    pub fn message(&mut self, to_end: bool) -> Option<Message> {
        let mut message = self.head()?;
        self.body(&mut message, to_end);
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Listens on a free port of `ip` and hands each connection to `handle` on a thread of its own.
pub fn listen(ip: &str, handle: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
    address
}

/// The end of one call.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The answer; its body may be cut short.
    Answer(Message),
    /// The connection ended, or nothing came in time.
    NoAnswer(&'static str),
}

impl CallEnd {
    pub fn status(&self) -> u16 {
        match self {
            CallEnd::Answer(message) => message.status(),
            CallEnd::NoAnswer(_) => 0,
        }
    }
    /// Returns what the client has seen, for the record.
    pub fn seen(&self) -> String {
        match self {
            CallEnd::Answer(message) if message.is_complete => format!("{}", message.status()),
            CallEnd::Answer(message) => format!("{} cut short", message.status()),
            CallEnd::NoAnswer(reason) => (*reason).to_owned(),
        }
    }
}

/// Sends a request over a connection, or over a new one, and reads the answer.
pub fn call(
    address: SocketAddr,
    kept: &mut Option<Conn>,
    first: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> CallEnd {
    let started = Instant::now();
    if kept.is_none() {
        match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => *kept = Some(Conn::new(stream)),
            Err(_) => return CallEnd::NoAnswer("no connection"),
        }
    }
    let Some(conn) = kept.as_mut() else { return CallEnd::NoAnswer("no connection") };
    let mut text = format!("{first} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let _ = conn.stream.set_read_timeout(Some(limit));
    if !conn.send(&bytes) {
        *kept = None;
        return CallEnd::NoAnswer("connection closed while sending");
    }
    match conn.message(true) {
        Some(message) => {
            if !message.is_complete || message.header("connection").contains("close") {
                *kept = None;
            }
            CallEnd::Answer(message)
        }
        None => {
            *kept = None;
            match started.elapsed() >= limit {
                true => CallEnd::NoAnswer("no answer in time"),
                false => CallEnd::NoAnswer("connection closed without an answer"),
            }
        }
    }
}
