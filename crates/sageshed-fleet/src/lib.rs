//! The decision logic of a fleet whose configuration an operator replaces as a whole.
//!
//! A fleet is a set of services, each with endpoints that announce themselves, and routes that map requests to
//! services. Nothing here does I/O, reads a clock or starts a thread: time and random numbers are arguments.
//!
//! | module | purpose |
//! |---|---|
//! | [`config`] | the configuration and its consistency check |
//! | [`routes`] | which route a request takes |
//! | [`route_history`] | to which services routes have led lately |
//! | [`config_history`] | recent configurations, against which newer ones are compressed |
//! | [`compression`] | compression of a configuration for a process that holds another one |
//! | [`transfer`] | transfer of a configuration in chunks |
//! | [`versions`] | how long a process has been behind the newest configuration |
//! | [`directory`] | the known endpoints, and what changed since a peer last asked |
//! | [`links`] | which control processes an entry process watches |
//! | [`chooser`] | which endpoint a request is sent to, or whether it waits or is refused |
//! | [`shared_queue`] | the requests of all entry processes that wait for one model or plain service |
//! | [`queue_coordinator`] | the queues that a process keeps as coordinator, and the grants from them |
//! | [`queue_holder`] | a waiting request as the process sees it that holds it for its caller |
//! | [`slots`] | which requests hold the slots of a plain service's endpoints |
//! | [`backlog`] | the requests that wait for an engine, and for how long they will wait |
//! | [`allowance`] | rate limits that hold over all entry processes |
//! | [`budget`] | the retry budget |
//! | [`entry_peers`] | what entry processes tell each other about the engines that they use |
//! | [`body_end`] | whether a response is complete that only the end of its connection delimits |
//! | [`events`] | the complete events of a stream that arrives in pieces |
//! | [`event_order`] | whether the ids of a stream's events increase |
//! | [`silence`] | when a request whose endpoint is silent is sent to another one as well |
//! | [`stream_origins`] | which software version began each stream that callers may still take up |
//! | [`origin_backup`] | which of these are copied to control processes |
//! | [`paths`] | which endpoints this process can open connections to |
//! | [`quarantine`] | requests that are no longer forwarded, because endpoints crashed while running them |
//! | [`fingerprint`] | whether two requests are the same except for their ids |
//! | [`workspaces`] | the workspace of a request, by its key |
//! | [`demand_counter`] | the callers' demand, counted for the leader |
//! | [`planner`] | which engine loads or unloads which weights and adapters |
//! | [`config_check`] | when an entry process checks that it holds the newest configuration |
//! | [`call_margin`] | how long the response to a call is waited for |
//! | [`replication`] | how far control processes know each other's directories |
//! | [`messages`] | messages between control and entry processes |
//! | [`dialect`] | the interface to the protocol of callers, endpoints and operators |

pub mod allowance;
pub mod backlog;
pub mod body_end;
pub mod budget;
pub mod call_margin;
pub mod chooser;
pub mod compression;
pub mod config;
pub mod config_check;
pub mod config_history;
pub mod demand_counter;
pub mod dialect;
pub mod directory;
pub mod entry_peers;
pub mod event_order;
pub mod events;
pub mod fingerprint;
pub mod links;
pub mod messages;
pub mod origin_backup;
pub mod paths;
pub mod planner;
pub mod quarantine;
pub mod queue_coordinator;
pub mod queue_holder;
pub mod records_age;
pub mod replication;
pub mod reply_times;
pub mod route_history;
pub mod routes;
pub mod shared_queue;
pub mod silence;
pub mod slots;
pub mod stream_origins;
pub mod transfer;
pub mod versions;
pub mod workspaces;
