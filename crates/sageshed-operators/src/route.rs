//! From method and path to what is asked.

use crate::wire::paths;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route<'a> {
    /// The rules.
    Rules,
    /// The accepted changes.
    History,
    /// To change the rules.
    Change,
    /// Whether a revision is in force.
    InForce,
    /// The state of the system.
    Status,
    /// Where each model is.
    Models,
    /// The endpoints.
    Endpoints,
    /// What happened to the request of this id.
    Explain(&'a str),
    /// To drain a VM or end that.
    Drain,
    /// To pin a model or end that.
    Pin,
    /// Whether the process runs.
    Healthz,
    /// The metrics.
    Metrics,
    /// Nothing that is there.
    NotFound,
    /// Something that is there by another method.
    OtherMethod(&'static str),
}

const GET: &str = "GET";
const POST: &str = "POST";

impl<'a> Route<'a> {
    /// What `method` and `path` ask for.
    pub fn of(method: &str, path: &'a str) -> Self {
        let (takes, route) = match path {
            paths::RULES => (GET, Self::Rules),
            paths::HISTORY => (GET, Self::History),
            paths::CHANGES => (POST, Self::Change),
            paths::IN_FORCE => (GET, Self::InForce),
            paths::STATUS => (GET, Self::Status),
            paths::MODELS => (GET, Self::Models),
            paths::ENDPOINTS => (GET, Self::Endpoints),
            paths::DRAIN => (POST, Self::Drain),
            paths::PIN => (POST, Self::Pin),
            paths::HEALTHZ => (GET, Self::Healthz),
            paths::METRICS => (GET, Self::Metrics),
            _ => match path.strip_prefix(paths::EXPLAIN) {
                Some(id) if !id.is_empty() => (GET, Self::Explain(id)),
                _ => return Self::NotFound,
            },
        };
        if method == takes {
            route
        } else {
            Self::OtherMethod(takes)
        }
    }

    /// Whether it is answered to anyone.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Healthz | Self::Metrics)
    }
}
