//! Answers of a server in trouble, whose heads or chunks are spoilt, and unusual answers that are sound.

/// The body of every answer here.
pub const BODY: &str = "0123456789";

/// One answer: a name for the messages of tests, a status line and lines of the head, all as they are sent.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// What is unusual about it.
    pub what: &'static str,
    /// The status line, without its line end.
    pub status_line: &'static [u8],
    /// Lines of the head, each with its line end.
    pub lines: &'static [u8],
    /// The body, with the frames of its chunks.
    pub body: &'static [u8],
}

impl Answer {
    /// The bytes of the answer, with further sound lines at the start of its head.
    pub fn bytes(&self, first_lines: &str) -> Vec<u8> {
        let parts: [&[u8]; 6] =
            [self.status_line, b"\r\n", first_lines.as_bytes(), self.lines, b"\r\n", self.body];
        parts.concat()
    }

    /// Whether the unusual lies in its chunks, which [`Self::bytes_with`] replaces.
    pub fn has_own_chunks(&self) -> bool {
        self.body != CHUNKED && self.body != SIZED
    }

    /// The bytes of the answer with another body: [`BODY`]'s length becomes that of `body`, or its chunks one chunk.
    pub fn bytes_with(&self, first_lines: &str, body: &[u8]) -> Vec<u8> {
        let length = body.len().to_string();
        let (lines, body) = match self.body == CHUNKED {
            true => (self.lines.to_vec(), one_chunk(body)),
            false => (replaced(self.lines, b"10", length.as_bytes()), body.to_vec()),
        };
        let parts: [&[u8]; 6] =
            [self.status_line, b"\r\n", first_lines.as_bytes(), &lines, b"\r\n", &body];
        parts.concat()
    }
}

fn one_chunk(body: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n0\r\n\r\n"].concat()
}

/// `bytes` with each occurrence of `from` replaced.
fn replaced(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some(at) = rest.windows(from.len()).position(|window| window == from) {
        out.extend_from_slice(&rest[..at]);
        out.extend_from_slice(to);
        rest = &rest[at + from.len()..];
    }
    out.extend_from_slice(rest);
    out
}

const OK: &[u8] = b"HTTP/1.1 200 OK";
const SIZED: &[u8] = BODY.as_bytes();
const LENGTH: &[u8] = b"Content-Length: 10\r\n";
const CHUNKED: &[u8] = b"5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";

const fn lines(what: &'static str, lines: &'static [u8]) -> Answer {
    Answer { what, status_line: OK, lines, body: SIZED }
}

const fn coded(what: &'static str, lines: &'static [u8]) -> Answer {
    Answer { what, status_line: OK, lines, body: CHUNKED }
}

const fn status(what: &'static str, status_line: &'static [u8]) -> Answer {
    Answer { what, status_line, lines: LENGTH, body: SIZED }
}

/// Answers whose length or coding is not one, by the grammar.
pub const SPOILT_LENGTHS: &[Answer] = &[
    lines("a length with a sign", b"Content-Length: +10\r\n"),
    lines("a shorter length with a sign", b"Content-Length: +4\r\n"),
    lines("a negative length", b"Content-Length: -10\r\n"),
    lines("an empty length", b"Content-Length: \r\n"),
    lines("a length with a letter", b"Content-Length: 1O\r\n"),
    lines("a length in hex", b"Content-Length: 0xA\r\n"),
    lines("a length with a fraction", b"Content-Length: 10.0\r\n"),
    lines("a length with a blank", b"Content-Length: 1 0\r\n"),
    lines("a list of lengths", b"Content-Length: 10, 10\r\n"),
    lines("a list of other lengths", b"Content-Length: 4, 10\r\n"),
    lines("a second length", b"Content-Length: 10\r\nContent-Length: 4\r\n"),
    lines("a length too large for a number", b"Content-Length: 99999999999999999999\r\n"),
    lines("a no-break blank before a length", b"Content-Length: \xc2\xa04\r\n"),
    lines("a no-break blank after a length", b"Content-Length: 4\xc2\xa0\r\n"),
    lines("a wide blank before a length", b"Content-Length: \xe3\x80\x804\r\n"),
    lines("digits of another script", b"Content-Length: \xd9\xa4\r\n"),
    lines("a length of no text", b"Content-Length: \xff4\r\n"),
    lines("a length and text", b"Content-Length: 10 bytes\r\n"),
    coded("a length beside a coding", b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
    coded("a coding beside a length", b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
    coded("a second coding", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    coded("an unknown coding", b"Transfer-Encoding: chunkd\r\n"),
    coded("an unknown coding before", b"Transfer-Encoding: gzip, chunked\r\n"),
    coded("the coding of nothing", b"Transfer-Encoding: identity\r\n"),
    coded("an empty coding", b"Transfer-Encoding: \r\n"),
    coded("a no-break blank before a coding", b"Transfer-Encoding: \xc2\xa0chunked\r\n"),
    Answer {
        what: "a coding in version 1.0",
        status_line: b"HTTP/1.0 200 OK",
        lines: b"Transfer-Encoding: chunked\r\n",
        body: CHUNKED,
    },
];

/// Answers with a line that is no field.
pub const SPOILT_LINES: &[Answer] = &[
    lines("a blank after the name of the length", b"Content-Length : 10\r\n"),
    lines("a tab after the name of the length", b"Content-Length\t: 4\r\n"),
    lines("a blank within the name of the length", b"Content Length: 10\r\n"),
    lines("a length without a colon", b"Content-Length 10\r\n"),
    lines("a line without a colon", b"Content-Length: 10\r\nno field\r\n"),
    lines("a line without a name", b"Content-Length: 10\r\n: 4\r\n"),
    lines("a blank after a name", b"Content-Length: 10\r\nX-Own : 1\r\n"),
    lines("a blank before a name", b"Content-Length: 10\r\n X-Own: 1\r\n"),
    lines("a blank within a name", b"Content-Length: 10\r\nX Own: 1\r\n"),
    lines("a zero in a name", b"Content-Length: 10\r\nX\x00Own: 1\r\n"),
    lines("a control byte in a name", b"Content-Length: 10\r\nX\x01Own: 1\r\n"),
    lines("a deletion in a name", b"Content-Length: 10\r\nX\x7fOwn: 1\r\n"),
    lines("an escape in the name of the length", b"Content-\x1bLength: 10\r\n"),
    lines("a name of no ASCII", b"Content-Length: 10\r\nX\xc3\xa9: 1\r\n"),
    lines("a name with a separator", b"Content-Length: 10\r\nX(Own): 1\r\n"),
    lines("a zero in a value", b"Content-Length: 10\r\nX-Own: a\x00b\r\n"),
    lines("a control byte in a value", b"Content-Length: 10\r\nX-Own: a\x0bb\r\n"),
    lines("a lone carriage return in a value", b"Content-Length: 10\r\nX-Own: a\rb: 1\r\n"),
    lines("a folded line", b"Content-Length: 10\r\nX-Own: a\r\n b\r\n"),
    lines("a folded length", b"Content-Length:\r\n 10\r\n"),
    lines("a lone line feed", b"Content-Length: 10\nX-Own: 1\r\n"),
    lines("an empty line that ends with a line feed", b"Content-Length: 4\r\n\n0123\r\n"),
];

/// Answers with a status line that is none, or with a status that no answer to these requests has.
pub const SPOILT_STATUS: &[Answer] = &[
    status("status 000", b"HTTP/1.1 000 OK"),
    status("status 000 without a reason", b"HTTP/1.1 000"),
    status("status 099", b"HTTP/1.1 099 OK"),
    status("status 600", b"HTTP/1.1 600 OK"),
    status("status 999", b"HTTP/1.1 999 OK"),
    status("a status of two digits", b"HTTP/1.1 20 OK"),
    status("a status of four digits", b"HTTP/1.1 2000 OK"),
    status("a status with a sign", b"HTTP/1.1 +20 OK"),
    status("a status with a letter", b"HTTP/1.1 2O0 OK"),
    status("two blanks before the status", b"HTTP/1.1  200 OK"),
    status("a tab before the status", b"HTTP/1.1\t200 OK"),
    status("a change of protocol that nobody asked for", b"HTTP/1.1 101 Switching Protocols"),
    status("another version", b"HTTP/2.0 200 OK"),
    status("version 1.2", b"HTTP/1.2 200 OK"),
    status("a version in lower case", b"http/1.1 200 OK"),
    status("a blank before the version", b" HTTP/1.1 200 OK"),
    status("an empty line before the head", b"\r\nHTTP/1.1 200 OK"),
    status("a line feed before the head", b"\nHTTP/1.1 200 OK"),
    status("a control byte in the reason", b"HTTP/1.1 200 O\x01K"),
    status("a lone carriage return in the reason", b"HTTP/1.1 200 O\rK"),
    status("a status line that ends with a line feed", b"HTTP/1.1 200 OK\nX-Own: 1"),
    status("a spoilt informational head", b"HTTP/1.1 103 Hints\r\nno field\r\n\r\nHTTP/1.1 200 OK"),
    status("an informational status 000", b"HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK"),
];

/// Answers whose chunks are not framed by the grammar.
pub const SPOILT_CHUNKS: &[Answer] = &[
    chunks("a chunk without a size", b"5\r\n01234\r\n\r\n\r\n"),
    chunks("only an extension where the size is due", b"5\r\n01234\r\n;x=y\r\n\r\n"),
    chunks("a size with a sign", b"+5\r\n01234\r\n0\r\n\r\n"),
    chunks("a size in other notation", b"0x5\r\n01234\r\n0\r\n\r\n"),
    chunks("a size too large for a number", b"fffffffffffffffff\r\n01234\r\n0\r\n\r\n"),
    chunks("a blank before a size", b" 5\r\n01234\r\n0\r\n\r\n"),
    chunks("two sizes", b"5 5\r\n01234\r\n0\r\n\r\n"),
    chunks("a size that ends with a line feed", b"5\n01234\r\n0\r\n\r\n"),
    chunks("a chunk that ends with a line feed", b"5\r\n01234\n0\r\n\r\n"),
    chunks("bytes between chunks", b"5\r\n01234xx\r\n0\r\n\r\n"),
    chunks("a control byte in an extension", b"5;a\x01\r\n01234\r\n0\r\n\r\n"),
    chunks("a line feed in an extension", b"5;a\n0\r\n01234\r\n0\r\n\r\n"),
    chunks("a trailer that is no field", b"5\r\n01234\r\n0\r\nno field\r\n\r\n"),
    chunks("a trailer with a blank in its name", b"5\r\n01234\r\n0\r\nX Own: 1\r\n\r\n"),
    chunks("a trailer with a control byte", b"5\r\n01234\r\n0\r\nX-Own: \x00\r\n\r\n"),
    chunks("a lone line feed in a trailer", b"5\r\n01234\r\n0\r\nX-Own: 1\n\r\n\r\n"),
];

const fn chunks(what: &'static str, body: &'static [u8]) -> Answer {
    Answer { what, status_line: OK, lines: b"Transfer-Encoding: chunked\r\n", body }
}

/// All answers whose head is spoilt.
pub fn spoilt_heads() -> impl Iterator<Item = &'static Answer> {
    SPOILT_LENGTHS.iter().chain(SPOILT_LINES).chain(SPOILT_STATUS)
}

/// All answers whose head or chunks are spoilt.
pub fn spoilt() -> impl Iterator<Item = &'static Answer> {
    spoilt_heads().chain(SPOILT_CHUNKS)
}

/// Unusual answers that are sound; all have the whole [`BODY`].
pub const SOUND: &[Answer] = &[
    status("no reason", b"HTTP/1.1 200"),
    status("an empty reason", b"HTTP/1.1 200 "),
    status("a reason of other bytes", b"HTTP/1.1 200 \xe9t\xe9 \xff"),
    status("a rare status", b"HTTP/1.1 299 OK"),
    status("version 1.0 with a length", b"HTTP/1.0 200 OK"),
    status("an informational head", b"HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK"),
    status("a rare informational head", b"HTTP/1.1 142\r\n\r\nHTTP/1.1 200 OK"),
    lines("a value of other bytes", b"Content-Length: 10\r\nX-Own: \xe9\xff\x80\r\n"),
    lines("an empty value", b"X-Own:\r\nContent-Length: 10\r\n"),
    lines("an empty value after a blank", b"X-Own: \t \r\nContent-Length: 10\r\n"),
    lines("a name in capitals", b"CONTENT-LENGTH: 10\r\nX-OWN: 1\r\n"),
    lines("a name in lower case", b"content-length: 10\r\nx-own: 1\r\n"),
    lines("blanks around values", b"Content-Length: \t 10 \t\r\nX-Own: \t1\t \r\n"),
    lines("no blanks before values", b"Content-Length:10\r\nX-Own:1\r\n"),
    lines("zeros before a length", b"Content-Length: 00010\r\n"),
    lines("equal lengths", b"Content-Length: 10\r\nContent-Length: 10\r\n"),
    lines("a colon in a value", b"Content-Length: 10\r\nX-Own: a:b: c\r\n"),
    lines("marks in a name", b"Content-Length: 10\r\n!#$%&'*+-.^_`|~: 1\r\n"),
    lines("a date", b"Content-Length: 10\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\n"),
    coded("a coding in capitals", b"Transfer-Encoding: CHUNKED\r\n"),
    coded("blanks around a coding", b"Transfer-Encoding: \tchunked \r\n"),
    chunks("an extension", b"a;x=y\r\n0123456789\r\n0\r\n\r\n"),
    chunks("a quoted extension", b"a ; x=\"y z\"\r\n0123456789\r\n0;last\r\n\r\n"),
    chunks("zeros before a size", b"0000000A\r\n0123456789\r\n000\r\n\r\n"),
    chunks("trailers", b"a\r\n0123456789\r\n0\r\nServer-Timing: a;dur=1\r\nX-Own:\r\n\r\n"),
];
