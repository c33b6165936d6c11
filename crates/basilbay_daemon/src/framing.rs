//! Message framing of HTTP/1 connections.
//!
//! Input is the byte stream of a connection; the result is where the head of a request ends and where
//! its body ends. Ambiguous framing, such as two different lengths, is an error that ends the
//! connection: this prevents request smuggling.

use crate::server::MAX_PARSED_HEADERS;

/// Maximum length of a chunk-size line or a trailer line.
const MAX_LINE_BYTES: usize = 8 * 1024;

/// Why the next request on a connection cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not a valid request, or its framing is ambiguous.
    Malformed,
    /// The head exceeds the limits on its size or on the number of headers.
    HeadersTooLarge,
}

/// Result of parsing the framing.
pub type Result<T> = std::result::Result<T, Error>;

/// Framing information from the request line and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes, including the empty line that ends it.
    pub length: usize,
    /// Encoding of the body.
    pub body: Encoding,
    /// Whether the connection closes after the response.
    pub closes: bool,
    /// Whether the request is of HTTP/1.0.
    pub is_http10: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// `Content-Length`: the body has this many bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`: the body ends with the last chunk and the trailers.
    Chunked,
}

/// Parses the head at the start of `bytes`, which may take up to `limit` bytes; `None` while it is
/// incomplete.
pub fn parse_head(bytes: &[u8], limit: usize) -> Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_PARSED_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > limit => return Err(Error::HeadersTooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadersTooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    if length > limit {
        return Err(Error::HeadersTooLarge);
    }
    // hyper would answer a target that is no URI by itself and close, with other requests in flight.
    if request
        .path
        .is_none_or(|path| path.parse::<http::Uri>().is_err())
    {
        return Err(Error::Malformed);
    }
    let is_http10 = request.version == Some(0);
    let mut closes = is_http10;
    let mut body = None;
    for header in request.headers.iter() {
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| Error::Malformed)?;
            let text = text.trim();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            let encoding = Encoding::Length(length.ok_or(Error::Malformed)?);
            if body
                .replace(encoding)
                .is_some_and(|other| other != encoding)
            {
                return Err(Error::Malformed);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || body.replace(Encoding::Chunked).is_some() {
                return Err(Error::Malformed);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            let options = header.value.split(|byte| *byte == b',');
            let mut options = options.map(<[u8]>::trim_ascii);
            closes |= options.any(|option| option.eq_ignore_ascii_case(b"close"));
        }
    }
    Ok(Some(Head {
        length,
        body: body.unwrap_or(Encoding::Length(0)),
        closes,
        is_http10,
    }))
}

/// State machine that finds the end of a body in a byte stream.
#[derive(Clone, Debug)]
pub enum Decoder {
    /// This many bytes of a body with `Content-Length` remain.
    Length(u64),
    /// A chunk-size line comes next.
    ChunkSize,
    /// This many bytes of a chunk remain, including the CRLF after it.
    ChunkData(u64),
    /// Trailers up to an empty line.
    Trailers,
    /// The body is complete.
    Done,
}

impl Decoder {
    /// Creates a decoder for the bytes that follow the head.
    pub fn new(encoding: Encoding) -> Self {
        match encoding {
            Encoding::Length(0) => Self::Done,
            Encoding::Length(length) => Self::Length(length),
            Encoding::Chunked => Self::ChunkSize,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Consumes body bytes and returns how many of `bytes` they are; 0 if more bytes are needed to
    /// determine that.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<usize> {
        let mut taken = 0;
        loop {
            let bytes = &bytes[taken..];
            let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            match self {
                Self::Done => return Ok(taken),
                Self::Length(remaining) => {
                    let part = available.min(*remaining);
                    *remaining -= part;
                    taken += part as usize;
                    if *remaining > 0 {
                        return Ok(taken);
                    }
                    *self = Self::Done;
                }
                Self::ChunkData(remaining) => {
                    let part = available.min(*remaining);
                    *remaining -= part;
                    taken += part as usize;
                    if *remaining > 0 {
                        return Ok(taken);
                    }
                    *self = Self::ChunkSize;
                }
                Self::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        taken += length;
                        *self = Self::Trailers;
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        taken += length;
                        *self = Self::ChunkData(size.checked_add(2).ok_or(Error::Malformed)?);
                    }
                    Ok(httparse::Status::Partial) if bytes.len() > MAX_LINE_BYTES => {
                        return Err(Error::Malformed);
                    }
                    Ok(httparse::Status::Partial) => return Ok(taken),
                    Err(_) => return Err(Error::Malformed),
                },
                Self::Trailers => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        if bytes.len() > MAX_LINE_BYTES {
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
