//! Whether a response is complete that only the end of its connection delimits.

use sageshed_fleet::body_end::{ConnectionEnd, EarlyEnd, NextStep};

struct Case {
    name: &'static str,
    end: ConnectionEnd,
    next: NextStep,
}

const SOUND: ConnectionEnd = ConnectionEnd {
    is_inside_event: false,
    needs_last_chunk: false,
};

/// Guards against a part of a response that is passed on as complete.
#[test]
fn a_response_is_passed_on_unless_something_tells_that_it_ended_early() {
    let cases = [
        Case {
            name: "nothing tells whether its endpoint has crashed",
            end: SOUND,
            next: NextStep::CheckEndpoint,
        },
        Case {
            name: "inside an event",
            end: ConnectionEnd {
                is_inside_event: true,
                ..SOUND
            },
            next: NextStep::Fail(EarlyEnd::InsideEvent),
        },
        Case {
            name: "its caller receives chunks",
            end: ConnectionEnd {
                needs_last_chunk: true,
                ..SOUND
            },
            next: NextStep::Fail(EarlyEnd::NotTold),
        },
    ];
    for case in cases {
        assert_eq!(case.end.next_step(), case.next, "{}", case.name);
    }
}
