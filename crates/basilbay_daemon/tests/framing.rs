//! Framing of HTTP/1.1 requests on a connection: no request can be smuggled inside another one.

use basilbay_daemon::framing::{Decoder, Encoding, Error, parse_head};
use proptest::prelude::*;

const MAX_HEADER_BYTES: usize = 1024;

fn request(headers: &str) -> Vec<u8> {
    format!("POST /x HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into_bytes()
}

/// Guards against a wrong body length, after which part of the body would be parsed as the next
/// request.
#[test]
fn body_lengths() {
    let cases = [
        ("", Encoding::Length(0)),
        ("content-length: 12\r\n", Encoding::Length(12)),
        (
            "Content-Length: 12\r\nContent-Length: 12\r\n",
            Encoding::Length(12),
        ),
        ("transfer-encoding: Chunked\r\n", Encoding::Chunked),
    ];
    for (headers, encoding) in cases {
        let bytes = request(headers);
        let head = parse_head(&bytes, MAX_HEADER_BYTES).expect("a valid request head");
        let head = head.expect("a complete request head");
        assert_eq!(head.length, bytes.len(), "{headers}");
        assert_eq!(head.body, encoding, "{headers}");
        assert!(!head.closes);
    }
}

/// Guards against request smuggling by conflicting or malformed body lengths.
#[test]
fn ambiguous_lengths() {
    for headers in [
        "content-length: 1\r\ncontent-length: 2\r\n",
        "content-length: 1\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 1\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "content-length: +1\r\n",
        "content-length: -1\r\n",
        "content-length: 1, 1\r\n",
        "content-length:\r\n",
        "content-length: 99999999999999999999\r\n",
    ] {
        assert_eq!(
            parse_head(&request(headers), MAX_HEADER_BYTES),
            Err(Error::Malformed),
            "{headers}"
        );
    }
    assert_eq!(
        parse_head(b"\x16\x03\x01\x02\x00", MAX_HEADER_BYTES),
        Err(Error::Malformed)
    );
}

/// Guards against headers that are buffered beyond the limit while they arrive.
#[test]
fn oversized_headers() {
    let long = request(&format!("x: {}\r\n", "a".repeat(MAX_HEADER_BYTES)));
    assert_eq!(
        parse_head(&long, MAX_HEADER_BYTES),
        Err(Error::HeadersTooLarge)
    );
    assert_eq!(
        parse_head(&long[..MAX_HEADER_BYTES + 1], MAX_HEADER_BYTES),
        Err(Error::HeadersTooLarge)
    );
    assert_eq!(
        parse_head(&long[..MAX_HEADER_BYTES], MAX_HEADER_BYTES),
        Ok(None)
    );
}

/// Guards against a connection that stays open although the caller requested its end, by a header
/// or by the use of HTTP/1.0.
#[test]
fn close_requested() {
    for bytes in [
        request("connection: close\r\n"),
        request("Connection: keep-alive, Close\r\n"),
        b"GET / HTTP/1.0\r\n\r\n".to_vec(),
    ] {
        let head = parse_head(&bytes, MAX_HEADER_BYTES).expect("a valid request head");
        assert!(head.expect("a complete request head").closes);
    }
}

fn chunked(chunks: &[Vec<u8>], trailer: bool) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        bytes.extend(format!("{:x};ext=1\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n");
    if trailer {
        bytes.extend(b"x-sum: 1\r\n");
    }
    bytes.extend(b"\r\n");
    bytes
}

proptest! {
    /// Guards against a decoder that finds the end of a body at a position that depends on how its
    /// bytes are split into reads.
    #[test]
    fn arbitrary_splits(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        trailer: bool,
        sizes in prop::collection::vec(1_usize..20, 1..200),
    ) {
        let body = chunked(&chunks, trailer);
        let mut stream = body.clone();
        stream.extend(b"GET /next HTTP/1.1\r\n");
        let mut decoder = Decoder::new(Encoding::Chunked);
        let (mut buffer, mut consumed) = (Vec::new(), 0);
        let mut remaining = stream.iter().copied();
        for size in sizes.iter().cycle() {
            buffer.extend(remaining.by_ref().take(*size));
            let count = decoder.decode(&buffer).expect("a well-formed body");
            buffer.drain(..count);
            consumed += count;
            if decoder.is_done() {
                break;
            }
        }
        prop_assert_eq!(consumed, body.len());
    }

    /// Guards against bytes that make the parser or the decoder panic or loop forever.
    #[test]
    fn bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_head(&bytes, MAX_HEADER_BYTES);
        let _ = Decoder::new(Encoding::Chunked).decode(&bytes);
    }
}
