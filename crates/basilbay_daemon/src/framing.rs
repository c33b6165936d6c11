//! Cuts the bytes of an HTTP/1 connection into requests.
//!
//! Only the framing is read here: where the headers end and how long the body is. What cannot be
//! told apart with certainty ends the connection, so that no request hides inside another one.

use crate::server::MAX_PARSED_HEADERS;

/// Longest line with the size of a chunk or with a trailer.
const MAX_LINE: usize = 8 * 1024;

/// Why a connection cannot be cut further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The bytes are no request.
    Malformed,
    /// The headers are larger than allowed.
    HeadersTooLarge,
}

/// Result of cutting.
pub type Result<T> = std::result::Result<T, Error>;

/// The line and headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Bytes up to and with the empty line.
    pub length: usize,
    /// What follows.
    pub body: Encoding,
    /// Whether the connection ends after the answer.
    pub closes: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// Reads the head at the start of `bytes`; `None` while it is not complete.
pub fn parse_head(bytes: &[u8], most: usize) -> Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_PARSED_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > most => return Err(Error::HeadersTooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadersTooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    if length > most {
        return Err(Error::HeadersTooLarge);
    }
    let mut closes = request.version == Some(0);
    let mut body = None;
    for header in request.headers.iter() {
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| Error::Malformed)?;
            let text = text.trim();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            let framing = Encoding::Length(length.ok_or(Error::Malformed)?);
            if body.replace(framing).is_some_and(|other| other != framing) {
                return Err(Error::Malformed);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || body.replace(Encoding::Chunked).is_some() {
                return Err(Error::Malformed);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            let words = header.value.split(|byte| *byte == b',');
            let mut words = words.map(<[u8]>::trim_ascii);
            closes |= words.any(|word| word.eq_ignore_ascii_case(b"close"));
        }
    }
    Ok(Some(Head {
        length,
        body: body.unwrap_or(Encoding::Length(0)),
        closes,
    }))
}

/// A body of which the end is looked for.
#[derive(Clone, Debug)]
pub enum Decoder {
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

impl Decoder {
    /// What is left after the head.
    pub fn new(framing: Encoding) -> Self {
        match framing {
            Encoding::Length(0) => Self::Done,
            Encoding::Length(length) => Self::Length(length),
            Encoding::Chunked => Self::Size,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// How many of the `bytes` belong to the body; 0 when more are needed to tell.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<usize> {
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
                        *self = Self::Chunk(size.checked_add(2).ok_or(Error::Malformed)?);
                    }
                    Ok(httparse::Status::Partial) if bytes.len() > MAX_LINE => {
                        return Err(Error::Malformed);
                    }
                    Ok(httparse::Status::Partial) => return Ok(taken),
                    Err(_) => return Err(Error::Malformed),
                },
                Self::Trailers => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        if bytes.len() > MAX_LINE {
                            return Err(Error::Malformed);
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
