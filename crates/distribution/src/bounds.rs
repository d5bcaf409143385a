//! Every bound of the distribution, in one place.

use crate::config::{Nanos, MS, SECOND};

/// Bytes of a datagram at most: fits any path without fragments.
pub const MAX_DATAGRAM: usize = 1_200;
/// Bytes of content that one datagram carries.
pub const PIECE_BYTES: usize = 900;
/// Bytes of a document, and of a delta, at most.
pub const MAX_CONTENT_BYTES: usize = 4 << 20;
/// Deltas kept for nodes that are behind.
pub const MAX_HISTORY_DELTAS: usize = 128;
/// Bytes of these deltas.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
/// A chain of so many bytes is sent in any case, also where the document is shorter: a history without gaps is worth it.
pub const MIN_CHAIN_LIMIT_BYTES: usize = 64 << 10;
/// Attempts after which a document that was fetched as a base, and from which no chain leads on, is dropped.
pub const MAX_BASE_ATTEMPTS: u32 = 25;
/// Whole documents kept for nodes that fetch them: the last one, and the one before.
pub const MAX_SNAPSHOTS: usize = 2;
/// Contents that a voter keeps before they are announced.
pub const MAX_STAGED: usize = 4;
/// After so long content that was not announced is dropped.
pub const STAGED_TTL: Nanos = 60 * SECOND;
/// Publications under way at one node.
pub const MAX_PUBLICATIONS: usize = 4;
/// Announcements remembered, so that one that is superseded while it is fetched can still be applied.
pub const MAX_ANNOUNCEMENTS: usize = 128;

/// Pieces under way to one node.
pub const PIECE_WINDOW: usize = 64;
/// Pieces asked for in one datagram.
pub const MAX_PIECES_PULLED: usize = 16;
/// Without an answer after so long a request or a pull is repeated.
pub const ANSWER_TIMEOUT: Nanos = 250 * MS;
/// A piece is asked for again after so many times that the other usually takes,
pub const PIECE_TIMEOUT_FACTOR: Nanos = 3;
/// and at the soonest after this.
pub const MIN_PIECE_TIMEOUT: Nanos = 40 * MS;
/// Without a new piece for so long another node is asked.
pub const PROGRESS_TIMEOUT: Nanos = 1_500 * MS;
/// The shortest time from a failed attempt to the next.
pub const MIN_RETRY_DELAY: Nanos = 40 * MS;
/// The longest.
pub const MAX_RETRY_DELAY: Nanos = SECOND;
/// How often the time between two attempts is doubled at most, at first.
pub const MAX_EARLY_DOUBLINGS: u32 = 2;
/// After so many attempts nobody may have the content, and it is doubled up to [`MAX_RETRY_DELAY`].
pub const FULL_BACKOFF_ATTEMPTS: u32 = 60;
/// After so long without an offer a later revision is asked for, if there is one. Not at once: few have it yet.
pub const RETARGET_DELAY: Nanos = 2 * SECOND;
/// A node that has just started waits up to so long before it fetches.
pub const MAX_START_DELAY: Nanos = SECOND;

/// A transfer of more bytes than this is a large one.
pub const LARGE_TRANSFER_BYTES: usize = 32 << 10;
/// Transfers of more than one piece that a node serves at once.
pub const MAX_TRANSFERS: usize = 64;
/// Large ones among them.
pub const MAX_LARGE_TRANSFERS: usize = 4;
/// The same at a voter.
pub const MAX_VOTER_LARGE_TRANSFERS: usize = 1;
/// A transfer without a pull for so long gives up its place.
pub const TRANSFER_TIMEOUT: Nanos = 600 * MS;
/// Bytes a second that a node serves.
pub const SERVE_RATE: u64 = 8_000_000;
/// Bytes a second that a voter serves.
pub const VOTER_SERVE_RATE: u64 = 2_000_000;
/// Pieces that wait to be served at that rate.
pub const MAX_QUEUED_PIECES: usize = 512;
/// Bytes a second that a node fetches while it catches up after a start, unless it is told otherwise.
pub const CATCH_UP_RATE: u64 = 2_000_000;
/// Share of a second's rate that may pass at once: one in so many.
pub const BURST_DIVISOR: u64 = 10;

/// Between two reports of a node.
pub const REPORT_INTERVAL: Nanos = SECOND;
/// After a revision has come into force it is reported within this.
pub const MAX_IN_FORCE_REPORT_DELAY: Nanos = 200 * MS;
/// Reports of nodes in one datagram.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 32;
/// Reports of nodes that are held.
pub const MAX_STORED_REPORTS: usize = 4_096;
/// Older reports are dropped: their nodes are unknown.
pub const REPORT_TTL: Nanos = 60 * SECOND;

/// The content of a publication has to reach a majority of the voters within this.
pub const STAGE_TIMEOUT: Nanos = 10 * SECOND;
/// Between two offers of it to a voter that has not answered.
pub const OFFER_INTERVAL: Nanos = 300 * MS;
/// Between two writes of the revision in force.
pub const SAVE_INTERVAL: Nanos = 10 * SECOND;
/// After a failed write the next.
pub const SAVE_RETRY_DELAY: Nanos = 5 * SECOND;
/// A revision that the log contradicts for so long is set aside.
pub const SET_ASIDE_DELAY: Nanos = 5 * SECOND;
