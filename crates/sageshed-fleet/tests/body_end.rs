//! Whether a response is complete that only the end of its connection delimits.

use sageshed_fleet::{
    body_end::{ConnectionEnd, EarlyEnd, Listener, NextStep, QueryResponse},
    directory::InstanceId,
};
use sageshed_types::time;

struct Case {
    name: &'static str,
    end: ConnectionEnd,
    next: NextStep,
}

const SOUND: ConnectionEnd = ConnectionEnd {
    is_inside_event: false,
    needs_last_chunk: false,
    unobserved: time::Millis(110),
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
            name: "its end may be old, and another endpoint listen there",
            end: ConnectionEnd {
                unobserved: time::Millis(1_500),
                ..SOUND
            },
            next: NextStep::CheckInstance,
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

struct ListenerCase {
    name: &'static str,
    born: Option<u64>,
    response: QueryResponse<'static>,
    listener: Listener,
}

/// Guards against a part of a response that is passed on as complete, since the next instance of its endpoint counts as the one
/// that has sent it; and against a complete one that is cut.
#[test]
fn the_instance_that_listens_is_told_by_its_name_and_start_time() {
    let response = |status, name, born| QueryResponse { status, name, born };
    let case = |name, born, response, listener| ListenerCase {
        name,
        born,
        response,
        listener,
    };
    let cases = [
        case(
            "by its name",
            None,
            response(200, Some("e1"), None),
            Listener::Same,
        ),
        case(
            "as it takes the query",
            None,
            response(200, None, None),
            Listener::Same,
        ),
        case(
            "by its name, though it has no room",
            None,
            response(503, Some("e1"), None),
            Listener::Same,
        ),
        case(
            "by its start time",
            Some(7),
            response(200, None, Some(7)),
            Listener::Same,
        ),
        case(
            "another start",
            Some(7),
            response(200, Some("e1"), Some(8)),
            Listener::Other,
        ),
        case(
            "another name",
            Some(7),
            response(200, Some("e2"), Some(7)),
            Listener::Other,
        ),
        case(
            "not meant for it",
            None,
            response(421, None, None),
            Listener::Other,
        ),
        case(
            "no start time",
            Some(7),
            response(200, Some("e1"), None),
            Listener::Unknown,
        ),
        case(
            "no room",
            None,
            response(503, None, None),
            Listener::Unknown,
        ),
        case(
            "no report",
            Some(7),
            response(404, None, None),
            Listener::Unknown,
        ),
    ];
    for case in cases {
        let instance = InstanceId::new("e1", case.born);
        assert_eq!(
            Listener::of(&instance, case.response),
            case.listener,
            "{}",
            case.name
        );
    }
    let ends = [
        (Listener::Same, None),
        (Listener::Other, Some(EarlyEnd::EndpointEnded)),
        (Listener::Unknown, Some(EarlyEnd::Unconfirmed)),
    ];
    for (listener, early_end) in ends {
        assert_eq!(listener.early_end(), early_end, "{listener:?}");
    }
}
