//! The gateway's decisions, without sockets, clocks or the platform.

mod answers;
mod claims;
mod crowding;
mod demand;
mod dispatch;
mod fetches;
mod following;
mod history;
mod holdings;
mod homes;
mod keys;
mod loads;
mod logs;
mod messages;
mod mirror;
mod pacing;
mod peers;
mod planner;
mod replicas;
mod retries;
mod routes;
mod settings;
mod support;
mod timings;
mod vacancies;
mod versions;
