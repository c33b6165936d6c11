//! Cuts the bytes of an HTTP/1 connection into requests.
//!
//! Only the framing is read here: where the headers end and how long the body is. What cannot be
//! told apart with certainty ends the connection, so that no request hides inside another one.

use crate::server::MAX_PARSED_HEADERS;

/// Longest line with the size of a chunk or with a trailer.
const MAX_LINE: usize = 8 * 1024;

/// Why a connection cannot be cut further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The bytes are no request.
    Malformed,
    /// The headers are larger than allowed.
    HeadersTooLarge,
}

/// Result of cutting.
pub type Result<T> = std::result::Result<T, Fault>;

/// The line and headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Bytes up to and with the empty line.
    pub length: usize,
    /// What follows.
    pub body: Framing,
    /// Whether the connection ends after the answer.
    pub is_last: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// Reads the head at the start of `bytes`; `None` while it is not complete.
pub fn head(bytes: &[u8], most: usize) -> Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_PARSED_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > most => return Err(Fault::HeadersTooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadersTooLarge),
        Err(_) => return Err(Fault::Malformed),
    };
    if length > most {
        return Err(Fault::HeadersTooLarge);
    }
    let mut is_last = request.version == Some(0);
    let mut body = None;
    for header in request.headers.iter() {
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| Fault::Malformed)?;
            let text = text.trim();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            let framing = Framing::Length(length.ok_or(Fault::Malformed)?);
            if body.replace(framing).is_some_and(|other| other != framing) {
                return Err(Fault::Malformed);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || body.replace(Framing::Chunked).is_some() {
                return Err(Fault::Malformed);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            let words = header.value.split(|byte| *byte == b',');
            let mut words = words.map(<[u8]>::trim_ascii);
            is_last |= words.any(|word| word.eq_ignore_ascii_case(b"close"));
        }
    }
    Ok(Some(Head {
        length,
        body: body.unwrap_or(Framing::Length(0)),
        is_last,
    }))
}

/// A body of which the end is looked for.
#[derive(Clone, Debug)]
pub enum Rest {
    /// So many bytes are left.
    Length(u64),
    /// The size of a chunk comes next.
    Size,
    /// So many bytes of a chunk are left, the line end after it included.
    Chunk(u64),
    /// Trailers, up to an empty line.
    Trailers,
    /// Nothing is left.
    Done,
}

impl Rest {
    /// What is left after the head.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Size,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// How many of the `bytes` belong to the body; 0 when more are needed to tell.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize> {
        let mut taken = 0;
        loop {
            let bytes = &bytes[taken..];
            let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            match self {
                Self::Done => return Ok(taken),
                Self::Length(left) => {
                    let part = available.min(*left);
                    *left -= part;
                    taken += part as usize;
                    if *left > 0 {
                        return Ok(taken);
                    }
                    *self = Self::Done;
                }
                Self::Chunk(left) => {
                    let part = available.min(*left);
                    *left -= part;
                    taken += part as usize;
                    if *left > 0 {
                        return Ok(taken);
                    }
                    *self = Self::Size;
                }
                Self::Size => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        taken += length;
                        *self = Self::Trailers;
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        taken += length;
                        *self = Self::Chunk(size.checked_add(2).ok_or(Fault::Malformed)?);
                    }
                    Ok(httparse::Status::Partial) if bytes.len() > MAX_LINE => {
                        return Err(Fault::Malformed);
                    }
                    Ok(httparse::Status::Partial) => return Ok(taken),
                    Err(_) => return Err(Fault::Malformed),
                },
                Self::Trailers => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        if bytes.len() > MAX_LINE {
                            return Err(Fault::Malformed);
                        }
                        return Ok(taken);
                    };
                    let is_empty = bytes[..end].trim_ascii().is_empty();
                    taken += end + 1;
                    if is_empty {
                        *self = Self::Done;
                    }
                }
            }
        }
    }
}
