//! Whether a response is complete that only the end of its connection delimits.

use sageshed_fleet::body_end::{ConnectionEnd, EarlyEnd, EndedEndpoint, NextStep};

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

struct EndedCase {
    name: &'static str,
    endpoint: EndedEndpoint,
    early_end: Option<EarlyEnd>,
}

/// Guards against a part of a response that is passed on though its endpoint has ended and another one could serve the
/// request, and against a complete response of an endpoint that stops as announced which no other one may make again.
#[test]
fn a_response_of_an_endpoint_that_has_ended_is_cut_unless_it_may_be_the_only_one() {
    let cases = [
        EndedCase {
            name: "a crash, and the request may run again",
            endpoint: EndedEndpoint {
                is_leaving: false,
                may_run_again: true,
            },
            early_end: Some(EarlyEnd::EndpointEnded),
        },
        EndedCase {
            name: "a crash, and the request may run once",
            endpoint: EndedEndpoint {
                is_leaving: false,
                may_run_again: false,
            },
            early_end: Some(EarlyEnd::EndpointEnded),
        },
        EndedCase {
            name: "an announced stop, and the request may run again",
            endpoint: EndedEndpoint {
                is_leaving: true,
                may_run_again: true,
            },
            early_end: Some(EarlyEnd::EndpointEnded),
        },
        EndedCase {
            name: "an announced stop, and the request may run once",
            endpoint: EndedEndpoint {
                is_leaving: true,
                may_run_again: false,
            },
            early_end: None,
        },
    ];
    for case in cases {
        assert_eq!(case.endpoint.early_end(), case.early_end, "{}", case.name);
    }
}
