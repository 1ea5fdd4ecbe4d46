//! Which of the paths that callers may ask for a request names.

/// The paths, with what they name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'p> {
    /// `POST /v1/chat/completions`.
    ChatCompletions,
    /// `POST /v1/completions`.
    Completions,
    /// `GET /v1/models`.
    Models,
    /// Any method on `/services/NAME` and below.
    Service {
        /// The name of the plain service.
        name: &'p str,
        /// The path to ask the service for: what follows the name, `/` at least.
        rest: &'p str,
    },
    /// `GET /healthz`: whether the process lives.
    Healthz,
    /// `GET /readyz`: whether the balancer should send callers here.
    Readyz,
    /// `GET /metrics`.
    Metrics,
    /// Anything else.
    NotFound,
    /// One of the paths above, with a method that it does not take.
    MethodNotAllowed {
        /// The value for the `Allow` header.
        allow: &'static str,
    },
}

impl<'p> Route<'p> {
    /// Finds the route of a method and a path without its query.
    #[must_use]
    pub fn parse(method: &str, path: &'p str) -> Self {
        match path {
            "/v1/chat/completions" => Self::only(method, "POST", Self::ChatCompletions),
            "/v1/completions" => Self::only(method, "POST", Self::Completions),
            "/v1/models" => Self::only(method, "GET", Self::Models),
            "/healthz" => Self::only(method, "GET", Self::Healthz),
            "/readyz" => Self::only(method, "GET", Self::Readyz),
            "/metrics" => Self::only(method, "GET", Self::Metrics),
            _ => Self::service(path),
        }
    }

    /// A HEAD is taken wherever a GET is.
    fn only(method: &str, allow: &'static str, route: Self) -> Self {
        if method == allow || (method == "HEAD" && allow == "GET") {
            route
        } else {
            Self::MethodNotAllowed { allow }
        }
    }

    fn service(path: &'p str) -> Self {
        let Some(named) = path.strip_prefix("/services/") else {
            return Self::NotFound;
        };
        let (name, rest) = match named.find('/') {
            Some(at) => named.split_at(at),
            None => (named, "/"),
        };
        if name.is_empty() {
            return Self::NotFound;
        }
        Self::Service { name, rest }
    }
}
