//! Bounds, rates and timeouts of the distribution.

use crate::config::{Nanos, MS, SECOND};

/// Maximum size of a datagram in bytes; it passes any network path without fragmentation.
pub const MAX_DATAGRAM: usize = 1_200;
/// Bytes of content that one datagram carries.
pub const PIECE_BYTES: usize = 900;
/// Maximum size of a document, and of a delta, in bytes.
pub const MAX_CONTENT_BYTES: usize = 4 << 20;
/// Maximum number of deltas stored for nodes that are behind.
pub const MAX_HISTORY_DELTAS: usize = 128;
/// Maximum total size of these deltas in bytes.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Chains up to this size in bytes are sent even where the document is shorter, because receiving the deltas keeps the
/// receiver's history without gaps.
pub const MIN_CHAIN_LIMIT_BYTES: usize = 64 << 10;
/// A base document from which no chain leads on is dropped after this many attempts.
pub const MAX_BASE_ATTEMPTS: u32 = 25;
/// Maximum number of whole documents stored for nodes that fetch them: the latest one and the one before it.
pub const MAX_SNAPSHOTS: usize = 2;
/// Maximum number of contents that a voter stores before they are announced.
pub const MAX_STAGED: usize = 4;
/// Content that has not been announced is dropped after this time.
pub const STAGED_TTL: Nanos = 60 * SECOND;
/// Maximum number of publications in progress at one node.
pub const MAX_PUBLICATIONS: usize = 4;
/// Maximum number of stored announcements. They are stored so that a revision that is superseded while it is fetched
/// can still be applied.
pub const MAX_ANNOUNCEMENTS: usize = 128;

/// Maximum number of outstanding pieces of one download.
pub const PIECE_WINDOW: usize = 64;
/// Maximum number of pieces requested in one datagram.
pub const MAX_PIECES_PULLED: usize = 16;
/// Time without an answer after which a request or a pull is repeated.
pub const ANSWER_TIMEOUT: Nanos = 250 * MS;
/// A piece is requested again after this many smoothed delays of the sender.
pub const PIECE_TIMEOUT_FACTOR: Nanos = 3;
/// Minimum time after which a piece is requested again.
pub const MIN_PIECE_TIMEOUT: Nanos = 40 * MS;
/// Time without a new piece after which another node is asked.
pub const PROGRESS_TIMEOUT: Nanos = 1_500 * MS;
/// Minimum delay from a failed attempt to the next.
pub const MIN_RETRY_DELAY: Nanos = 40 * MS;
/// Maximum delay from a failed attempt to the next, before random jitter.
pub const MAX_RETRY_DELAY: Nanos = SECOND;
/// Maximum number of doublings of the retry delay before [`FULL_BACKOFF_ATTEMPTS`].
pub const MAX_EARLY_DOUBLINGS: u32 = 2;
/// After this many attempts possibly no node has the content, and the delay is doubled up to [`MAX_RETRY_DELAY`].
pub const FULL_BACKOFF_ATTEMPTS: u32 = 60;
/// Time without an offer after which a later revision is requested, if there is one. It is not requested at once
/// because only few nodes have it yet.
pub const RETARGET_DELAY: Nanos = 2 * SECOND;
/// Maximum random delay between the start of a node and its first fetch.
pub const MAX_START_DELAY: Nanos = SECOND;

/// A transfer of more bytes than this counts as large.
pub const LARGE_TRANSFER_BYTES: usize = 32 << 10;
/// Maximum number of concurrent transfers of more than one piece that a node serves.
pub const MAX_TRANSFERS: usize = 64;
/// Maximum number of large ones among them.
pub const MAX_LARGE_TRANSFERS: usize = 4;
/// Maximum number of large ones among them at a voter.
pub const MAX_VOTER_LARGE_TRANSFERS: usize = 1;
/// A transfer without a pull for this time loses its slot.
pub const TRANSFER_TIMEOUT: Nanos = 600 * MS;
/// Bytes per second that a node serves.
pub const SERVE_RATE: u64 = 8_000_000;
/// Bytes per second that a voter serves.
pub const VOTER_SERVE_RATE: u64 = 2_000_000;
/// Maximum number of pieces that wait to be served at that rate.
pub const MAX_QUEUED_PIECES: usize = 512;
/// Default number of bytes per second that a node fetches while it catches up after a start.
pub const CATCH_UP_RATE: u64 = 2_000_000;
/// The burst of a rate is one second's bytes divided by this.
pub const BURST_DIVISOR: u64 = 10;

/// Mean time between two reports of a node.
pub const REPORT_INTERVAL: Nanos = SECOND;
/// A revision that has come into force is reported within this time.
pub const MAX_IN_FORCE_REPORT_DELAY: Nanos = 200 * MS;
/// Maximum number of reports in one datagram.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 32;
/// Maximum number of stored reports of other nodes.
pub const MAX_STORED_REPORTS: usize = 4_096;
/// Older reports are dropped, and their nodes count as unknown.
pub const REPORT_TTL: Nanos = 60 * SECOND;

/// Time within which the content of a publication has to reach a majority of the voters.
pub const STAGE_TIMEOUT: Nanos = 10 * SECOND;
/// Time between two offers of a publication to a voter that has not answered.
pub const OFFER_INTERVAL: Nanos = 300 * MS;
/// Minimum time between two writes of the revision in force.
pub const SAVE_INTERVAL: Nanos = 10 * SECOND;
/// Delay after a failed write before the next one.
pub const SAVE_RETRY_DELAY: Nanos = 5 * SECOND;
/// Time for which the log has to contradict a revision before the revision is set aside.
pub const SET_ASIDE_DELAY: Nanos = 5 * SECOND;
