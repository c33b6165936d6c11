//! Framing of arbitrary byte streams: the same requests as hyper reads, wherever the stream is cut,
//! within the limits on buffered bytes.
//! `PROPTEST_CASES` sets the number of cases; the seed is fixed in `.cargo/config.toml`.

use std::convert::Infallible;
use std::error::Error as _;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};

use basilbay_daemon::framing::{Decoder, MAX_LINE_BYTES, parse_head};
use basilbay_daemon::server::MAX_PARSED_HEADERS;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const MAX_HEADER_BYTES: usize = 1024;

/// Size of the in-memory connections; no generated stream and no sum of responses exceeds it.
const PIPE_BYTES: usize = 256 * 1024;

/// How a byte stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// After a complete request.
    Complete,
    /// Within a request.
    Incomplete,
    /// At an invalid or oversized request.
    Refused,
}

/// A byte stream split by the framing.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Split {
    /// Bytes of each complete request.
    requests: Vec<Vec<u8>>,
    end: End,
    /// Whether the last request closes the connection, so that what follows is not split.
    closes: bool,
}

/// Splits a stream that arrives in parts of these sizes, in turn, as a connection does.
fn split(stream: &[u8], sizes: &[usize]) -> Split {
    let mut sizes = sizes.iter().cycle();
    let mut rest = stream;
    let mut buffer: Vec<u8> = Vec::new();
    let mut current: Vec<u8> = Vec::new();
    let mut body: Option<(Decoder, bool)> = None;
    let mut result = Split {
        requests: Vec::new(),
        end: End::Refused,
        closes: false,
    };
    loop {
        loop {
            let closes = match &mut body {
                Some((decoder, closes)) => {
                    let Ok(taken) = decoder.decode(&buffer) else {
                        return result;
                    };
                    current.extend(buffer.drain(..taken));
                    if !decoder.is_done() {
                        assert!(buffer.len() <= MAX_LINE_BYTES, "{} bytes", buffer.len());
                        break;
                    }
                    *closes
                }
                None if buffer.is_empty() => break,
                None => {
                    let Ok(head) = parse_head(&buffer, MAX_HEADER_BYTES) else {
                        return result;
                    };
                    let Some(head) = head else {
                        assert!(buffer.len() <= MAX_HEADER_BYTES, "{} bytes", buffer.len());
                        break;
                    };
                    current.extend(buffer.drain(..head.length));
                    body = Some((Decoder::new(head.body), head.closes));
                    continue;
                }
            };
            body = None;
            result.requests.push(std::mem::take(&mut current));
            if closes {
                result.end = End::Complete;
                result.closes = true;
                return result;
            }
        }
        if rest.is_empty() {
            // Empty lines before a request belong to none.
            let is_empty = buffer.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
            result.end = match body.is_none() && is_empty {
                true => End::Complete,
                false => End::Incomplete,
            };
            return result;
        }
        let size = sizes.next().map_or(rest.len(), |size| *size);
        let (part, later) = rest.split_at(size.min(rest.len()));
        buffer.extend(part);
        rest = later;
    }
}

/// What hyper reads from a byte stream.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Reading {
    /// Request line, headers and body of each complete request.
    requests: Vec<String>,
    /// Whether the last head is complete and its body is not.
    has_partial: bool,
    end: End,
}

fn read_with_hyper(stream: &[u8]) -> Reading {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        let (mut near, far) = tokio::io::duplex(PIPE_BYTES);
        near.write_all(stream).await.expect("the stream fits");
        near.shutdown().await.expect("the pipe is open");
        let reading = Reading {
            requests: Vec::new(),
            has_partial: false,
            end: End::Complete,
        };
        let reading = Arc::new(Mutex::new(reading));
        let service = service_fn(|request: Request<Incoming>| {
            let reading = reading.clone();
            async move {
                let (head, body) = request.into_parts();
                reading.lock().expect("no panic").has_partial = true;
                let body = body.collect().await;
                let mut reading = reading.lock().expect("no panic");
                match body {
                    Ok(body) => {
                        let body = body.to_bytes();
                        let text = format!("{head:?} {body:?}");
                        reading.requests.push(text);
                        reading.has_partial = false;
                    }
                    Err(error) => {
                        let cause = error.source().and_then(|it| it.downcast_ref());
                        let is_end = cause.is_some_and(|cause: &std::io::Error| {
                            cause.kind() == ErrorKind::UnexpectedEof
                        });
                        reading.end = match is_end {
                            true => End::Incomplete,
                            false => End::Refused,
                        };
                    }
                }
                Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
            }
        });
        let connection = http1::Builder::new()
            .half_close(true)
            .max_headers(MAX_PARSED_HEADERS)
            .serve_connection(TokioIo::new(far), service);
        let ended = connection.await;
        let mut rest = Vec::new();
        near.read_to_end(&mut rest).await.expect("the responses");
        let mut reading = reading.lock().expect("no panic").clone();
        if let Err(error) = ended
            && reading.end == End::Complete
        {
            reading.end = match error.is_incomplete_message() {
                true => End::Incomplete,
                false => End::Refused,
            };
        }
        reading
    })
}

/// A request as the standard allows it.
fn valid_request() -> impl Strategy<Value = Vec<u8>> {
    let head = (
        select(vec!["GET", "POST", "PUT", "DELETE", "M-SEARCH"]),
        "/[a-z0-9/?=%&._-]{0,20}",
        prop::collection::vec(("x-[a-z-]{1,10}", "[!-~ \t]{0,20}"), 0..4),
    );
    let extension = select(vec!["", ";a", ";a=b", " ; a=\"b;c\"", ";x=\u{e9}", " "]);
    let chunk = (
        prop::collection::vec(any::<u8>(), 1..40),
        extension.clone(),
        any::<bool>(),
    );
    let chunks = (
        prop::collection::vec(chunk, 0..4),
        extension,
        prop::collection::vec(("x-[a-z]{1,6}", "[!-~ ]{0,10}"), 0..3),
    );
    let body = prop_oneof![
        Just(("\r\n".to_owned(), Vec::new())),
        (prop::collection::vec(any::<u8>(), 0..60), any::<bool>()).prop_map(|(body, twice)| {
            let line = format!("Content-Length: {}\r\n", body.len());
            (line.repeat(1 + usize::from(twice)) + "\r\n", body)
        }),
        chunks.prop_map(|(chunks, last, trailers)| {
            let mut body = Vec::new();
            for (data, extension, is_upper) in chunks {
                let size = if is_upper {
                    format!("0{:X}{extension}\r\n", data.len())
                } else {
                    format!("{:x}{extension}\r\n", data.len())
                };
                body.extend(size.into_bytes());
                body.extend(data);
                body.extend(b"\r\n");
            }
            body.extend(format!("0{last}\r\n").into_bytes());
            for (name, value) in trailers {
                body.extend(format!("{name}: {value}\r\n").into_bytes());
            }
            body.extend(b"\r\n");
            ("transfer-encoding: Chunked\r\n\r\n".to_owned(), body)
        }),
    ];
    (head, body).prop_map(|((method, path, headers), (framing, body))| {
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nhost: a\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(framing.into_bytes());
        bytes.extend(body);
        bytes
    })
}

/// Parts that change the framing of a stream into which they are inserted.
const PARTS: [&[u8]; 30] = [
    b"\r",
    b"\n",
    b"\r\n",
    b"\r\n\r\n",
    b"\n\n",
    b" ",
    b"\t",
    b"\0",
    b"\x0b",
    b"\xc2\xa0",
    b":",
    b";",
    b",",
    b"0",
    b"5",
    b"f",
    b"g",
    b"+",
    b"0\r\n\r\n",
    b"0\r\n",
    b" \r\n",
    b"5\r\nhello\r\n",
    b"FFFFFFFFFFFFFFFE\r\n",
    b"\r\nContent-Length: 3",
    b"\r\nContent-Length: 18446744073709551615",
    b"\r\nTransfer-Encoding: chunked",
    b"\r\nTransfer-Encoding: identity",
    b"\r\nConnection: close",
    b"HTTP/1.0",
    b"GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n",
];

/// A change of a stream.
#[derive(Clone, Debug)]
enum Mutation {
    Insert(Index, &'static [u8]),
    /// Inserts a part after an end of a line, where framing is decided.
    InsertAtLine(Index, &'static [u8]),
    Replace(Index, u8),
    Remove(Index, usize),
    /// Repeats a range at its end.
    Repeat(Index, usize),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = any::<Index>;
    let part = || select(PARTS.to_vec());
    prop_oneof![
        (at(), part()).prop_map(|(at, part)| Mutation::Insert(at, part)),
        (at(), part()).prop_map(|(at, part)| Mutation::InsertAtLine(at, part)),
        (at(), any::<u8>()).prop_map(|(at, byte)| Mutation::Replace(at, byte)),
        (at(), 1..20_usize).prop_map(|(at, count)| Mutation::Remove(at, count)),
        (at(), 1..40_usize).prop_map(|(at, count)| Mutation::Repeat(at, count)),
    ]
}

fn mutate(stream: &mut Vec<u8>, mutation: &Mutation) {
    if stream.is_empty() {
        return;
    }
    match mutation {
        Mutation::Insert(at, part) => {
            let at = at.index(stream.len());
            stream.splice(at..at, part.iter().copied());
        }
        Mutation::InsertAtLine(at, part) => {
            let lines = stream.iter().enumerate();
            let lines: Vec<usize> = lines
                .filter(|(_, byte)| **byte == b'\r' || **byte == b'\n')
                .map(|(at, _)| at)
                .collect();
            if lines.is_empty() {
                return;
            }
            let line = lines[at.index(lines.len())];
            let at = line + usize::from(stream[line] == b'\n');
            stream.splice(at..at, part.iter().copied());
        }
        Mutation::Replace(at, byte) => {
            let at = at.index(stream.len());
            stream[at] = *byte;
        }
        Mutation::Remove(at, count) => {
            let at = at.index(stream.len());
            let end = (at + count).min(stream.len());
            stream.drain(at..end);
        }
        Mutation::Repeat(at, count) => {
            let at = at.index(stream.len());
            let end = (at + count).min(stream.len());
            let range = stream[at..end].to_vec();
            stream.splice(end..end, range);
        }
    }
}

/// Checks that each part of a split stream is the request that hyper reads there.
fn check_against_hyper(stream: &[u8]) -> Result<(), TestCaseError> {
    let ours = split(stream, &[stream.len().max(1)]);
    let theirs = read_with_hyper(stream);
    for (n, request) in ours.requests.iter().enumerate() {
        let alone = read_with_hyper(request);
        if alone.requests.is_empty() {
            // Its head is refused by hyper only, on both connections, and nothing is served after it.
            prop_assert!(!alone.has_partial, "body of {n}: {alone:?}");
            prop_assert_eq!(alone.end, End::Refused);
            prop_assert_eq!(theirs.requests.len(), n);
            prop_assert_eq!(theirs.end, End::Refused);
            return Ok(());
        }
        prop_assert_eq!(alone.requests.len(), 1, "{:?}", alone);
        prop_assert_eq!(alone.end, End::Complete);
        prop_assert_eq!(theirs.requests.get(n), alone.requests.first(), "{}", n);
    }
    // A refusal and a close end the connection, so that nothing is split after them.
    if ours.end != End::Refused && !ours.closes {
        prop_assert_eq!(theirs.requests.len(), ours.requests.len(), "{:?}", theirs);
        prop_assert_eq!(theirs.end, ours.end, "{:?}", theirs);
    }
    Ok(())
}

/// Guards against the streams that were once split differently than hyper reads them.
#[test]
fn smuggling_attempts() {
    let next = "GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n";
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut failures = Vec::new();
    for body in [
        "\r\n\r\n",
        ";a\r\n\r\n",
        "5\r\nhelloXX0\r\n\r\n",
        "5\r\nhello\n\n0\r\n\r\n",
        "5;a\nb\r\nhello\r\n0\r\n\r\n",
        "0\r\n \r\n",
        "0\r\n\n",
        "0\r\nx: y\n\n",
        "0\r\nx: y\n\r\n",
        "0\r\nx y\r\n\r\n",
        "0\r\n\x0c\r\n",
    ] {
        let stream = format!("{chunked}{body}{next}");
        let split = split(stream.as_bytes(), &[stream.len()]);
        if split.end != End::Refused || !split.requests.is_empty() {
            failures.push(format!("{body:?}: {} requests", split.requests.len()));
        }
    }
    for headers in [
        "HTTP/1.1\r\ncontent-length: 0\u{a0}\r\n",
        "HTTP/1.1\r\ncontent-length: 18446744073709551615\r\n",
        "HTTP/1.0\r\ntransfer-encoding: chunked\r\n",
    ] {
        if let Ok(head) = parse_head(format!("POST / {headers}\r\n").as_bytes(), MAX_HEADER_BYTES) {
            failures.push(format!("{headers:?}: {head:?}"));
        }
    }
    assert!(failures.is_empty(), "accepted: {failures:#?}");
}

/// Guards against endless bytes that are buffered or read beyond the limits.
#[test]
fn endless_bytes() {
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let streams = [
        ("", "\r\n", MAX_HEADER_BYTES),
        ("", "G", MAX_HEADER_BYTES),
        ("GET /", "path/", MAX_HEADER_BYTES),
        ("GET / HTTP/1.1\r\nx: ", "and so on ", MAX_HEADER_BYTES),
        ("GET / HTTP/1.1\r\n", "x: and more\r\n", MAX_HEADER_BYTES),
        (chunked, "0", MAX_LINE_BYTES),
        (&format!("{chunked}5"), " ", MAX_LINE_BYTES),
        (&format!("{chunked}5;"), "name=value;", MAX_LINE_BYTES),
        (&format!("{chunked}0\r\nx: "), "and so on ", MAX_LINE_BYTES),
        (
            &format!("{chunked}0\r\n"),
            "x: and more\r\n",
            MAX_LINE_BYTES,
        ),
    ];
    for (start, part, limit) in streams {
        let length = start.len() + limit + part.len();
        let mut stream = start.as_bytes().to_vec();
        while stream.len() <= length {
            stream.extend(part.bytes());
        }
        for size in [1, 7, 1000, stream.len()] {
            let result = split(&stream, &[size]);
            assert!(result.requests.is_empty(), "{start:?} {part:?}: {result:?}");
            assert_eq!(result.end, End::Refused, "{start:?} {part:?} by {size}");
        }
    }
}

/// Guards against a line or trailers beyond the limit that are accepted when they arrive at once.
#[test]
fn long_lines() {
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let long = "a".repeat(MAX_LINE_BYTES);
    for body in [
        format!("5;{long}\r\nhello\r\n0\r\n\r\n"),
        format!("0\r\nx: {long}\r\n\r\n"),
        format!("0\r\n{}\r\n", "x: and more\r\n".repeat(MAX_LINE_BYTES / 12)),
    ] {
        let stream = format!("{chunked}{body}").into_bytes();
        for size in [1, 1000, stream.len()] {
            assert_eq!(split(&stream, &[size]).end, End::Refused, "by {size}");
        }
    }
}

proptest! {
    /// Guards against requests whose split depends on where the stream is cut into reads.
    #[test]
    fn cut_requests(
        requests in prop::collection::vec(valid_request(), 1..5),
        sizes in prop::collection::vec(1_usize..60, 1..60),
    ) {
        let stream = requests.concat();
        let expected = Split { requests, end: End::Complete, closes: false };
        prop_assert_eq!(&split(&stream, &[stream.len()]), &expected);
        prop_assert_eq!(&split(&stream, &sizes), &expected);
        prop_assert_eq!(&split(&stream, &[1]), &expected);
        check_against_hyper(&stream)?;
    }

    /// Guards against request smuggling: bytes that are split into other requests than hyper reads,
    /// or into others when they arrive in parts, and against a panic or a buffer beyond the limits.
    #[test]
    fn mutated_requests(
        requests in prop::collection::vec(valid_request(), 1..4),
        mutations in prop::collection::vec(mutation(), 1..5),
        sizes in prop::collection::vec(1_usize..60, 1..60),
    ) {
        let mut stream = requests.concat();
        for mutation in &mutations {
            mutate(&mut stream, mutation);
        }
        let whole = split(&stream, &[stream.len().max(1)]);
        prop_assert_eq!(&split(&stream, &sizes), &whole);
        prop_assert_eq!(&split(&stream, &[1]), &whole);
        check_against_hyper(&stream)?;
    }

    /// Guards against bytes without any structure that make the framing panic or accept what hyper
    /// does not.
    #[test]
    fn arbitrary_bytes(
        chunked: bool,
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        sizes in prop::collection::vec(1_usize..60, 1..20),
    ) {
        let head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut stream = if chunked { head.as_bytes().to_vec() } else { Vec::new() };
        stream.extend(bytes);
        prop_assert_eq!(split(&stream, &sizes), split(&stream, &[stream.len().max(1)]));
        check_against_hyper(&stream)?;
    }
}
