//! The framing of requests on a connection: nothing hides inside another request.

use basilbay_daemon::framing::{Decoder, Encoding, Error, parse_head};
use proptest::prelude::*;

const MOST: usize = 1024;

fn request(headers: &str) -> Vec<u8> {
    format!("POST /x HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into_bytes()
}

/// Guards against a body of the wrong length, which would be read as the next request.
#[test]
fn framings() {
    let cases = [
        ("", Encoding::Length(0)),
        ("content-length: 12\r\n", Encoding::Length(12)),
        (
            "Content-Length: 12\r\nContent-Length: 12\r\n",
            Encoding::Length(12),
        ),
        ("transfer-encoding: Chunked\r\n", Encoding::Chunked),
    ];
    for (headers, framing) in cases {
        let bytes = request(headers);
        let head = parse_head(&bytes, MOST).expect("it is a request");
        let head = head.expect("it is complete");
        assert_eq!(head.length, bytes.len(), "{headers}");
        assert_eq!(head.body, framing, "{headers}");
        assert!(!head.closes);
    }
}

/// Guards against a request that is smuggled past us with two lengths, or one that is none.
#[test]
fn ambiguous() {
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
            parse_head(&request(headers), MOST),
            Err(Error::Malformed),
            "{headers}"
        );
    }
    assert_eq!(
        parse_head(b"\x16\x03\x01\x02\x00", MOST),
        Err(Error::Malformed)
    );
}

/// Guards against headers beyond the limit that are kept in memory while they come.
#[test]
fn too_large() {
    let long = request(&format!("x: {}\r\n", "a".repeat(MOST)));
    assert_eq!(parse_head(&long, MOST), Err(Error::HeadersTooLarge));
    assert_eq!(
        parse_head(&long[..MOST + 1], MOST),
        Err(Error::HeadersTooLarge)
    );
    assert_eq!(parse_head(&long[..MOST], MOST), Ok(None));
}

/// Guards against a connection that is kept open though the caller wants it closed.
#[test]
fn last_ones() {
    for bytes in [
        request("connection: close\r\n"),
        request("Connection: keep-alive, Close\r\n"),
        b"GET / HTTP/1.0\r\n\r\n".to_vec(),
    ] {
        let head = parse_head(&bytes, MOST).expect("it is a request");
        assert!(head.expect("it is complete").closes);
    }
}

fn chunked(parts: &[Vec<u8>], trailer: bool) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        bytes.extend(format!("{:x};ext=1\r\n", part.len()).into_bytes());
        bytes.extend(part);
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
    /// Guards against an end of a body that depends on how its bytes arrive.
    #[test]
    fn any_pieces(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        trailer: bool,
        sizes in prop::collection::vec(1_usize..20, 1..200),
    ) {
        let body = chunked(&parts, trailer);
        let mut stream = body.clone();
        stream.extend(b"GET /next HTTP/1.1\r\n");
        let mut rest = Decoder::new(Encoding::Chunked);
        let (mut held, mut taken) = (Vec::new(), 0);
        let mut pieces = stream.iter().copied();
        for size in sizes.iter().cycle() {
            held.extend(pieces.by_ref().take(*size));
            let count = rest.decode(&held).expect("it is well formed");
            held.drain(..count);
            taken += count;
            if rest.is_done() {
                break;
            }
        }
        prop_assert_eq!(taken, body.len());
    }

    /// Guards against bytes that make the cutter panic or run on for ever.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_head(&bytes, MOST);
        let _ = Decoder::new(Encoding::Chunked).decode(&bytes);
    }
}
