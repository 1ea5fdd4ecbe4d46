//! Which headers are passed on.

use sageshed_services::filter;

#[test]
fn headers_of_a_connection_stay_on_it() {
    struct Case {
        name: &'static str,
        value: &'static str,
        to_service: bool,
        to_caller: bool,
    }
    let of = |name, value, to_service, to_caller| Case {
        name,
        value,
        to_service,
        to_caller,
    };
    let cases = [
        of("Accept", "text/html", true, true),
        of("X-Member", "lodge-4", true, true),
        of("Idempotency-Key", "k1", true, true),
        of("Set-Cookie", "a=b", true, true),
        // The caller's token would let the service act as the caller.
        of("Authorization", "Bearer t", false, true),
        of("Connection", "x-hop, close", false, false),
        of("X-Hop", "1", false, false),
        of("Keep-Alive", "5", false, false),
        of("Transfer-Encoding", "chunked", false, false),
        of("CONTENT-LENGTH", "3", false, false),
        of("Host", "entry", false, false),
        of("TE", "trailers", false, false),
        of("Upgrade", "h2c", false, false),
        of("Expect", "100-continue", false, false),
        // The system's own id goes in its place.
        of("sageshed-request-id", "forged", false, false),
    ];
    let headers: Vec<(String, String)> = cases
        .iter()
        .map(|case| (case.name.to_owned(), case.value.to_owned()))
        .collect();
    let to_service = filter::to_service(&headers);
    let to_caller = filter::to_caller(&headers);
    for case in &cases {
        let header = (case.name, case.value);
        assert_eq!(
            to_service.contains(&header),
            case.to_service,
            "{}",
            case.name
        );
        assert_eq!(to_caller.contains(&header), case.to_caller, "{}", case.name);
    }
}
