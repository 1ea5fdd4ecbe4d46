//! Responses that grow without end beside ordinary ones.

use std::sync::Arc;

use sageshed_types::shared_memory::{Exhausted, Reservation, SharedMemory};

const LIMIT: usize = 40 << 20;

/// What arrives of a response at once.
const PART: usize = 8 * 1_024;

/// What each response may hold in any case.
const SMALL: usize = 16 * 1_024;

/// Has each of `count` responses grow by parts in turn until none may grow any more.
fn grow(memory: &Arc<SharedMemory>, count: usize) -> Vec<Reservation> {
    let mut responses: Vec<_> = (0..count)
        .map(|_| (SharedMemory::reserve(memory), 0))
        .collect();
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for (response, size) in &mut responses {
            if response.resize(*size + PART).is_ok() {
                *size += PART;
                has_grown = true;
            }
        }
    }
    responses.into_iter().map(|it| it.0).collect()
}

struct Case {
    growing: usize,
    /// The largest response that is accepted beside them.
    beside: usize,
}

const CASES: [Case; 4] = [
    Case {
        growing: 0,
        beside: LIMIT / 2,
    },
    Case {
        growing: 1,
        beside: LIMIT / 4,
    },
    Case {
        growing: 9,
        beside: LIMIT / 20,
    },
    Case {
        growing: 600,
        beside: LIMIT / 1_202,
    },
];

/// Guards against a process that is killed since responses without end use up its memory, and against ordinary responses that
/// are refused beside them.
#[test]
fn responses_that_grow_without_end_leave_memory_to_others() {
    for case in &CASES {
        let memory = Arc::new(SharedMemory::new(LIMIT));
        let growing = grow(&memory, case.growing);
        assert!(
            memory.held() <= LIMIT,
            "{}: {}",
            case.growing,
            memory.held()
        );
        let mut beside = SharedMemory::reserve(&memory);
        let most = case.beside - PART;
        assert_eq!(beside.resize(most), Ok(()), "{}", case.growing);
        drop(beside);
        drop(growing);
        assert_eq!(memory.held(), 0, "{}", case.growing);
    }
}

/// Guards against small responses that fail since large ones hold all memory.
#[test]
fn a_small_response_is_always_accepted() {
    let memory = Arc::new(SharedMemory::new(SMALL));
    let mut first = SharedMemory::reserve(&memory);
    let mut second = SharedMemory::reserve(&memory);
    assert_eq!(first.resize(SMALL), Ok(()));
    assert_eq!(second.resize(SMALL), Ok(()));
    assert_eq!(second.resize(SMALL + 1), Err(Exhausted));
    assert_eq!(second.resize(PART), Ok(()), "it may shrink");
    assert_eq!(memory.held(), SMALL + PART);
}

/// Guards against urgent messages that are refused beside less urgent ones, which hold all memory.
#[test]
fn a_less_urgent_message_leaves_more_to_others() {
    for priority in 0..4u8 {
        let memory = Arc::new(SharedMemory::new(LIMIT));
        let most = LIMIT / (usize::from(priority) + 2);
        let mut message = SharedMemory::reserve(&memory);
        assert_eq!(message.resize_with_priority(most, priority), Ok(()));
        let mut larger = SharedMemory::reserve(&Arc::new(SharedMemory::new(LIMIT)));
        let refused = larger.resize_with_priority(most + PART, priority);
        assert_eq!(refused, Err(Exhausted), "{priority}");
        assert!(larger.could_hold(most, priority), "{priority}");
        assert!(!larger.could_hold(most + PART, priority), "{priority}");
        let small = larger.resize_with_priority(SMALL, u8::MAX);
        assert_eq!(small, Ok(()), "{priority}");
    }
}
