//! What is drawn for one exchange: the form of the request, of the response, and how the server ends it.

use std::time::Duration;

/// Lengths of request bodies around the limits of what a node buffers, in bytes.
const BODY_LENGTHS: [usize; 11] =
    [0, 1, 4_095, 8_191, 8_193, 65_535, 65_536, 65_537, 100_000, 1_000_000, 6_000_000];
/// Lengths of responses, likewise.
const RESPONSE_LENGTHS: [usize; 5] = [1, 8_193, 65_536, 65_537, 300_000];
const CHUNK_LENGTHS: [usize; 4] = [1_000, 8_000, 16_384, 70_001];

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a `Content-Length`.
    ContentLength,
    /// By chunks of this length, with this number of trailers.
    Chunked { chunk: usize, trailers: usize },
    /// By the end of the connection; responses only.
    Close,
}

/// How the end of a body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastPiece {
    /// Together with the data before it.
    WithData,
    /// In a write of its own.
    Alone,
    /// Byte by byte.
    InBytes,
}

/// What the server does with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers with 500.
    Error,
    /// Runs it and ends the connection.
    Close,
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and sends nothing.
    Hang,
    /// Runs it, sends a part of its response and ends the connection.
    CutResponse,
    /// Ends the connection in the middle of the body.
    CloseEarly,
    /// Resets the connection in the middle of the body.
    ResetEarly,
    /// Stops reading in the middle of the body.
    HangEarly,
    /// Turns the request away in the middle of the body, and ends the connection.
    TurnAwayEarly,
}

const ENDINGS: [Ending; 10] = [
    Ending::Answer,
    Ending::Error,
    Ending::Close,
    Ending::Reset,
    Ending::Hang,
    Ending::CutResponse,
    Ending::CloseEarly,
    Ending::ResetEarly,
    Ending::HangEarly,
    Ending::TurnAwayEarly,
];

impl Ending {
    /// Returns whether the server has the whole request before this end.
    pub fn is_after_request(self) -> bool {
        !matches!(self, Ending::CloseEarly | Ending::ResetEarly | Ending::HangEarly | Ending::TurnAwayEarly)
    }

    /// Returns whether a 200 can come of it.
    pub fn may_be_served(self) -> bool {
        matches!(self, Ending::Answer | Ending::CutResponse)
    }

    /// Returns whether the server does not finish its response.
    pub fn cuts_response(self) -> bool {
        self == Ending::CutResponse
    }
}

/// One exchange.
#[derive(Clone, Debug)]
pub struct Plan {
    pub index: usize,
    pub body_length: usize,
    pub framing: Framing,
    pub last_piece: LastPiece,
    /// Whether the request tells the node to close the connection after the answer.
    pub closes: bool,
    /// Whether the request is of HTTP/1.0; only where its length is told.
    pub is_http_1_0: bool,
    /// How often the client pauses while it sends its body.
    pub pauses: u32,
    /// How often the server pauses while it sends its response.
    pub response_pauses: u32,
    /// Length of a pause of either side.
    pub pause: Duration,
    /// Whether the client sends the rest of its body behind an early answer too.
    pub sends_on: bool,
    pub response_length: usize,
    pub response_framing: Framing,
    pub ending: Ending,
    /// Bytes of the body after which an early end comes.
    pub early_after: usize,
}

fn draw<T: Copy>(from: &[T], random: &mut fastrand::Rng) -> T {
    from[random.usize(..from.len())]
}

impl Plan {
    /// Draws a request, and how its server ends it.
    pub fn with_drawn_ending(index: usize, random: &mut fastrand::Rng) -> Self {
        let body_length = draw(&BODY_LENGTHS, random);
        let chunked =
            Framing::Chunked { chunk: draw(&CHUNK_LENGTHS, random), trailers: draw(&[0, 1, 3], random) };
        let framing = draw(&[Framing::ContentLength, chunked, chunked], random);
        let response_chunked = Framing::Chunked { chunk: 8_000, trailers: draw(&[0, 2], random) };
        Plan {
            index,
            body_length,
            framing,
            last_piece: draw(&[LastPiece::WithData, LastPiece::Alone, LastPiece::InBytes], random),
            closes: random.bool(),
            is_http_1_0: framing == Framing::ContentLength && random.u8(..4) == 0,
            pauses: draw(&[0, 0, 1, 3], random),
            response_pauses: draw(&[0, 0, 1, 3], random),
            pause: Duration::from_millis(random.u64(1..60)),
            sends_on: false,
            response_length: draw(&RESPONSE_LENGTHS, random),
            response_framing: draw(&[Framing::ContentLength, response_chunked, Framing::Close], random),
            ending: draw(&ENDINGS, random),
            early_after: random.usize(..body_length + 1) / 2,
        }
    }

    /// Draws a long request whose client pauses for so long that it gives way to others that wait for memory.
    pub fn pausing_upload(index: usize, random: &mut fastrand::Rng) -> Self {
        let plan = Plan {
            body_length: random.usize(100_000..600_000),
            pauses: random.u32(1..3),
            pause: Duration::from_millis(random.u64(200..500)),
            sends_on: true,
            ..Plan::with_drawn_ending(index, random)
        };
        Plan { early_after: random.usize(..plan.body_length) / 2, ..plan }
    }

    /// Draws an exchange that takes far longer than its deadline, by its request or by its response.
    pub fn long_lasting(index: usize, random: &mut fastrand::Rng) -> Self {
        let by_request = random.u8(..4) == 0;
        let lasting = Plan {
            pauses: if by_request { 5 } else { 0 },
            response_pauses: if by_request { 0 } else { 5 },
            pause: Duration::from_millis(random.u64(200..500)),
            ending: Ending::Answer,
            body_length: if by_request { 1_000_000 } else { 0 },
            response_length: if by_request { 1 } else { random.usize(200_000..4_000_000) },
            ..Plan::with_drawn_ending(index, random)
        };
        Plan { early_after: 0, ..lasting }
    }

    /// The body of the request.
    pub fn body(&self) -> Vec<u8> {
        pattern(self.index, self.body_length)
    }

    /// The body of the response.
    pub fn response(&self) -> Vec<u8> {
        pattern(self.index + 1_000, self.response_length)
    }
}

/// Bytes in which a lost, repeated or misplaced byte is detectable, and that differ between exchanges.
fn pattern(seed: usize, length: usize) -> Vec<u8> {
    (0..length).map(|n| ((n + seed) % 251) as u8).collect()
}

/// Encodes a body in pieces, each to be written at once with a pause after it.
pub fn encode(body: &[u8], framing: Framing, last_piece: LastPiece, pauses: u32) -> Vec<Vec<u8>> {
    let (data, end) = match framing {
        Framing::Chunked { chunk, trailers } => (encode_chunks(body, chunk), encode_end(trailers)),
        Framing::ContentLength | Framing::Close => {
            let (data, end) = body.split_at(body.len() - body.len().min(2));
            (data.to_vec(), end.to_vec())
        }
    };
    let piece_length = (data.len() / (pauses as usize + 1)).max(1);
    let mut pieces: Vec<Vec<u8>> = data.chunks(piece_length).map(<[u8]>::to_vec).collect();
    match last_piece {
        LastPiece::WithData => match pieces.last_mut() {
            Some(last) => last.extend_from_slice(&end),
            None => pieces.push(end),
        },
        LastPiece::Alone => pieces.push(end),
        LastPiece::InBytes => pieces.extend(end.iter().map(|byte| vec![*byte])),
    }
    pieces
}

fn encode_chunks(body: &[u8], chunk: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for chunk in body.chunks(chunk) {
        text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    text
}

fn encode_end(trailers: usize) -> Vec<u8> {
    let lines: String = (0..trailers).map(|n| format!("X-Sum-{n}: {n}\r\n")).collect();
    format!("0\r\n{lines}\r\n").into_bytes()
}
