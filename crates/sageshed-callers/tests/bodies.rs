//! What is read from bodies and written into them, without a socket.

use sageshed_callers::{openai, route::Route};
use sageshed_types::verdict;

struct Case {
    name: &'static str,
    api: openai::Api,
    body: &'static str,
    /// The beginning of the detail.
    detail: &'static str,
}

#[test]
fn each_unusable_body_is_refused_with_its_cause() {
    let chat = |name, body, detail| Case {
        name,
        api: openai::Api::Chat,
        body,
        detail,
    };
    let plain = |name, body, detail| Case {
        name,
        api: openai::Api::Completions,
        body,
        detail,
    };
    let cases = [
        chat("empty", "", "the body is not JSON"),
        chat(
            "cut",
            r#"{"model":"m","messages":[{"#,
            "the body is not JSON",
        ),
        chat("a list", "[1]", "the body does not fit"),
        chat(
            "two models",
            r#"{"model":"a","model":"b","messages":[{}]}"#,
            "the body does not fit",
        ),
        chat(
            "no model",
            r#"{"messages":[{}]}"#,
            "the body has no `model`",
        ),
        chat(
            "a number",
            r#"{"model":1,"messages":[{}]}"#,
            "`model` is not a string",
        ),
        chat(
            "empty model",
            r#"{"model":"","messages":[{}]}"#,
            "`model` is empty",
        ),
        chat(
            "no messages",
            r#"{"model":"m"}"#,
            "the body has no `messages`",
        ),
        chat(
            "text",
            r#"{"model":"m","messages":"hi"}"#,
            "`messages` is not a list",
        ),
        chat(
            "none",
            r#"{"model":"m","messages":[]}"#,
            "`messages` is empty",
        ),
        chat(
            "words",
            r#"{"model":"m","messages":[{},"hi"]}"#,
            "`messages[1]` is not an object",
        ),
        chat(
            "stream",
            r#"{"model":"m","messages":[{}],"stream":"yes"}"#,
            "the body does not fit",
        ),
        chat(
            "tokens",
            r#"{"model":"m","messages":[{}],"max_tokens":-1}"#,
            "the body does not fit",
        ),
        plain("no prompt", r#"{"model":"m"}"#, "the body has no `prompt`"),
        plain(
            "prompt",
            r#"{"model":"m","prompt":{}}"#,
            "`prompt` is neither a string nor a list",
        ),
    ];
    for case in cases {
        let refusal =
            openai::Completion::parse(case.api, case.body.as_bytes()).expect_err(case.name);
        assert_eq!(refusal.reason, verdict::Reason::BadRequest, "{}", case.name);
        assert!(
            refusal.detail.starts_with(case.detail),
            "{}: {}",
            case.name,
            refusal.detail
        );
    }
}

#[test]
fn a_body_is_read_as_far_as_routing_needs() {
    let body = r#"{"model":"call\u006fut","messages":[{"role":"system"},{"content":"hi"}],
        "stream":true,"max_tokens":5,"max_completion_tokens":7,"seed":1e999,"x":{"model":"y"}}"#;
    let read = openai::Completion::parse(openai::Api::Chat, body.as_bytes()).expect("a body");
    assert_eq!(read.model, "callout");
    assert!(read.stream);
    assert_eq!(read.max_tokens, Some(7));
    assert_eq!(read.prompt_tokens, 9);
    let other = body.replace("hi", "another");
    let other = openai::Completion::parse(openai::Api::Chat, other.as_bytes()).expect("a body");
    assert_eq!(read.prefix_hash, other.prefix_hash);
    let plain = br#"{"model":"m","prompt":"Draft","stream":null}"#;
    let plain = openai::Completion::parse(openai::Api::Completions, plain).expect("a body");
    assert_eq!(
        (plain.stream, plain.max_tokens, plain.prompt_tokens),
        (false, None, 1)
    );
}

/// A rule reroutes a request to another model. If the body were parsed and written anew, numbers
/// past 64 bits and the order of members would change, and a seed or a schema with them.
#[test]
fn replacing_the_model_leaves_all_else_as_it_was() {
    let body =
        r#"{ "x":{"model":"a"}, "seed":12345678901234567890123, "model" : "a", "z":[1.10] }"#;
    let replaced = openai::with_model(body.as_bytes(), "b\"c").expect("a body");
    assert_eq!(
        String::from_utf8(replaced).expect("text"),
        r#"{ "x":{"model":"a"}, "seed":12345678901234567890123, "model" : "b\"c", "z":[1.10] }"#,
    );
    let refusal = openai::with_model(b"{}", "b").expect_err("no model");
    assert_eq!(refusal.reason, verdict::Reason::BadRequest);
}

#[test]
fn models_are_listed_once_each_and_in_order() {
    let list: serde_json::Value =
        serde_json::from_slice(&openai::models(["b", "a", "b"])).expect("JSON");
    assert_eq!(list["object"], "list");
    assert_eq!(list["data"].as_array().map(Vec::len), Some(2));
    assert_eq!(list["data"][0]["id"], "a");
    assert_eq!(list["data"][0]["object"], "model");
}

#[test]
fn paths_name_their_routes() {
    let service = |name, rest| Route::Service { name, rest };
    let cases = [
        ("POST", "/v1/chat/completions", Route::ChatCompletions),
        ("POST", "/v1/completions", Route::Completions),
        ("GET", "/v1/models", Route::Models),
        ("HEAD", "/v1/models", Route::Models),
        ("GET", "/healthz", Route::Healthz),
        ("GET", "/readyz", Route::Readyz),
        ("GET", "/metrics", Route::Metrics),
        (
            "GET",
            "/v1/completions",
            Route::MethodNotAllowed { allow: "POST" },
        ),
        (
            "HEAD",
            "/v1/completions",
            Route::MethodNotAllowed { allow: "POST" },
        ),
        ("POST", "/healthz", Route::MethodNotAllowed { allow: "GET" }),
        ("PUT", "/services/dispatch", service("dispatch", "/")),
        ("GET", "/services/dispatch/", service("dispatch", "/")),
        (
            "POST",
            "/services/dispatch/a/b",
            service("dispatch", "/a/b"),
        ),
        ("GET", "/services/", Route::NotFound),
        ("GET", "/services//a", Route::NotFound),
        ("GET", "/v1/models/", Route::NotFound),
        ("OPTIONS", "*", Route::NotFound),
    ];
    for (method, path, route) in cases {
        assert_eq!(Route::parse(method, path), route, "{method} {path}");
    }
}
