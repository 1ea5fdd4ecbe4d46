//! The data folder: durable log and snapshots.
//!
//! Keeps on disk what a voter of `sageshed-quorum` must not forget. What [`folder::Folder::write`]
//! has returned from is found again after a crash of the process or the machine, or the folder says
//! that it is damaged; it never silently holds less.
//!
//! # Layout
//!
//! ```text
//! lock                       locked by the one process that uses the folder
//! generation-N/identity      VM, generation, membership of the first start
//! generation-N/snapshot      the state machine up to some entry
//! generation-N/log-S         segments of the log, S counts up
//! software-versions          see `side_file`; may be missing
//! damaged-N/                 an earlier generation, kept for people to look at
//! ```
//!
//! A generation is made whole in `starting/` and then renamed, so that a crash while it is made
//! leaves the folder as it was. Every new file is written under another name, synced and renamed,
//! and then its directory is synced; without that the file itself may be missing after a crash.
//!
//! # Frames
//!
//! Every file is a sequence of frames: length, CRC-32, then rmp-serde with named fields. All that
//! one write changes is one frame in one segment, with one sync, however many entries there are.
//! The next frame is only written after that sync. So a crash can spoil the last frame only, in
//! whatever way the disk orders its pages, and nobody was promised anything of it. The CRC also
//! covers generation, file and offset: bytes that a caller put into a command, or a block that the
//! disk wrote in the wrong place, never pass for a frame.
//!
//! A bad frame with no good one after it is a torn tail and is cut. A bad frame with a good one
//! after it was synced once, so the disk has lost what it promised: the folder is damaged. What
//! cannot be told apart: a synced last frame that rots later looks torn.
//!
//! # Segments
//!
//! A segment begins with a head: the hard state, and the last entry before it. It ends with a seal,
//! once its successor exists. A missing, shortened or foreign segment shows by sequence number,
//! seal and head. Truncation of the log's end is a record; nothing is rewritten for it. Segments
//! go once the snapshot covers all that was in the log when their successor began. Reading starts
//! at the last segment whose head the snapshot covers, since the head makes all before it needless.
//!
//! # Failed syncs and full disks
//!
//! After a failed sync the kernel may mark the pages as clean though they never reached the disk:
//! a second sync succeeds, a read shows the new bytes, and a crash brings the old ones back. So
//! after any failure but one the folder refuses all writes until it is opened again, and opening
//! writes the whole last segment anew to a new file instead of trusting what it reads. The
//! exception is a full disk met while writing, before any sync: the log is cut back to its last
//! good length, and the same write may be tried again once there is room.

pub mod damage;
pub mod error;
pub mod files;
pub mod folder;
pub mod side_file;
pub mod vacant;

mod frame;
mod layout;
mod record;
mod replay;
mod segments;
mod snapshot;
