//! The decision logic of a fleet whose configuration an operator replaces as a whole.
//!
//! A fleet is a set of services, each with endpoints that announce themselves, and routes that map requests to
//! services. Nothing here does I/O, reads a clock or starts a thread: time and random numbers are arguments.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | whether a configuration is valid |
//! | [`routes`] | which route a request takes |
//! | [`config_history`] | what an entry process is sent of a configuration that is newer than its own |
//! | [`compression`] | how a configuration is compressed for one who holds another |
//! | [`directory`] | what is believed of each endpoint, and what changed since a peer last asked |
//! | [`chooser`] | which endpoint a request goes to, whether it waits, or is turned away |
//! | [`backlog`] | how long what waits for an engine will wait |
//! | [`allowance`] | what may still be used of a bound that holds over all entry processes |
//! | [`budget`] | whether a request may be sent a second time |
//! | [`fingerprint`] | whether two requests are the same but for their ids |
//! | [`neighbours`] | which entry processes tell each other what they send to an engine |
//! | [`quarantine`] | which requests are passed on no more, since endpoints ended under them |
//! | [`transfer`] | which chunks of a configuration are fetched, and from whom |
//! | [`versions`] | how far a held configuration is behind the newest |
//! | [`workspaces`] | who sends a request, by the key that it shows |
//! | [`planner`] | which engine loads or unloads which weights and adapters |
//!
//! [`messages`] are what control and entry processes tell each other, [`dialect`] is what the fleet
//! needs to know of the protocol that callers, endpoints and operators speak.

pub mod allowance;
pub mod backlog;
pub mod budget;
pub mod chooser;
pub mod compression;
pub mod config;
pub mod config_history;
pub mod demand_counter;
pub mod dialect;
pub mod directory;
pub mod fingerprint;
pub mod links;
pub mod messages;
pub mod neighbours;
pub mod planner;
pub mod quarantine;
pub mod routes;
pub mod transfer;
pub mod versions;
pub mod workspaces;
