//! Message framing of HTTP/1 connections.
//!
//! Input is the byte stream of a connection; the result is where the head of a request ends and where
//! its body ends. Ambiguous framing, such as two different lengths, is an error that ends the
//! connection: this prevents request smuggling. Bytes that hyper refuses as the framing of a body are
//! refused here too, since the next request would start at another place than hyper finds it.

use crate::server::MAX_PARSED_HEADERS;

/// Maximum length of a chunk-size line, and of all trailers together.
pub const MAX_LINE_BYTES: usize = 8 * 1024;

/// End of a line.
const CRLF: &[u8] = b"\r\n";

/// Maximum length of a body: hyper reserves the two larger numbers.
const MAX_BODY_BYTES: u64 = u64::MAX - 2;

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
            let encoding = Encoding::Length(parse_length(header.value)?);
            if body
                .replace(encoding)
                .is_some_and(|other| other != encoding)
            {
                return Err(Error::Malformed);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            let is_allowed = request.version == Some(1);
            if !is_chunked || !is_allowed || body.replace(Encoding::Chunked).is_some() {
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

fn parse_length(value: &[u8]) -> Result<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return Err(Error::Malformed);
    }
    let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
    let length = text.parse().map_err(|_| Error::Malformed)?;
    if length > MAX_BODY_BYTES {
        return Err(Error::Malformed);
    }
    Ok(length)
}

/// State machine that finds the end of a body in a byte stream.
#[derive(Clone, Debug)]
pub enum Decoder {
    /// This many bytes of a body with `Content-Length` remain.
    Length(u64),
    /// A chunk-size line comes next.
    ChunkSize,
    /// This many bytes of a chunk remain.
    ChunkData(u64),
    /// The CRLF after a chunk comes next.
    ChunkEnd,
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
                    *self = Self::ChunkEnd;
                }
                Self::ChunkEnd => {
                    if !bytes.starts_with(CRLF) {
                        let is_partial = CRLF.starts_with(bytes);
                        return is_partial.then_some(taken).ok_or(Error::Malformed);
                    }
                    taken += CRLF.len();
                    *self = Self::ChunkSize;
                }
                Self::ChunkSize => {
                    let Some((length, size)) = parse_chunk_size(bytes)? else {
                        return Ok(taken);
                    };
                    taken += length;
                    *self = if size == 0 {
                        Self::Trailers
                    } else {
                        Self::ChunkData(size)
                    };
                }
                Self::Trailers => {
                    let Some(length) = parse_trailers(bytes)? else {
                        return Ok(taken);
                    };
                    taken += length;
                    *self = Self::Done;
                }
            }
        }
    }
}

/// Length of the line at the start of `bytes` with its CRLF, at most `limit`; `None` while it is
/// incomplete. A bare CR or LF, which others may take for the end of the line, is an error.
fn line_length(bytes: &[u8], limit: usize) -> Result<Option<usize>> {
    let window = &bytes[..bytes.len().min(limit)];
    let Some(at) = window.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
        return match bytes.len() > limit {
            true => Err(Error::Malformed),
            false => Ok(None),
        };
    };
    if bytes[at..].starts_with(CRLF) && at + CRLF.len() <= limit {
        return Ok(Some(at + CRLF.len()));
    }
    let is_partial = CRLF.starts_with(&bytes[at..]);
    is_partial.then_some(None).ok_or(Error::Malformed)
}

/// Parses a chunk-size line to its length and the size of the chunk; `None` while it is incomplete.
fn parse_chunk_size(bytes: &[u8]) -> Result<Option<(usize, u64)>> {
    // httparse takes a line without any digit for size 0.
    if bytes
        .first()
        .is_some_and(|first| !first.is_ascii_hexdigit())
    {
        return Err(Error::Malformed);
    }
    let length = line_length(bytes, MAX_LINE_BYTES)?;
    match httparse::parse_chunk_size(&bytes[..length.unwrap_or(bytes.len())]) {
        Ok(httparse::Status::Complete(parsed)) => Ok(Some(parsed)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Error::Malformed),
    }
}

/// Parses trailers to their length with the empty line that ends them; `None` while they are
/// incomplete.
fn parse_trailers(bytes: &[u8]) -> Result<Option<usize>> {
    let mut end = 0;
    loop {
        let Some(length) = line_length(&bytes[end..], MAX_LINE_BYTES - end)? else {
            return Ok(None);
        };
        end += length;
        if length == CRLF.len() {
            break;
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_PARSED_HEADERS];
    match httparse::parse_headers(&bytes[..end], &mut headers) {
        Ok(httparse::Status::Complete((length, _))) if length == end => Ok(Some(end)),
        _ => Err(Error::Malformed),
    }
}
