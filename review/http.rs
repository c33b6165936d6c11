//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Reads the head of a message; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        if fill(stream, buffer)? == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(Error::new(ErrorKind::UnexpectedEof, "truncated head"));
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Message {
        first,
        headers,
        body: Vec::new(),
    }))
}

/// Reads the body of a message whose head was read.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    message: &mut Message,
) -> Result<()> {
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let line = read_line(stream, buffer)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
            if size == 0 {
                while !read_line(stream, buffer)?.is_empty() {}
                return Ok(());
            }
            take(stream, buffer, size, &mut message.body)?;
            read_line(stream, buffer)?;
        }
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok());
    let is_response = message.first.starts_with("HTTP/");
    match length {
        Some(length) => take(stream, buffer, length, &mut message.body),
        None if is_response => {
            while fill(stream, buffer)? > 0 {}
            message.body.append(buffer);
            Ok(())
        }
        None => Ok(()),
    }
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<String> {
    loop {
        if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 2);
            return Ok(line);
        }
        if fill(stream, buffer)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "truncated line"));
        }
    }
}

fn take(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
    into: &mut Vec<u8>,
) -> Result<()> {
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "truncated body"));
        }
    }
    into.extend(buffer.drain(..length));
    Ok(())
}
